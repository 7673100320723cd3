use super::*;

#[test]
fn what_was_taken_earns_further_attempts_within_the_window() {
    let stated = Some(RetryBudgetLimits {
        always_allowed: 1.0,
        share_of_arrivals: 0.1,
        window: 10.0,
    });
    let at = Time::from_secs;
    let mut budget = Budget::default();
    (0..20).for_each(|_| budget.took(at(1.0), stated));
    budget.repeated(at(2.0), stated);
    assert_eq!(budget.left(at(2.0), stated, 0.1), 2.0);
    assert_eq!(
        budget.left(at(11.0), stated, 0.1),
        0.0,
        "what was taken is over, what was repeated is not"
    );
    assert_eq!(budget.left(at(12.2), stated, 0.1), 1.0);
    assert_eq!(budget.left(at(2.0), None, 0.1), f64::MAX);
}
