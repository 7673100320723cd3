//! Types that all packages share: time, identifiers, settings, endpoints, events, actions and outcomes.
//!
//! The package is plain data: it does no I/O and reads no clock. A router takes [`Event`]s and returns
//! [`Action`]s. It gets its [`Settings`] at construction, and again at each reload.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod action;
mod endpoint;
mod event;
mod health;
mod id;
mod outcome;
mod settings;
mod time;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointUpdate, ServerState};
pub use event::Event;
pub use health::HealthSummary;
pub use id::{ClassId, RequestId, ServerId};
pub use outcome::Outcome;
pub use settings::{Class, CompletionThresholds, Idempotency, RetryBudgetLimits, Settings};
pub use time::{Seconds, Time};
