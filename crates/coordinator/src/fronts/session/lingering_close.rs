//! Closes a connection without a reset.

use super::ClientSession;
use crate::connections::discard;
use crate::http::RequestParser;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Time for which bytes from a client are discarded after its last response, so that a reset does not cut the response
/// off. A connection whose client sends 60 MB must be closed within 6 s.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same time for an idle connection: bytes that cross the close are discarded, so that no reset overtakes a
/// response that the client has not read yet.
pub const IDLE_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

impl ClientSession {
    /// Gives up all received bytes, of which none is served any more.
    fn release_buffers(&mut self) {
        self.buffer.release();
        self.pipelined = None;
        self.parser = RequestParser::default();
        self.reserve_buffers();
    }

    /// Closes a connection that is shed: its slot and its memory are needed now. What the client has sent is discarded, so
    /// that no reset overtakes the response.
    pub async fn close_at_once(&mut self) {
        let _ = self.stream.shutdown().await;
        discard::discard_received(&self.stream);
    }

    /// Half-closes the connection and discards incoming bytes until the client closes, the slot is needed or the
    /// time-out passes. No request read here is served.
    pub async fn linger(&mut self, timeout: Duration) {
        let _ = self.stream.shutdown().await;
        self.release_buffers();
        self.connection.begin_linger(self.front.clock.now());
        let discards = &self.front.connections.discards;
        tokio::select! {
            () = discards.discard(&self.stream) => {}
            () = self.connection.wait_for_eviction() => {}
            () = tokio::time::sleep(timeout) => {}
        }
    }
}
