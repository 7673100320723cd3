//! What operators request of a running coordinator, decided without I/O or a clock of its own.
//!
//! - [`request`]: which admin request a message is, and the status and text of each response.
//! - [`suspensions`]: which data nodes are suspended for maintenance, and how that changes their listed state.
//! - [`reconfigure`]: whether a reloaded deployment is accepted, and what changes with it.
//! - [`shutdown`]: the phases of a graceful shutdown (SIGTERM) and when each begins.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod reconfigure;
pub mod request;
pub mod shutdown;
pub mod suspensions;
