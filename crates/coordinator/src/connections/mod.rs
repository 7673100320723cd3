//! Connections to servers.
//!
//! [`pool`] is the core's side: which connections there are, what is in flight on each and which one the next call
//! takes. [`handle`] is the side of the task that owns a socket (see [`backends`](crate::backends)). Commands go to
//! the task over a bounded queue; [`ConnectionEvent`](crate::messages::ConnectionEvent)s come back to the core.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod handle;
pub mod pool;
pub mod socket;
