//! Tests of the timer wheel with simulated time.

use super::*;

#[test]
fn items_fire_in_order_and_never_early() {
    let start = Time::from_secs(100.0);
    let mut wheel = TimerWheel::new(start, 0.005);
    for (secs, name) in [(0.012, 'b'), (0.001, 'a'), (20.0, 'z'), (5.12, 'r')] {
        wheel.insert(start + secs, name);
    }
    assert_eq!(wheel.advance(start), vec![]);
    assert_eq!(wheel.advance(start + 0.005), vec!['a']);
    assert_eq!(wheel.advance(start + 0.0149), vec![]);
    assert_eq!(wheel.advance(start + 0.015), vec!['b']);
    assert_eq!(
        wheel.advance(start + 30.0),
        vec!['r', 'z'],
        "after a long stall, all items fire once"
    );
    wheel.insert(start, 'p');
    assert_eq!(
        wheel.advance(start + 30.0),
        vec![],
        "an item that is already due fires in the next tick, not in the current one"
    );
    assert_eq!(wheel.advance(start + 30.005), vec!['p']);
}
