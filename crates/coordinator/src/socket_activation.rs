//! The clients' listening socket where the platform holds it open and every process inherits it.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use std::io;
use std::net::TcpListener;

/// Why the inherited descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// It is no TCP socket, or can't be put into non-blocking mode.
    #[error("NODE_INHERITED_FD: {descriptor}: {source}")]
    Unusable {
        /// The descriptor.
        descriptor: i32,
        /// The system's error.
        source: io::Error,
    },
    /// Nothing was inherited under this number.
    #[error("NODE_INHERITED_FD: {descriptor}: there is no socket")]
    Missing {
        /// The descriptor.
        descriptor: i32,
    },
}

/// Takes over the listening socket at a descriptor.
///
/// To be called once, before other threads run: the crate that makes a socket of a descriptor reads it from the
/// environment in the form of systemd's socket activation, and the environment is changed for it.
///
/// # Errors
///
/// The descriptor is not open or not a TCP listener.
pub fn inherited_listener(descriptor: i32) -> Result<TcpListener, InheritedSocketError> {
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::set_var("LISTEN_FDS", "1");
    let unusable = |source| InheritedSocketError::Unusable { descriptor, source };
    let socket = listenfd::ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(unusable)?
        .ok_or(InheritedSocketError::Missing { descriptor })?;
    socket.set_nonblocking(true).map_err(unusable)?;
    Ok(socket)
}
