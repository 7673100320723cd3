//! Timers in the order in which they expire.

use cairnroad_types::Time;
use std::collections::BTreeSet;

/// Pending timers, and the wake-up that was last requested from the caller.
///
/// Timers that expire at the same moment come in the order of `T`.
pub struct TimerQueue<T> {
    timers: BTreeSet<(Time, T)>,
    requested_wake: Option<Time>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            timers: BTreeSet::new(),
            requested_wake: None,
        }
    }
}

impl<T: Ord + Copy> TimerQueue<T> {
    /// Adds a timer that expires at `at`.
    pub fn insert(&mut self, at: Time, timer: T) {
        self.timers.insert((at, timer));
    }

    /// Cancels the timer that was added for `at`; one that isn't pending is ignored.
    pub fn remove(&mut self, at: Time, timer: T) {
        self.timers.remove(&(at, timer));
    }

    /// Takes the next timer that expired by `now`, with the moment for which it was set.
    pub fn pop_expired(&mut self, now: Time) -> Option<(Time, T)> {
        let first = *self.timers.first().filter(|&&(at, _)| at <= now)?;
        self.timers.remove(&first);
        Some(first)
    }

    /// Returns the moment of the next wake-up to request, unless one that comes as soon is already requested.
    pub fn next_wake(&mut self, now: Time) -> Option<Time> {
        let &(at, _) = self.timers.first()?;
        let covered = |wake: Time| wake > now && wake <= at;
        if self.requested_wake.is_some_and(covered) {
            return None;
        }
        self.requested_wake = Some(at);
        Some(at)
    }
}

#[cfg(test)]
mod tests;
