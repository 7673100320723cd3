use super::{Debounce, ReadOutcome, MAX_RETRIES, RESCAN_INTERVAL, STABLE_TIME};
use std::time::Duration;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn files_are_read_after_a_quiet_period_and_within_the_bound() {
    let mut debounce = Debounce::new(ms(0));
    assert_eq!(debounce.next_read_at(), RESCAN_INTERVAL);
    debounce.on_change(ms(500));
    assert_eq!(debounce.next_read_at(), ms(530));
    for step in 1..100 {
        debounce.on_change(ms(500 + step));
    }
    assert_eq!(debounce.next_read_at(), ms(560), "the files keep changing");
    debounce.on_read(ms(560), ReadOutcome::Unusable);
    let mut reads = 0;
    let mut now = ms(560);
    while debounce.next_read_at() - now < ms(100) {
        now = debounce.next_read_at();
        debounce.on_read(now, ReadOutcome::Unusable);
        reads += 1;
    }
    assert_eq!(
        reads, MAX_RETRIES,
        "rejected files are retried a few times, then read at the rescan interval"
    );
    debounce.on_change(now);
    debounce.on_read(now + ms(30), ReadOutcome::Applied);
    assert!(debounce.next_read_at() - now > ms(1000));
}

/// Guards against usable files that are read again only at the rescan, however often they have changed meanwhile.
#[test]
fn usable_files_are_read_again_after_the_stable_time() {
    let mut debounce = Debounce::new(ms(0));
    debounce.on_change(ms(500));
    for read in 0..10 {
        let now = ms(530) + read * STABLE_TIME;
        debounce.on_read(now, ReadOutcome::Unstable);
        assert_eq!(debounce.next_read_at(), now + STABLE_TIME);
    }
    debounce.on_read(ms(1_100), ReadOutcome::Applied);
    assert_eq!(debounce.next_read_at(), ms(1_100) + RESCAN_INTERVAL);
}
