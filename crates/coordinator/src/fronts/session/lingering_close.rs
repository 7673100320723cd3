//! Closing a connection without a reset.

use super::super::exchange::discard;
use super::ClientSession;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// How long a client that still sends is drained after its answer, so that a reset doesn't cut the answer off. A client
/// that sends 60 MB has to have its end within 6 s.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same for an idle client: what crosses the close is drained, so that no reset overtakes an answer that it has not
/// read.
pub const IDLE_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

impl ClientSession {
    /// Half-closes the connection, then drains what the client still sends, until the client closes, the slot is needed
    /// or the time is over. Nothing that is read here is served.
    pub async fn linger(&mut self, timeout: Duration) {
        let _ = self.stream.shutdown().await;
        self.connection.begin_linger(self.front.clock.now());
        tokio::select! {
            () = discard(&mut self.stream) => {}
            () = self.connection.evicted() => {}
            () = tokio::time::sleep(timeout) => {}
        }
    }
}
