//! Parses and validates a deployment's JSON settings for the coordinator and the simulator's host.
//!
//! [`parse()`] turns the text into a [`Deployment`]: the [`Settings`](cairnroad_types::Settings) that the router
//! decides by, and the values that only a program with network connections needs.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod deployment;
mod error;
mod json;
mod parse;

pub use deployment::{Deployment, OfferedClass};
pub use error::SettingsError;
pub use parse::parse;

#[cfg(test)]
mod tests;
