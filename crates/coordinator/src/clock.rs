//! The program's clock.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_types::{Seconds, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Ticks further apart than this are a stall of the process, in seconds and in ticks, whichever is more.
const STALL: Seconds = 0.025;
const STALL_TICKS: f64 = 2.5;
/// What is read this soon after a stall may have arrived during it, in seconds and in ticks, whichever is more.
const STALL_AFTERMATH: Seconds = 0.010;
const STALL_AFTERMATH_TICKS: f64 = 2.0;

/// Unix time that only goes forward. Clones share their state.
///
/// The clock also detects stalls of the process: a request that is read after a stall may have arrived at its start.
#[derive(Clone)]
pub struct Clock(Rc<ClockState>);

struct ClockState {
    start: Instant,
    unix_start: Time,
    last_tick: Cell<Time>,
    last_stall: Cell<Stall>,
    /// Ticks further apart than this are a stall.
    stall_threshold: Seconds,
    /// What is read this soon after a stall may have arrived during it.
    stall_aftermath: Seconds,
}

/// A time in which the process did not run.
#[derive(Clone, Copy)]
struct Stall {
    start: Time,
    end: Time,
}

impl Clock {
    /// A clock whose [`record_tick`](Clock::record_tick) is called every `tick` seconds.
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
            stall_threshold: STALL.max(STALL_TICKS * tick),
            stall_aftermath: STALL_AFTERMATH.max(STALL_AFTERMATH_TICKS * tick),
        }))
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.0.unix_start.0 + self.0.start.elapsed().as_micros() as i64)
    }

    /// Records a tick of the core; ticks too far apart are a stall.
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

    /// The earliest time at which bytes that are read now may have reached this machine.
    ///
    /// Guards against counting a client's deadline from the end of a stall in which its request lay unread.
    pub fn earliest_arrival(&self) -> Time {
        let now = self.now();
        let last_tick = self.0.last_tick.get();
        let stall = self.0.last_stall.get();
        if now - last_tick > self.0.stall_threshold {
            last_tick
        } else if now - stall.end < self.0.stall_aftermath {
            stall.start
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests;
