//! Counts of events within a sliding window of time.

use cairnroad_types::{Seconds, Time};
use std::collections::VecDeque;

/// The events of one moment.
struct Moment {
    at: Time,
    /// Number of events that were recorded before this moment.
    earlier_events: u64,
}

/// The events within a sliding window, oldest first. The memory grows with the number of moments at which events were
/// recorded, not with the number of events: clients decide how many requests arrive in a tick.
#[derive(Default)]
pub struct SlidingWindow {
    moments: VecDeque<Moment>,
    /// Number of events that were ever recorded.
    events: u64,
}

impl SlidingWindow {
    /// Records an event at `now`, and drops events more than `window` seconds older.
    ///
    /// `window` must be the longest window that [`count`](Self::count) is called with.
    pub fn push(&mut self, now: Time, window: Seconds) {
        let expired = self.expired_count(now, window);
        self.moments.drain(..expired);
        if self.moments.back().is_none_or(|last| last.at != now) {
            self.moments.push_back(Moment {
                at: now,
                earlier_events: self.events,
            });
        }
        self.events += 1;
    }

    /// Returns how many events were recorded within the last `window` seconds.
    pub fn count(&self, now: Time, window: Seconds) -> f64 {
        let first = self.moments.get(self.expired_count(now, window));
        first.map_or(0.0, |first| (self.events - first.earlier_events) as f64)
    }

    /// Returns the number of moments that are more than `window` seconds ago.
    fn expired_count(&self, now: Time, window: Seconds) -> usize {
        self.moments
            .partition_point(|moment| now - moment.at > window)
    }
}

#[cfg(test)]
mod tests;
