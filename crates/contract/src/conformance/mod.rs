//! Checks messages against a description and reports each violation with its place and the violated rule.
//!
//! [`Description`](crate::model::Description) has a check for each direction: `check_request`, `check_response` and
//! `check_message`. They do no I/O, never fail on input, and report a bounded number of violations.

mod channel_message;
mod expectation;
mod parameter_values;
mod redaction;
mod report;
mod request;
mod response;
mod types;

pub use types::{Conformance, ObservedRequest, ObservedResponse, Violation, ViolationKind};

/// The largest number of violations reported for one message: a list of ten thousand invalid numbers has one cause, not
/// ten thousand.
pub const MAX_VIOLATIONS: usize = 16;
