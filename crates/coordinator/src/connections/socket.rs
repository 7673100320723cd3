//! Reading what a socket already holds.

use std::io::Read;
use tokio::net::TcpStream;

/// The most that one call of [`read_available`] takes, in bytes.
const MAX_READ_AHEAD: usize = 128 * 1024;
/// Bytes taken by one read.
const CHUNK: usize = 4096;

/// Appends to `buffer` what the socket holds at this very moment, even if the runtime has not been notified of it.
/// Returns whether that was anything.
///
/// Guards against a close that crosses bytes just received: they would be lost, and the connection reset.
pub fn read_available(stream: &TcpStream, buffer: &mut Vec<u8>) -> bool {
    let before = buffer.len();
    let mut chunk = [0; CHUNK];
    while buffer.len() - before < MAX_READ_AHEAD {
        match (&*socket2::SockRef::from(stream)).read(&mut chunk) {
            Ok(bytes) if bytes > 0 => buffer.extend_from_slice(&chunk[..bytes]),
            _ => break,
        }
    }
    buffer.len() > before
}
