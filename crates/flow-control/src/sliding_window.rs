//! Counts of recent moments.

use cairnroad_types::{Seconds, Time};
use std::collections::VecDeque;

/// The moments within a sliding window, oldest first.
#[derive(Default)]
pub struct SlidingWindow {
    moments: VecDeque<Time>,
}

impl SlidingWindow {
    /// Adds the moment `now` and drops those more than `span` older, the longest span that is counted over.
    pub fn push(&mut self, now: Time, span: Seconds) {
        let expired = self.expired(now, span);
        self.moments.drain(..expired);
        self.moments.push_back(now);
    }

    /// Returns how many moments lie within the last `span` seconds.
    pub fn count(&self, now: Time, span: Seconds) -> f64 {
        (self.moments.len() - self.expired(now, span)) as f64
    }

    fn expired(&self, now: Time, span: Seconds) -> usize {
        self.moments.partition_point(|&at| now - at > span)
    }
}
