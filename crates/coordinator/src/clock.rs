//! The program's clock, which also detects stalls of the process.

use cairnroad_types::{Seconds, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A gap between two ticks that is longer than this is a stall of the process. In seconds; the longer of this value and
/// [`STALL_THRESHOLD_TICKS`] applies.
const STALL_THRESHOLD: Seconds = 0.025;
/// The same threshold in ticks.
const STALL_THRESHOLD_TICKS: f64 = 2.5;
/// Data that is read within this time after a stall may have arrived during the stall. In seconds; the longer of
/// this value and [`POST_STALL_WINDOW_TICKS`] applies.
const POST_STALL_WINDOW: Seconds = 0.010;
/// The same time in ticks.
const POST_STALL_WINDOW_TICKS: f64 = 2.0;

/// A monotonic clock that counts from the Unix epoch. Clones share their state.
///
/// The clock also detects stalls of the process, because a request that is read after a stall may have arrived when the
/// stall began.
#[derive(Clone)]
pub struct Clock(Rc<ClockState>);

struct ClockState {
    start: Instant,
    unix_start: Time,
    last_tick: Cell<Time>,
    last_stall: Cell<Stall>,
    /// A gap between two ticks that is longer than this is a stall, in seconds.
    stall_threshold: Seconds,
    /// Data that is read within this time after a stall may have arrived during the stall, in seconds.
    post_stall_window: Seconds,
}

/// A period in which the process did not run.
#[derive(Clone, Copy)]
struct Stall {
    start: Time,
    end: Time,
}

impl Clock {
    /// Creates a clock whose [`record_tick`](Clock::record_tick) is called every `tick` seconds.
    pub fn new(tick: Seconds) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_start = Time(unix.as_micros() as i64);
        Clock(Rc::new(ClockState {
            start: Instant::now(),
            unix_start,
            last_tick: Cell::new(unix_start),
            last_stall: Cell::new(Stall {
                start: unix_start,
                end: unix_start,
            }),
            stall_threshold: STALL_THRESHOLD.max(STALL_THRESHOLD_TICKS * tick),
            post_stall_window: POST_STALL_WINDOW.max(POST_STALL_WINDOW_TICKS * tick),
        }))
    }

    /// Returns the current time. It never goes back, even if the system time does.
    pub fn now(&self) -> Time {
        Time(self.0.unix_start.0 + self.0.start.elapsed().as_micros() as i64)
    }

    /// Records a tick of the core. If the previous tick was too long ago, the time since then is recorded as a stall.
    pub fn record_tick(&self) {
        let now = self.now();
        let last = self.0.last_tick.replace(now);
        if now - last > self.0.stall_threshold {
            self.0.last_stall.set(Stall {
                start: last,
                end: now,
            });
        }
    }

    /// Returns the earliest time at which data that is read now may have arrived at this machine.
    ///
    /// A client's deadline counts from this time. Counting from the time of reading would extend the deadline by the
    /// duration of a stall during which the request waited unread.
    pub fn earliest_arrival(&self) -> Time {
        let now = self.now();
        let last_tick = self.0.last_tick.get();
        let stall = self.0.last_stall.get();
        if now - last_tick > self.0.stall_threshold {
            last_tick
        } else if now - stall.end < self.0.post_stall_window {
            stall.start
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests;
