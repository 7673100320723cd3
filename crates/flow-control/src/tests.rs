use super::*;

#[test]
fn probes_are_rationed_by_parts_sent() {
    let mut probing = Probing::default();
    assert!(!probing.take());
    (0..100).for_each(|_| probing.earn(2.0));
    assert_eq!(
        [probing.take(), probing.take(), probing.take()],
        [true, true, false]
    );
}

#[test]
fn a_failing_list_is_asked_for_ever_more_seldom_up_to_a_bound() {
    let mut asking = Asking::default();
    let waits: Vec<f64> = (0..6).map(|_| asking.failed(10.0, 0.5)).collect();
    assert_eq!(waits, [0.2, 0.4, 0.8, 1.6, 1.6, 1.6]);
    asking.told();
    assert_eq!(asking.failed(10.0, 0.5), 0.2);
}
