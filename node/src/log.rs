//! The one macro that logs. Every line goes to standard error, at most a few a second, so that a fault that
//! repeats cannot drown the machine; what was left out is counted on the next line.

use std::cell::Cell;
use std::time::Instant;

/// Lines a second, and how many may come at once.
const RATE: f64 = 5.0;
const BURST: f64 = 40.0;

thread_local! {
    static BUCKET: Cell<(f64, Option<Instant>, u64)> = const { Cell::new((BURST, None, 0)) };
}

/// Whether a line may be written now, and how many were left out since the last one.
pub fn admit() -> Option<u64> {
    BUCKET.with(|bucket| {
        let (left, at, skipped) = bucket.get();
        let now = Instant::now();
        let earned = at.map_or(0.0, |at| (now - at).as_secs_f64() * RATE);
        let left = (left + earned).min(BURST);
        if left >= 1.0 {
            bucket.set((left - 1.0, Some(now), 0));
            Some(skipped)
        } else {
            bucket.set((left, Some(now), skipped + 1));
            None
        }
    })
}

/// Writes one line to standard error, rate-limited.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {
        match $crate::log::admit() {
            Some(0) => eprintln!("cairnroad: {}", format_args!($($arg)*)),
            Some(skipped) => eprintln!("cairnroad: {} [{skipped} lines left out]", format_args!($($arg)*)),
            None => {}
        }
    };
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_flood_of_lines_is_cut_short() {
        let written = (0..1000).filter(|_| super::admit().is_some()).count();
        assert!((40..100).contains(&written), "{written}");
    }
}
