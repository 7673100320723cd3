//! A clock that stops while the process is paused.

use super::timing::{PAUSE_THRESHOLD, TICK_INTERVAL};
use cairnroad_types::{Seconds, Time};
use std::cell::Cell;
use std::rc::Rc;

/// Clock of the membership time, which leaves out pauses of the process. Otherwise suspicions would time out during a
/// pause, in which their refutations could not be received.
pub(super) struct PausableClock {
    now: Rc<Cell<Time>>,
    /// Total time of all pauses, which is subtracted from the wall clock.
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

    /// Returns the membership time as of the last [`PausableClock::advance`].
    pub(super) fn now(&self) -> Time {
        self.now.get()
    }

    /// Returns the cell that holds [`PausableClock::now`], from which the broadcast handler reads the time.
    pub(super) fn shared_now(&self) -> Rc<Cell<Time>> {
        self.now.clone()
    }

    /// Records a tick and returns the time since the previous one; 0 at the first tick.
    pub(super) fn record_tick(&mut self, wall_now: Time) -> Seconds {
        let last = self.last_tick.replace(wall_now);
        last.map_or(0.0, |last| wall_now - last)
    }

    /// Excludes a gap between two ticks from the membership time, except for one tick interval.
    pub(super) fn skip_pause(&mut self, gap: Seconds) {
        self.total_pause += gap - TICK_INTERVAL;
    }

    /// Sets the membership time by the wall clock. After a pause, the time does not advance until the next tick has
    /// measured the pause.
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
