//! Counts of events within a sliding window of time.

use cairnroad_types::{Seconds, Time};
use std::collections::VecDeque;

/// Times of the events within a sliding window, oldest first.
#[derive(Default)]
pub struct SlidingWindow {
    event_times: VecDeque<Time>,
}

impl SlidingWindow {
    /// Records an event at `now`, and drops events more than `window` seconds older.
    ///
    /// `window` must be the longest window that [`count`](Self::count) is called with.
    pub fn push(&mut self, now: Time, window: Seconds) {
        let expired = self.expired_count(now, window);
        self.event_times.drain(..expired);
        self.event_times.push_back(now);
    }

    /// Returns how many events were recorded within the last `window` seconds.
    pub fn count(&self, now: Time, window: Seconds) -> f64 {
        (self.event_times.len() - self.expired_count(now, window)) as f64
    }

    fn expired_count(&self, now: Time, window: Seconds) -> usize {
        self.event_times.partition_point(|&at| now - at > window)
    }
}
