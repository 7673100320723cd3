use super::*;

#[test]
fn arrivals_allow_retries_within_the_window() {
    let limits = Some(RetryBudgetLimits {
        always_allowed: 1.0,
        share_of_arrivals: 0.1,
        window: 10.0,
    });
    let at = Time::from_secs;
    let mut budget = RetryBudget::default();
    (0..20).for_each(|_| budget.on_arrival(at(1.0), limits));
    budget.on_retry(at(2.0), limits);
    assert_eq!(budget.remaining(at(2.0), limits, 0.1), 2.0);
    assert_eq!(
        budget.remaining(at(11.0), limits, 0.1),
        0.0,
        "the arrivals have left the window, but the retry has not"
    );
    assert_eq!(budget.remaining(at(12.2), limits, 0.1), 1.0);
    assert_eq!(budget.remaining(at(2.0), None, 0.1), f64::MAX);
}
