//! The clients' listening socket where the platform holds it and every process inherits it.

use std::net::TcpListener;

/// The socket at this descriptor. To be called once, before other threads run: the crate that makes a socket of a
/// number takes it from the environment, in the form of socket activation.
pub fn listener(descriptor: i32) -> Result<TcpListener, String> {
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::set_var("LISTEN_FDS", "1");
    let socket = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let wrong = |cause: &dyn std::fmt::Display| format!("NODE_INHERITED_FD: {descriptor}: {cause}");
    let socket = socket
        .map_err(|cause| wrong(&cause))?
        .ok_or_else(|| wrong(&"there is no socket"))?;
    socket
        .set_nonblocking(true)
        .map_err(|cause| wrong(&cause))?;
    Ok(socket)
}
