//! The fronts, which clients connect to. A front parses a client's bytes into requests for the core, and writes final
//! answers as responses of its protocol.
//!
//! [`listen`] accepts connections, `session` serves the requests of one connection in sequence, and `platform` and
//! `opensearch` implement one protocol each. `client_connections` tracks the connections of all fronts.

pub mod client_connections;
mod exchange;
mod front;
mod health;
mod listener;
mod local_reply_throttle;
pub mod opensearch;
mod platform;
mod reply;
mod session;

pub use front::{Front, FrontKind};
pub use listener::listen;
pub use session::REQUEST_READ_TIMEOUT;
