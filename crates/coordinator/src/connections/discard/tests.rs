use super::*;

/// Guards against a total rate that grows with the number of flooding clients, which would occupy the thread.
#[test]
fn the_total_rate_is_bounded_for_any_number_of_connections() {
    let limiter = DiscardLimiter::default();
    let mut active = Vec::new();
    for count in 1..=400 {
        active.push(limiter.begin());
        // The time in which the full rate takes one burst of each connection.
        let time_at_full_rate = DELAY * count / FULL_RATE_CONNECTIONS as u32;
        assert!(limiter.delay() >= time_at_full_rate, "{count} connections");
    }
    active.clear();
    assert_eq!(limiter.active.get(), 0);
    let _one = limiter.begin();
    assert_eq!(limiter.delay(), DELAY);
}
