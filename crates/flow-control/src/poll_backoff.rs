//! When to poll for the endpoint list again.

use cairnroad_types::Seconds;

/// First backoff, as a share of the longest allowed interval between polls.
const FIRST_BACKOFF_SHARE: f64 = 0.02;
/// Doublings of the first backoff, at most.
const MAX_DOUBLINGS: u32 = 3;

/// The subscription to the endpoint list, and the backoff after failures.
#[derive(Default)]
pub struct PollBackoff {
    failures: u32,
    subscribed: bool,
}

impl PollBackoff {
    /// Whether updates of the list are coming without being asked for.
    pub fn is_subscribed(&self) -> bool {
        self.subscribed
    }

    /// The list, or an update of it, was received.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.subscribed = true;
    }

    /// The subscription failed. Returns the seconds to wait before the next try.
    ///
    /// The wait doubles with each failure in a row. `random` is a number from 0 to 1; it spreads the tries of
    /// many coordinators.
    pub fn on_failure(&mut self, max_poll_interval: Seconds, random: f64) -> Seconds {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.subscribed = false;
        max_poll_interval * FIRST_BACKOFF_SHARE * f64::from(1u32 << doublings) * (0.5 + random)
    }
}

#[cfg(test)]
mod tests;
