//! Tests of the clock in real time.

use super::*;
use std::time::Duration;

#[test]
fn arrival_after_a_stall_is_dated_to_its_start() {
    let clock = Clock::new(0.005);
    clock.record_tick();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(60));
    assert!(clock.earliest_arrival() <= before, "no tick for 60 ms");
}

/// Guards against long tick intervals in the settings that are all taken for stalls: each request would then be dated
/// back to the previous tick.
#[test]
fn a_long_tick_is_no_stall() {
    let clock = Clock::new(30.0);
    // Data that is read right after the start may have arrived before it. The initial stall is moved into the past to
    // disable this.
    clock.0.last_stall.set(Stall {
        start: Time(0),
        end: Time(0),
    });
    for _ in 0..2 {
        clock.record_tick();
        std::thread::sleep(Duration::from_millis(60));
        let before = clock.now();
        assert!(
            clock.earliest_arrival() >= before,
            "less than one tick has passed"
        );
    }
}
