//! The buffer of a connection to a client: what was received and is not parsed yet.

use super::socket::READ_SIZE;
use crate::clock::Clock;
use crate::http::MAX_HEAD;
use bytes::BytesMut;
use cairnroad_types::{Seconds, Time};
use std::collections::VecDeque;
use std::io::{ErrorKind, Result};
use tokio::net::TcpStream;

/// Size of a buffer that holds more than one read: the longest head, or as many pipelined bytes, and a read.
const LARGE_SIZE: usize = MAX_HEAD + READ_SIZE;

/// Bytes that are read within this time of each other count as having arrived together, in seconds. It bounds the memory
/// for a client that sends byte by byte.
const ARRIVAL_PRECISION: Seconds = 0.02;

/// Bytes that were received and are not parsed yet. An empty buffer may be released, so that an idle connection holds no
/// memory.
#[derive(Default)]
pub struct ReceiveBuffer {
    /// The received bytes. Parsers remove bytes from the front.
    pub bytes: BytesMut,
    /// Size of the allocation that holds the bytes.
    allocated: usize,
    /// Number of bytes that were received since the buffer was released.
    received: u64,
    /// When these bytes arrived, oldest first.
    arrivals: VecDeque<Arrival>,
}

/// The arrival of bytes that were read at about the same time.
struct Arrival {
    /// Number of bytes that had been received by then.
    end: u64,
    at: Time,
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

    /// Appends bytes that the socket has already received, up to the room in the allocation; 0 bytes if the peer has closed it.
    ///
    /// # Errors
    ///
    /// The connection was reset, or nothing has been received (`WouldBlock`).
    pub fn read(&mut self, stream: &TcpStream, clock: &Clock) -> Result<usize> {
        if !self.has_room_for_read() {
            let size = self.size_for_read();
            let mut larger = BytesMut::with_capacity(size);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
            self.allocated = size;
        }
        let read = stream.try_read_buf(&mut self.bytes)?;
        self.record_arrival(read, clock.earliest_arrival());
        Ok(read)
    }

    fn record_arrival(&mut self, bytes: usize, at: Time) {
        self.received += bytes as u64;
        let end = self.received;
        if self.bytes.len() == bytes {
            // All earlier bytes have been parsed.
            self.arrivals.clear();
        }
        match self.arrivals.back_mut() {
            Some(last) if at - last.at < ARRIVAL_PRECISION => last.end = end,
            _ => self.arrivals.push_back(Arrival { end, at }),
        }
    }

    /// Returns when the last byte that was removed from the front arrived, at the latest.
    pub fn arrival_of_parsed(&mut self) -> Option<Time> {
        let parsed = self.received - self.bytes.len() as u64;
        while self.arrivals.len() > 1
            && self
                .arrivals
                .front()
                .is_some_and(|first| first.end < parsed)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|arrival| arrival.at)
    }

    /// Returns whether the buffer holds more than line breaks, which are no request.
    pub fn has_more(&self) -> bool {
        self.bytes.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Waits until the socket has received something, or is closed, and reads it.
    ///
    /// # Errors
    ///
    /// The connection was reset.
    pub async fn receive(&mut self, stream: &TcpStream, clock: &Clock) -> Result<usize> {
        loop {
            match self.read(stream, clock) {
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
