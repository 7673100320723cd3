//! Discards what a connection still sends after its last response, at a rate that all connections share.

use crate::clock::Clock;
use crate::messages::ClientLiveness;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;

/// Number of bytes that a connection discards between two delays.
const BURST: usize = 256 * 1024;
/// Delay after a burst.
const DELAY: Duration = Duration::from_millis(5);
/// Number of connections that discard at the full rate of one burst per delay. With more, the delays grow in proportion, so
/// that flooding clients occupy a bounded share of the thread, however many there are.
const FULL_RATE_CONNECTIONS: usize = 4;
/// Maximum number of bytes discarded by one read.
const READ_SIZE: usize = 16 * 1024;
/// Time without further bytes after which a peer is taken to have sent nothing more: the peer's machine sends the bytes
/// that it holds only once it has heard that there is room for them.
const QUIET_PERIOD: Duration = Duration::from_millis(10);

/// Limits the rate at which a group of connections discards received bytes.
#[derive(Clone, Default)]
pub struct DiscardLimiter {
    /// Number of connections that discard.
    active: Rc<Cell<usize>>,
}

/// One connection that discards; it ends with the value.
struct ActiveDiscard(Rc<Cell<usize>>);

impl Drop for ActiveDiscard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How a burst of reads ended.
enum BurstEnd {
    /// The peer has closed or reset its connection.
    Closed,
    /// Everything that has arrived was read.
    Drained,
    /// The burst was used up, and more bytes may have arrived.
    Exhausted,
}

impl DiscardLimiter {
    /// Reads and discards incoming bytes. Returns once the peer has closed or reset its connection.
    pub async fn discard(&self, stream: &TcpStream) {
        let _active = self.begin();
        loop {
            if stream.readable().await.is_err() {
                return;
            }
            match discard_burst(stream) {
                BurstEnd::Closed => return,
                BurstEnd::Drained => consume_budget().await,
                BurstEnd::Exhausted => tokio::time::sleep(self.delay()).await,
            }
        }
    }

    /// Does the same for a client whose request is open, and records in `client` whether its disconnect would be seen.
    pub async fn discard_until_disconnect(
        &self,
        stream: &TcpStream,
        client: &ClientLiveness,
        clock: &Clock,
    ) {
        let _active = self.begin();
        loop {
            consume_budget().await;
            match discard_burst(stream) {
                BurstEnd::Closed => return,
                BurstEnd::Drained => {
                    let next = tokio::time::timeout(QUIET_PERIOD, stream.readable()).await;
                    if next.is_err() {
                        client.on_read_to_end();
                        // The next burst tells whether the wait ended with bytes or with an error.
                        let _ = stream.readable().await;
                    }
                }
                BurstEnd::Exhausted => {
                    client.on_unread(clock.now());
                    tokio::time::sleep(self.delay()).await;
                }
            }
        }
    }

    fn begin(&self) -> ActiveDiscard {
        self.active.set(self.active.get() + 1);
        ActiveDiscard(self.active.clone())
    }

    /// Returns the delay after a burst for the present number of connections.
    fn delay(&self) -> Duration {
        let share = self.active.get().div_ceil(FULL_RATE_CONNECTIONS);
        DELAY * u32::try_from(share).unwrap_or(u32::MAX)
    }
}

/// Discards what the socket has received, up to a bound. Returns without waiting.
pub fn discard_received(stream: &TcpStream) {
    discard_burst(stream);
}

/// Discards up to [`BURST`] bytes of what has arrived. The buffer is on the stack, so that connections hold no memory
/// between two bursts.
fn discard_burst(stream: &TcpStream) -> BurstEnd {
    let mut buffer = [0; READ_SIZE];
    let mut remaining = BURST;
    while remaining > 0 {
        match stream.try_read(&mut buffer) {
            Ok(0) => return BurstEnd::Closed,
            Ok(bytes) => remaining = remaining.saturating_sub(bytes),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                return BurstEnd::Drained
            }
            Err(_) => return BurstEnd::Closed,
        }
    }
    BurstEnd::Exhausted
}

#[cfg(test)]
mod tests;
