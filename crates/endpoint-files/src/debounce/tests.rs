use super::*;

#[test]
fn files_are_read_once_writing_rests_and_never_late() {
    let mut settle = Debounce::new(0.0);
    assert_eq!(settle.next_read_at(), RESCAN_INTERVAL);
    settle.on_change(0.5);
    assert!((settle.next_read_at() - 0.53).abs() < 1e-9);
    for step in 1..100 {
        settle.on_change(0.5 + f64::from(step) * 0.001);
    }
    assert!(
        (settle.next_read_at() - 0.56).abs() < 1e-9,
        "a writer that never rests"
    );
    settle.on_read(0.56, false);
    let mut looks = 0;
    let mut now = 0.56;
    while settle.next_read_at() - now < 0.1 {
        now = settle.next_read_at();
        settle.on_read(now, false);
        looks += 1;
    }
    assert_eq!(
        looks, MAX_RETRIES,
        "what is refused is looked at again a few times, then at the usual pace"
    );
    settle.on_change(now);
    settle.on_read(now + 0.03, true);
    assert!(settle.next_read_at() - now > 1.0);
}
