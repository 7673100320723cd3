//! Discards what a connection still sends after its last response, at a rate that all connections share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Number of bytes that a connection discards between two delays.
const BURST: usize = 256 * 1024;
/// Delay after a burst.
const DELAY: Duration = Duration::from_millis(5);
/// Number of connections that discard at the full rate of one burst per delay. With more, the delays grow in proportion, so
/// that flooding clients occupy a bounded share of the thread, however many there are.
const FULL_RATE_CONNECTIONS: usize = 4;
/// Maximum number of bytes discarded by one read.
const READ_SIZE: usize = 16 * 1024;

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

impl DiscardLimiter {
    /// Reads and discards incoming bytes. Returns once the peer has closed or reset its connection.
    pub async fn discard(&self, stream: &mut TcpStream) {
        let _active = self.begin();
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let mut remaining = BURST;
            while remaining > 0 {
                match stream.read(&mut buffer).await {
                    Ok(bytes) if bytes > 0 => remaining = remaining.saturating_sub(bytes),
                    _ => return,
                }
            }
            tokio::time::sleep(self.delay()).await;
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

#[cfg(test)]
mod tests;
