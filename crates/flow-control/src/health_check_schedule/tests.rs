use super::*;

#[test]
fn health_checks_are_earned_by_sent_parts_up_to_a_limit() {
    let mut schedule = HealthCheckSchedule::default();
    assert!(!schedule.try_spend());
    (0..100).for_each(|_| schedule.add_credit(2.0));
    assert_eq!(
        [
            schedule.try_spend(),
            schedule.try_spend(),
            schedule.try_spend()
        ],
        [true, true, false]
    );
}
