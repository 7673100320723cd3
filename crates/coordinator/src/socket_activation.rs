//! Inheriting the listening socket for clients, which the platform keeps open across successive processes.

use std::io;
use std::net::TcpListener;

/// The reason why the inherited descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// The descriptor is not a TCP listening socket, or can't be put into non-blocking mode.
    #[error("NODE_INHERITED_FD: descriptor {descriptor}: {source}")]
    Unusable {
        /// The inherited descriptor.
        descriptor: i32,
        /// The system's error.
        source: io::Error,
    },
    /// No socket was inherited under this descriptor.
    #[error("NODE_INHERITED_FD: descriptor {descriptor}: no inherited socket found")]
    Missing {
        /// The inherited descriptor.
        descriptor: i32,
    },
}

/// Returns the inherited listening socket with this descriptor, in non-blocking mode.
///
/// Must be called once, before other threads run: the `listenfd` crate reads descriptors from the environment variables
/// of systemd's socket activation, so this function modifies the environment.
///
/// # Errors
///
/// Returns an error if the descriptor is not open or not a TCP listening socket.
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
