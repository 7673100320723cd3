//! Polls a condition until it holds, with a time limit.

use std::thread;
use std::time::{Duration, Instant};

/// The limit is generous, so that slow machines do not fail tests.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Waits until `is_met` returns true. Panics after 20 s with the condition's name.
pub fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(
            start.elapsed() < TIME_LIMIT,
            "timed out after {TIME_LIMIT:?} waiting for: {condition}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}
