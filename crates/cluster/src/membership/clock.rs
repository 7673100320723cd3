//! A clock that stands still while the process does not run.

use super::timing::{PAUSE_THRESHOLD, TICK_INTERVAL};
use cairnroad_types::{Seconds, Time};
use std::cell::Cell;
use std::rc::Rc;

/// Membership time. After a pause no suspicion ripens by time in which its refutation could not be read.
pub(super) struct PausableClock {
    now: Rc<Cell<Time>>,
    total_pause: Seconds,
    last_tick: Option<Time>,
}

impl PausableClock {
    pub(super) fn new(now: Time) -> PausableClock {
        PausableClock {
            now: Rc::new(Cell::new(now)),
            total_pause: 0.0,
            last_tick: None,
        }
    }

    /// Membership time as it was last set.
    pub(super) fn now(&self) -> Time {
        self.now.get()
    }

    /// The cell that holds [`PausableClock::now`], to be read by the broadcast handler.
    pub(super) fn shared(&self) -> Rc<Cell<Time>> {
        self.now.clone()
    }

    /// Notes a tick and returns how long ago the one before it was.
    pub(super) fn record_tick(&mut self, wall_now: Time) -> Seconds {
        let last = self.last_tick.replace(wall_now);
        last.map_or(0.0, |last| wall_now - last)
    }

    /// Leaves a gap between two ticks out of membership time.
    pub(super) fn skip_pause(&mut self, gap: Seconds) {
        self.total_pause += gap - TICK_INTERVAL;
    }

    /// Sets membership time by the wall clock. In the middle of a pause, before the tick that measures it, time
    /// stands still.
    pub(super) fn advance(&self, wall_now: Time) {
        let is_pause_unmeasured = self
            .last_tick
            .is_some_and(|last| wall_now - last > PAUSE_THRESHOLD);
        if !is_pause_unmeasured {
            self.now
                .set(self.now.get().max(wall_now + -self.total_pause));
        }
    }
}
