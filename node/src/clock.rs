//! The clock of the program.

use cairnroad::Time;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The clock: Unix time that only goes forward. It also knows of stalls, for a request that is read after one
/// may have been sent at its start.
#[derive(Clone)]
pub struct Clock(Rc<ClockState>);

struct ClockState {
    start: Instant,
    unix: Time,
    /// The last beat; and the last stall's start and end.
    beat: Cell<Time>,
    stall: Cell<(Time, Time)>,
}

/// Beats further apart than this are a stall.
const STALL: f64 = 0.025;
/// For so long after a stall, what is read may have come during it.
const AFTER_STALL: f64 = 0.010;

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = Time(unix.as_micros() as i64);
        let start = Instant::now();
        Clock(Rc::new(ClockState { start, unix, beat: Cell::new(unix), stall: Cell::new((unix, unix)) }))
    }

    pub fn now(&self) -> Time {
        Time(self.0.unix.0 + self.0.start.elapsed().as_micros() as i64)
    }

    /// Called by the core's every tick.
    pub fn beat(&self) {
        let now = self.now();
        let last = self.0.beat.replace(now);
        if now - last > STALL {
            self.0.stall.set((last, now));
        }
    }

    /// The earliest moment at which what is read now may have reached this machine. Guards against counting a
    /// client's time from after a stall of ours, in which its request lay unread.
    pub fn earliest_arrival(&self) -> Time {
        let now = self.now();
        let beat = self.0.beat.get();
        let (from, to) = self.0.stall.get();
        if now - beat > STALL {
            beat
        } else if now - to < AFTER_STALL {
            from
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn what_is_read_after_a_stall_may_have_come_at_its_start() {
        let clock = Clock::new();
        clock.beat();
        let before = clock.now();
        std::thread::sleep(Duration::from_millis(60));
        assert!(clock.earliest_arrival() <= before, "no beat for 60 ms");
    }
}
