//! The fronts: what clients connect to. A front turns a client's bytes into requests for the routing core, and final
//! answers into its protocol's responses.
//!
//! [`listen`] accepts connections, a `session` serves one connection request after another, and `platform` and
//! `opensearch` know one protocol each. All connections of all fronts are counted in `client_connections`.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod client_connections;
mod exchange;
mod front;
mod health;
mod listener;
pub mod opensearch;
mod platform;
mod reply;
mod session;

pub use front::{Front, FrontKind};
pub use listener::listen;
pub use session::REQUEST_READ_TIMEOUT;
