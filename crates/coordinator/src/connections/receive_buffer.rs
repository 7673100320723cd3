//! The buffer of a connection to a client: what was received and is not parsed yet.

use super::socket::READ_SIZE;
use crate::http::MAX_HEAD;
use bytes::BytesMut;
use std::io::{ErrorKind, Result};
use tokio::net::TcpStream;

/// Size of a buffer that holds more than one read: the longest head, or as many pipelined bytes, and a read.
const LARGE_SIZE: usize = MAX_HEAD + READ_SIZE;

/// Bytes that were received and are not parsed yet. An empty buffer may be released, so that an idle connection holds no
/// memory.
#[derive(Default)]
pub struct ReceiveBuffer {
    /// The received bytes. Parsers remove bytes from the front.
    pub bytes: BytesMut,
    /// Size of the allocation that holds the bytes.
    allocated: usize,
}

impl ReceiveBuffer {
    /// Returns the size of the allocation that the next read needs.
    pub fn size_for_read(&self) -> usize {
        if self.has_room_for_read() {
            self.allocated
        } else if self.bytes.is_empty() {
            READ_SIZE
        } else {
            LARGE_SIZE.max(self.bytes.len() + READ_SIZE)
        }
    }

    /// Appends up to [`READ_SIZE`] bytes that the socket has already received; 0 bytes if the peer has closed it.
    ///
    /// # Errors
    ///
    /// The connection was reset, or nothing has been received (`WouldBlock`).
    pub fn read(&mut self, stream: &TcpStream) -> Result<usize> {
        if !self.has_room_for_read() {
            let size = self.size_for_read();
            let mut larger = BytesMut::with_capacity(size);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
            self.allocated = size;
        }
        stream.try_read_buf(&mut self.bytes)
    }

    /// Waits until the socket has received something, or is closed, and reads it.
    ///
    /// # Errors
    ///
    /// The connection was reset.
    pub async fn receive(&mut self, stream: &TcpStream) -> Result<usize> {
        loop {
            match self.read(stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => stream.readable().await?,
                result => return result,
            }
        }
    }

    /// Returns the size of the allocation, in bytes.
    pub fn allocated(&self) -> usize {
        self.allocated
    }

    /// Gives up the allocation with all bytes in it.
    pub fn release(&mut self) {
        *self = ReceiveBuffer::default();
    }

    fn has_room_for_read(&self) -> bool {
        self.bytes.capacity() - self.bytes.len() >= READ_SIZE
    }
}
