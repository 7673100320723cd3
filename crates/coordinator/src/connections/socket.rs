//! Reads data that a socket has already received.

use bytes::{BufMut, BytesMut};
use std::io::Read;
use tokio::net::TcpStream;

/// Room that a reader provides in its buffer before each read, in bytes. A read can return no more, which bounds the work
/// between two reads.
pub const READ_SIZE: usize = 4 * 1024;
/// Number of bytes after which a call of [`read_available`] stops reading. The last read may exceed it by up to
/// [`READ_SIZE`] - 1 bytes.
const MAX_READ_AHEAD: usize = 128 * 1024;

/// Appends the data that the socket has already received to `buffer`, even if the runtime has not been notified of it.
/// Returns whether any data was read.
///
/// Callers use this before they close a socket: closing it with unread data would lose the data and reset the
/// connection.
pub fn read_available(stream: &TcpStream, buffer: &mut BytesMut) -> bool {
    let before = buffer.len();
    let mut chunk = [0; READ_SIZE];
    while buffer.len() - before < MAX_READ_AHEAD {
        match (&*socket2::SockRef::from(stream)).read(&mut chunk) {
            Ok(bytes) if bytes > 0 => buffer.put_slice(&chunk[..bytes]),
            _ => break,
        }
    }
    buffer.len() > before
}
