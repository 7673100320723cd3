//! The clock of the program.

use cairnroad_types::Time;
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
    /// Beats further apart than the first are a stall, for the second of which after it what is read may have come in it.
    spans: (f64, f64),
}

/// Beats further apart than this are a stall; in ticks, if that is more: a beat comes with each.
const STALL: f64 = 0.025;
const STALL_TICKS: f64 = 2.5;
/// For so long after a stall, what is read may have come during it; in ticks, if that is more.
const AFTER_STALL: f64 = 0.010;
const AFTER_STALL_TICKS: f64 = 2.0;

impl Clock {
    /// A clock that is told of a beat with each tick of so many seconds.
    pub fn new(tick: f64) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix = Time(unix.as_micros() as i64);
        let start = Instant::now();
        let spans = (
            STALL.max(STALL_TICKS * tick),
            AFTER_STALL.max(AFTER_STALL_TICKS * tick),
        );
        Clock(Rc::new(ClockState {
            start,
            unix,
            beat: Cell::new(unix),
            stall: Cell::new((unix, unix)),
            spans,
        }))
    }

    pub fn now(&self) -> Time {
        Time(self.0.unix.0 + self.0.start.elapsed().as_micros() as i64)
    }

    /// Called by the core's every tick.
    pub fn record_tick(&self) {
        let now = self.now();
        let last = self.0.beat.replace(now);
        if now - last > self.0.spans.0 {
            self.0.stall.set((last, now));
        }
    }

    /// The earliest moment at which what is read now may have reached this machine. Guards against counting a
    /// client's time from after a stall of ours, in which its request lay unread.
    pub fn earliest_arrival(&self) -> Time {
        let now = self.now();
        let beat = self.0.beat.get();
        let ((from, to), (stall, after)) = (self.0.stall.get(), self.0.spans);
        if now - beat > stall {
            beat
        } else if now - to < after {
            from
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests;
