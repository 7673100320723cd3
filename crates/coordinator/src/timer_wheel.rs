//! A hashed timer wheel whose slots are one tick wide.
//!
//! An item never fires before its due time: the first call of [`TimerWheel::advance`] at or after the end of its tick
//! returns it. Items can't be removed; the receiver checks whether an item is still relevant.

use cairnroad_types::{Seconds, Time};

/// Number of slots of the wheel. Items that are due later than that many ticks share slots with earlier ones.
const SLOT_COUNT: i64 = 1024;
const MICROS_PER_SECOND: f64 = 1e6;

/// An item and the tick in which it is due.
struct Entry<T> {
    due_tick: i64,
    item: T,
}

/// A timer wheel that holds items until they are due.
pub struct TimerWheel<T> {
    /// Length of a tick, in microseconds.
    tick_micros: i64,
    /// The tick to which the wheel was last advanced.
    current_tick: i64,
    slots: Vec<Vec<Entry<T>>>,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel that starts at `now`, with ticks of `tick` seconds.
    pub fn new(now: Time, tick: Seconds) -> Self {
        let tick_micros = ((tick * MICROS_PER_SECOND) as i64).max(1);
        TimerWheel {
            tick_micros,
            current_tick: now.0.div_euclid(tick_micros),
            slots: (0..SLOT_COUNT).map(|_| Vec::new()).collect(),
        }
    }

    /// Schedules `item` for the first call of [`advance`](Self::advance) at or after `at`, but not before the next
    /// tick.
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
        let target_tick = now.0.div_euclid(self.tick_micros);
        let mut due = Vec::new();
        // After a long stall, a single pass over all slots finds all items that are due.
        let last_tick = target_tick.min(self.current_tick + SLOT_COUNT);
        for tick in (self.current_tick + 1)..=last_tick {
            let slot = &mut self.slots[slot_index(tick)];
            due.extend(slot.extract_if(.., |entry| entry.due_tick <= target_tick));
        }
        self.current_tick = self.current_tick.max(target_tick);
        due.sort_by_key(|entry| entry.due_tick);
        due.into_iter().map(|entry| entry.item).collect()
    }
}

fn slot_index(tick: i64) -> usize {
    tick.rem_euclid(SLOT_COUNT) as usize
}

#[cfg(test)]
mod tests;
