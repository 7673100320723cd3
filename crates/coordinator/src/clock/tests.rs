//! The clock, by the system's own.

use super::*;
use std::time::Duration;

#[test]
fn arrival_after_a_stall_is_dated_to_its_start() {
    let clock = Clock::new(0.005);
    clock.record_tick();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(60));
    assert!(clock.earliest_arrival() <= before, "no beat for 60 ms");
}

/// Guards against a customer's long ticks that are all taken for stalls: each request would count from the tick before it.
#[test]
fn a_long_tick_is_no_stall() {
    let clock = Clock::new(30.0);
    // What is read right after the start may have come before it; that was long ago.
    clock.0.last_stall.set(Stall {
        start: Time(0),
        end: Time(0),
    });
    for _ in 0..2 {
        clock.record_tick();
        std::thread::sleep(Duration::from_millis(60));
        let before = clock.now();
        assert!(clock.earliest_arrival() >= before, "one tick is not over");
    }
}
