use super::*;

#[test]
fn backoff_doubles_up_to_a_limit_and_resets_after_a_success() {
    let mut backoff = PollBackoff::default();
    let delays: Vec<f64> = (0..6).map(|_| backoff.on_failure(10.0, 0.5)).collect();
    assert_eq!(delays, [0.2, 0.4, 0.8, 1.6, 1.6, 1.6]);
    backoff.on_success();
    assert_eq!(backoff.on_failure(10.0, 0.5), 0.2);
}
