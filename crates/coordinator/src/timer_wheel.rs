//! Coarse timers: a hashed wheel whose slots are one tick wide. An item never fires before its moment; it
//! fires in the first turn at or after the end of its tick. Nothing is taken back: whoever gets an item asks
//! whether it still matters.

use crate::messages::{Attempt, ConnectionId};
use cairnroad_types::Time;

const SLOTS: i64 = 1024;

/// What a turn of the core's wheel brings.
pub enum Timer {
    /// The decisions asked to be called.
    Wake,
    /// An attempt's time is up.
    Attempt(Attempt),
    /// A connection should be up by now.
    Dial(ConnectionId),
    /// Idle connections are looked for.
    Sweep,
    /// The kept bans are looked at.
    Look,
    /// Peers are told what is doubted.
    TellDoubts,
}

/// Items by the tick in which they fall due.
pub struct TimerWheel<T> {
    tick: i64,
    /// The last tick that was turned to.
    at: i64,
    slots: Vec<Vec<(i64, T)>>,
}

impl<T> TimerWheel<T> {
    /// A wheel that stands at `now` and turns in steps of `tick` seconds.
    pub fn new(now: Time, tick: f64) -> Self {
        let tick = ((tick * 1e6) as i64).max(1);
        TimerWheel {
            tick,
            at: now.0.div_euclid(tick),
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
        }
    }

    /// Has `item` fire at the first turn at or after `at`, and not before the next tick.
    pub fn insert(&mut self, at: Time, item: T) {
        let due =
            at.0.saturating_add(self.tick - 1)
                .div_euclid(self.tick)
                .max(self.at + 1);
        self.slots[due.rem_euclid(SLOTS) as usize].push((due, item));
    }

    /// Turns to `now` and returns what fell due, in order of its ticks.
    pub fn turn(&mut self, now: Time) -> Vec<T> {
        let to = now.0.div_euclid(self.tick);
        let mut due = Vec::new();
        // After a long stall one round over all slots finds everything.
        for at in (self.at + 1)..=to.min(self.at + SLOTS) {
            let slot = &mut self.slots[at.rem_euclid(SLOTS) as usize];
            due.extend(slot.extract_if(.., |(tick, _)| *tick <= to));
        }
        self.at = self.at.max(to);
        due.sort_by_key(|&(tick, _)| tick);
        due.into_iter().map(|(_, item)| item).collect()
    }
}

#[cfg(test)]
mod tests;
