//! Throttles clients whose requests are answered without the core, such as unsound ones: all of them together take a
//! bounded share of the thread, however fast they send.
//!
//! Requests that reach the core need no throttle: a connection has one in flight, and the core answers once a tick.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Pause of a client as a multiple of the time that its requests took, for each client that pauses at the same time.
/// Together they take at most one part in five of the thread.
const PAUSE_FACTOR: u32 = 4;
/// Pause below which a client goes on; it pauses later instead. Timers are not more precise than that.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// Maximum pause, so that a client has its errors in time.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The throttle that all client connections share.
#[derive(Clone, Default)]
pub struct LocalReplyThrottle {
    /// Number of clients that are pausing.
    pausing: Rc<Cell<u32>>,
}

/// A client that pauses. Dropping the value ends the pause.
struct Pause(Rc<Cell<u32>>);

impl Drop for Pause {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Time that a connection's requests have taken on the thread since its last pause.
#[derive(Debug, Default)]
pub struct LocalReplyTime(Duration);

impl LocalReplyTime {
    /// Adds the time that the thread spent on a request.
    pub fn add(&mut self, taken: Duration) {
        self.0 += taken;
    }
}

impl LocalReplyThrottle {
    /// Pauses for as long as the connection's requests have earned, and resets their time. While the pause would be too
    /// short, only lets other tasks run.
    pub async fn pause(&self, taken: &mut LocalReplyTime) {
        let _pause = self.begin();
        let pause = self.pause_for(taken.0);
        if pause < MIN_PAUSE {
            return tokio::task::yield_now().await;
        }
        *taken = LocalReplyTime::default();
        tokio::time::sleep(pause).await;
    }

    fn begin(&self) -> Pause {
        self.pausing.set(self.pausing.get() + 1);
        Pause(self.pausing.clone())
    }

    /// Returns the pause for this time on the thread and the present number of pausing clients.
    fn pause_for(&self, taken: Duration) -> Duration {
        let factor = PAUSE_FACTOR.saturating_mul(self.pausing.get());
        taken.saturating_mul(factor).min(MAX_PAUSE)
    }
}

#[cfg(test)]
mod tests;
