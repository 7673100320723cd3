use super::*;

#[test]
fn files_are_read_once_writing_rests_and_never_late() {
    let mut settle = Settle::new(0.0);
    assert_eq!(settle.due(), RESCAN);
    settle.changed(0.5);
    assert!((settle.due() - 0.53).abs() < 1e-9);
    for step in 1..100 {
        settle.changed(0.5 + f64::from(step) * 0.001);
    }
    assert!(
        (settle.due() - 0.56).abs() < 1e-9,
        "a writer that never rests"
    );
    settle.read(0.56, false);
    let mut looks = 0;
    let mut now = 0.56;
    while settle.due() - now < 0.1 {
        now = settle.due();
        settle.read(now, false);
        looks += 1;
    }
    assert_eq!(
        looks, TRIES,
        "what is refused is looked at again a few times, then at the usual pace"
    );
    settle.changed(now);
    settle.read(now + 0.03, true);
    assert!(settle.due() - now > 1.0);
}
