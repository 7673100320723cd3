use super::*;

#[test]
fn the_best_stays_through_a_jam_and_counts_once_a_moment() {
    let mut take = Take::default();
    let at = Time::from_secs(1.0);
    assert!(take.is_due(at) && !take.is_due(at) && take.is_due(at + 0.1));
    take.note([(30.0, 1.0), (60.0, 2.0)].into_iter(), 10.0);
    assert_eq!(take.best, 3.0);
    take.note([(1.0, 1.0)].into_iter(), 10.0);
    take.note([].into_iter(), 10.0);
    assert_eq!(take.best, 3.0);
}
