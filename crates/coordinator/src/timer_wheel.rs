//! Coarse timers: a hashed wheel whose slots are one tick wide. An item never fires before its moment; it
//! fires in the first turn at or after the end of its tick. Nothing is taken back: whoever gets an item asks
//! whether it still matters.

use crate::messages::Attempt;
use cairnroad_types::Time;

const SLOTS: i64 = 1024;

/// What a turn of the core's wheel brings.
pub enum Timer {
    /// The decisions asked to be called.
    RouterWakeUp,
    /// An attempt's time is up.
    AttemptDeadline(Attempt),
    /// A connection should be up by now.
    DialDeadline(u64),
    /// Idle connections are looked for.
    ConnectionSweep,
    /// The kept bans are looked at.
    SuspensionPoll,
    /// Peers are told what is doubted.
    OutlierPublication,
}

/// Items by the tick in which they fall due.
pub struct TimerWheel<T> {
    tick_micros: i64,
    /// The last tick that was turned to.
    current_tick: i64,
    slots: Vec<Vec<(i64, T)>>,
}

impl<T> TimerWheel<T> {
    /// A wheel that stands at `now` and turns in steps of `tick` seconds.
    pub fn new(now: Time, tick: f64) -> Self {
        let tick = ((tick * 1e6) as i64).max(1);
        TimerWheel {
            tick_micros: tick,
            current_tick: now.0.div_euclid(tick),
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
        }
    }

    /// Has `item` fire at the first turn at or after `at`, and not before the next tick.
    pub fn insert(&mut self, at: Time, item: T) {
        let due =
            at.0.saturating_add(self.tick_micros - 1)
                .div_euclid(self.tick_micros)
                .max(self.current_tick + 1);
        self.slots[due.rem_euclid(SLOTS) as usize].push((due, item));
    }

    /// Turns to `now` and returns what fell due, in order of its ticks.
    pub fn advance(&mut self, now: Time) -> Vec<T> {
        let to = now.0.div_euclid(self.tick_micros);
        let mut due = Vec::new();
        // After a long stall one round over all slots finds everything.
        for at in (self.current_tick + 1)..=to.min(self.current_tick + SLOTS) {
            let slot = &mut self.slots[at.rem_euclid(SLOTS) as usize];
            due.extend(slot.extract_if(.., |(tick, _)| *tick <= to));
        }
        self.current_tick = self.current_tick.max(to);
        due.sort_by_key(|&(tick, _)| tick);
        due.into_iter().map(|(_, item)| item).collect()
    }
}

#[cfg(test)]
mod tests;
