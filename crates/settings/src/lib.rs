//! The deployment's JSON settings, read and validated in one place for the program and for the simulator's host.
//!
//! [`parse()`] turns the text into a [`Deployment`]: the [`Settings`](cairnroad_types::Settings) of the decisions, and
//! what only a program on sockets needs.

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
