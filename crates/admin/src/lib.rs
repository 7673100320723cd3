//! Logic of the operator-facing functions of a running coordinator, without I/O or a clock of its own.
//!
//! - [`request`]: parses admin requests, and holds the status and text of each response.
//! - [`suspensions`]: tracks data nodes suspended for maintenance, and overrides their listed state accordingly.
//! - [`reconfigure`]: decides whether a reloaded deployment is accepted and what it changes.
//! - [`shutdown`]: decides when each phase of a graceful shutdown (SIGTERM) begins.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod reconfigure;
pub mod request;
pub mod shutdown;
pub mod suspensions;
