//! A hashed timer wheel whose slots are one tick wide.
//!
//! An item never fires before its time; it fires in the first call of [`TimerWheel::advance`] at or after the end of its
//! tick. Items can't be removed: the receiver checks whether one still matters.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_types::{Seconds, Time};

const SLOTS: i64 = 1024;
const MICROS_PER_SECOND: f64 = 1e6;

/// An item and the tick in which it is due.
struct Entry<T> {
    due_tick: i64,
    item: T,
}

/// Items by the tick in which they are due.
pub struct TimerWheel<T> {
    /// Width of a tick, in microseconds.
    tick_micros: i64,
    /// The last tick that the wheel advanced to.
    current_tick: i64,
    slots: Vec<Vec<Entry<T>>>,
}

impl<T> TimerWheel<T> {
    /// A wheel that stands at `now`, with ticks of `tick` seconds.
    pub fn new(now: Time, tick: Seconds) -> Self {
        let tick_micros = ((tick * MICROS_PER_SECOND) as i64).max(1);
        TimerWheel {
            tick_micros,
            current_tick: now.0.div_euclid(tick_micros),
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
        }
    }

    /// Has `item` fire in the first advance to `at` or later, and not before the next tick.
    pub fn insert(&mut self, at: Time, item: T) {
        let end_of_tick = at.0.saturating_add(self.tick_micros - 1);
        let due_tick = end_of_tick
            .div_euclid(self.tick_micros)
            .max(self.current_tick + 1);
        let slot = slot_index(due_tick);
        self.slots[slot].push(Entry { due_tick, item });
    }

    /// Advances to `now` and returns the items that are due, in the order of their ticks.
    pub fn advance(&mut self, now: Time) -> Vec<T> {
        let target = now.0.div_euclid(self.tick_micros);
        let mut due = Vec::new();
        // After a long stall one round over all slots finds everything.
        let last = target.min(self.current_tick + SLOTS);
        for tick in (self.current_tick + 1)..=last {
            let slot = &mut self.slots[slot_index(tick)];
            due.extend(slot.extract_if(.., |entry| entry.due_tick <= target));
        }
        self.current_tick = self.current_tick.max(target);
        due.sort_by_key(|entry| entry.due_tick);
        due.into_iter().map(|entry| entry.item).collect()
    }
}

fn slot_index(tick: i64) -> usize {
    tick.rem_euclid(SLOTS) as usize
}

#[cfg(test)]
mod tests;
