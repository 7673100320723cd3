use super::*;

#[test]
fn timers_expire_in_order_and_a_wake_up_is_requested_once() {
    let at = Time::from_secs;
    let mut timers = TimerQueue::default();
    assert_eq!(timers.next_wake(at(0.0)), None);
    timers.insert(at(3.0), 'c');
    timers.insert(at(1.0), 'a');
    timers.insert(at(2.0), 'b');
    timers.remove(at(2.0), 'b');
    assert_eq!(
        (timers.next_wake(at(0.0)), timers.next_wake(at(0.5))),
        (Some(at(1.0)), None)
    );
    assert_eq!(
        (timers.pop_expired(at(0.9)), timers.pop_expired(at(1.1))),
        (None, Some((at(1.0), 'a')))
    );
    assert_eq!(
        (timers.pop_expired(at(1.1)), timers.next_wake(at(1.1))),
        (None, Some(at(3.0)))
    );
    timers.insert(at(4.0), 'd');
    assert_eq!(
        timers.next_wake(at(1.2)),
        None,
        "the wake-up for 3 s comes first"
    );
    timers.insert(at(2.0), 'e');
    assert_eq!(timers.next_wake(at(1.2)), Some(at(2.0)));
}
