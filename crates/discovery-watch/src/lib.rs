//! The state machine of one discovery watch, without I/O or a clock of its own.
//!
//! A watch is a long poll of the discovery agent's endpoint list. [`DiscoveryWatch`] decides which poll to send next
//! and how long to wait for its response ([`DiscoveryWatch::next_poll`]), how long to back off after a fault
//! ([`DiscoveryWatch::on_fault`]), and the time from which this process counts as notified of changes that it missed
//! ([`DiscoveryWatch::notification_deadline`]). Times are in seconds unless a name says otherwise.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod error;
mod poll;
mod watch;

pub use error::WatchError;
pub use poll::{Poll, PollRequest, CONFIRMATION_POLL_MS, CONNECT_TIMEOUT, LONG_POLL_MS};
pub use watch::DiscoveryWatch;
