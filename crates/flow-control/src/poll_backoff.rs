//! Backoff between polls for the endpoint list.

use cairnroad_types::Seconds;

/// Initial backoff, as a share of the longest allowed interval between polls.
const INITIAL_BACKOFF_SHARE: f64 = 0.02;
/// Largest number of times that the initial backoff doubles.
const MAX_DOUBLINGS: u32 = 3;

/// State of the subscription to the endpoint list, and the backoff after failures.
#[derive(Default)]
pub struct PollBackoff {
    consecutive_failures: u32,
    is_subscribed: bool,
}

impl PollBackoff {
    /// Returns whether the subscription is active, so that updates of the list arrive without a poll.
    pub fn is_subscribed(&self) -> bool {
        self.is_subscribed
    }

    /// Records that the list or an update of it was received, and resets the backoff.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.is_subscribed = true;
    }

    /// Records that a poll or the subscription failed. Returns the delay before the next poll, in seconds.
    ///
    /// The delay doubles with each consecutive failure. `random` is a number from 0 to 1 that spreads the polls
    /// of many coordinators over time.
    pub fn on_failure(&mut self, max_poll_interval: Seconds, random: f64) -> Seconds {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.is_subscribed = false;
        max_poll_interval * INITIAL_BACKOFF_SHARE * f64::from(1u32 << doublings) * (0.5 + random)
    }
}

#[cfg(test)]
mod tests;
