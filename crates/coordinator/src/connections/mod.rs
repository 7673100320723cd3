//! Connections to servers.
//!
//! [`pool`] is the core's side: it tracks the connections and the attempts in flight on each, and selects the
//! connection for each call. [`handle`] is the side of the task that owns a socket (see [`backends`](crate::backends)).
//! The core sends commands to the task over a bounded queue; the task sends
//! [`ConnectionEvent`](crate::messages::ConnectionEvent)s to the core.

pub mod discard;
pub mod handle;
pub mod pool;
pub mod receive_buffer;
pub mod socket;
