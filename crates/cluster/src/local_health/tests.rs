use super::*;

#[test]
fn health_degrades_fast_and_recovers_by_answered_probes() {
    let mut health = LocalHealth::default();
    health.record(HealthEvidence::ProbeAnswered);
    assert_eq!((health.score(), health.timeout_multiplier()), (0, 1));
    health.record(HealthEvidence::Paused);
    health.record(HealthEvidence::Suspected);
    assert!(!health.is_degraded());
    health.record(HealthEvidence::Unreachable);
    assert!(health.is_degraded());
    for _ in 0..20 {
        health.record(HealthEvidence::Paused);
    }
    assert_eq!(
        (health.score(), health.timeout_multiplier()),
        (MAX_SCORE, MAX_TIMEOUT_MULTIPLIER)
    );
    for _ in 0..20 {
        health.record(HealthEvidence::ProbeAnswered);
    }
    assert_eq!(health, LocalHealth::default());
}
