use super::*;

#[test]
fn the_highest_sample_is_kept_and_one_sample_is_due_per_moment() {
    let server = |answers, relative_capacity| ServerThroughput {
        answers,
        relative_capacity,
    };
    let mut estimate = ThroughputEstimate::default();
    let at = Time::from_secs(1.0);
    assert!(
        estimate.try_start_sample(at)
            && !estimate.try_start_sample(at)
            && estimate.try_start_sample(at + 0.1)
    );
    estimate.record([server(30.0, 1.0), server(60.0, 2.0)].into_iter(), 10.0);
    assert_eq!(estimate.best(), 3.0);
    estimate.record([server(1.0, 1.0)].into_iter(), 10.0);
    estimate.record([].into_iter(), 10.0);
    assert_eq!(estimate.best(), 3.0);
}
