//! Waiting for conditions.

use std::thread;
use std::time::{Duration, Instant};

/// Waits for something that has to come, for as long as any machine may need.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "{what} did not come"
        );
        thread::sleep(Duration::from_millis(2));
    }
}
