//! Moments and durations in the units that routing decisions use.

use std::ops::{Add, Sub};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A duration in seconds.
///
/// The type is a plain float because decisions multiply, divide and compare durations with dimensionless
/// ratios, and because the simulator's figures depend on every rounding.
pub type Seconds = f64;

/// A moment on the caller's clock, counted in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

impl Time {
    /// Returns the moment `secs` seconds after the clock's zero. Values out of range saturate.
    pub fn from_secs(secs: Seconds) -> Self {
        Time((secs * MICROSECONDS_PER_SECOND).round() as i64)
    }

    /// Returns the seconds since the clock's zero.
    pub fn secs(self) -> Seconds {
        self.0 as f64 / MICROSECONDS_PER_SECOND
    }
}

/// Returns the moment that is the given number of seconds later. Values out of range saturate.
impl Add<Seconds> for Time {
    type Output = Time;

    #[expect(
        clippy::suspicious_arithmetic_impl,
        reason = "seconds become microseconds"
    )]
    fn add(self, secs: Seconds) -> Time {
        let microseconds = (secs * MICROSECONDS_PER_SECOND).round() as i64;
        Time(self.0.saturating_add(microseconds))
    }
}

/// Returns the seconds between two moments; negative if `rhs` is the later one.
impl Sub for Time {
    type Output = Seconds;

    #[expect(
        clippy::suspicious_arithmetic_impl,
        reason = "microseconds become seconds"
    )]
    fn sub(self, rhs: Time) -> Seconds {
        self.0.saturating_sub(rhs.0) as f64 / MICROSECONDS_PER_SECOND
    }
}
