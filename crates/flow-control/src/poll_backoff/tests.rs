use super::*;

#[test]
fn backoff_doubles_up_to_a_bound_and_restarts_after_a_success() {
    let mut backoff = PollBackoff::default();
    let waits: Vec<f64> = (0..6).map(|_| backoff.on_failure(10.0, 0.5)).collect();
    assert_eq!(waits, [0.2, 0.4, 0.8, 1.6, 1.6, 1.6]);
    backoff.on_success();
    assert_eq!(backoff.on_failure(10.0, 0.5), 0.2);
}
