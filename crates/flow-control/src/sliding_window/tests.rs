use super::*;

/// Guards against memory that grows with the number of requests in a tick, and against counts that differ from those of the
/// single events.
#[test]
fn events_of_one_moment_are_counted_singly_and_kept_together() {
    let mut window = SlidingWindow::default();
    for tick in 0..1000 {
        let now = Time::from_secs(f64::from(tick) * 0.005);
        for _ in 0..tick % 7 {
            window.push(now, 1.0);
        }
        for length in [0.0, 0.1, 0.5, 1.0] {
            let ticks_within = (0..=tick).filter(|&earlier| {
                let at = Time::from_secs(f64::from(earlier) * 0.005);
                now - at <= length
            });
            let expected: i32 = ticks_within.map(|earlier| earlier % 7).sum();
            assert_eq!(
                window.count(now, length),
                f64::from(expected),
                "{tick}, {length}"
            );
        }
    }
    assert!(window.moments.len() <= 202);
}
