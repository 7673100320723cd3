//! Pending timers, in the order in which they expire.

use cairnroad_types::Time;
use std::collections::BTreeSet;

/// Pending timers, and the latest wake-up requested from the caller.
///
/// Timers that expire at the same moment are returned in the order of `T`.
pub struct TimerQueue<T> {
    timers: BTreeSet<(Time, T)>,
    requested_wake_up: Option<Time>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            timers: BTreeSet::new(),
            requested_wake_up: None,
        }
    }
}

impl<T: Ord + Copy> TimerQueue<T> {
    /// Adds a timer that expires at `at`.
    pub fn insert(&mut self, at: Time, timer: T) {
        self.timers.insert((at, timer));
    }

    /// Cancels the timer that was added for `at`. Does nothing if that timer isn't pending.
    pub fn remove(&mut self, at: Time, timer: T) {
        self.timers.remove(&(at, timer));
    }

    /// Removes and returns the earliest timer that has expired by `now`, with the moment for which it was set.
    pub fn pop_expired(&mut self, now: Time) -> Option<(Time, T)> {
        let first = *self.timers.first().filter(|&&(at, _)| at <= now)?;
        self.timers.remove(&first);
        Some(first)
    }

    /// Returns the moment of the next wake-up to request from the caller.
    ///
    /// Returns `None` if no timer is pending, or if a wake-up that comes early enough is already requested.
    pub fn next_wake(&mut self, now: Time) -> Option<Time> {
        let &(at, _) = self.timers.first()?;
        let is_covered = |wake_up: Time| wake_up > now && wake_up <= at;
        if self.requested_wake_up.is_some_and(is_covered) {
            return None;
        }
        self.requested_wake_up = Some(at);
        Some(at)
    }
}

#[cfg(test)]
mod tests;
