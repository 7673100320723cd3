use super::*;

/// Guards against a sum of reservations above the limit, and against bytes that stay reserved after their owner is gone.
#[test]
fn reservations_stay_below_the_limit_and_are_released_on_drop() {
    let pool = MemoryPool::new(100);
    let first = pool.empty_reservation();
    assert!(first.resize(60));
    let second = pool.empty_reservation();
    assert!(!second.resize(41) && second.bytes() == 0);
    assert!(second.resize(40) && pool.reserved() == 100);
    assert!(first.resize(20) && !second.resize(usize::MAX));
    drop(first);
    assert_eq!(pool.reserved(), 40);
    assert!(pool.reserve_within(11, 0.5).is_none());
    let third = pool.reserve_within(10, 0.5);
    assert!(third.is_some() && pool.reserved() == 50);
    drop((second, third));
    assert_eq!(pool.reserved(), 0);
}
