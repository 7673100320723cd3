//! Timers of the SWIM library, ordered by due time.

use crate::identity::MemberId;
use cairnroad_types::Time;
use foca::Timer;
use std::collections::BTreeMap;

/// Orders timers by due time, and timers with equal due times by the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Time,
    sequence: u64,
}

/// Timers that the SWIM library requested and that have not fired yet.
#[derive(Default)]
pub(super) struct SwimTimers {
    timers: BTreeMap<TimerKey, Timer<MemberId>>,
    last_sequence: u64,
}

impl SwimTimers {
    /// Adds a timer that fires at the given time.
    pub(super) fn schedule(&mut self, due: Time, timer: Timer<MemberId>) {
        self.last_sequence += 1;
        let key = TimerKey {
            due,
            sequence: self.last_sequence,
        };
        self.timers.insert(key, timer);
    }

    /// Removes and returns the earliest timer if it is due.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Timer<MemberId>> {
        let first = self.timers.first_entry()?;
        (first.key().due <= now).then(|| first.remove())
    }

    /// Cancels all timers.
    pub(super) fn clear(&mut self) {
        self.timers.clear();
    }
}
