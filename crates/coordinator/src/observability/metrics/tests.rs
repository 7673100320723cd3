use super::*;

#[test]
fn a_line_tells_what_was_counted_since_the_last_one() {
    let start = Time::from_secs(10.0);
    let mut metrics = Metrics::new(5.0, start);
    metrics.add(Counter::Dials);
    metrics.record_outcome(Outcome::Reset);
    metrics.record_outcome(Outcome::Reset);
    let beliefs = || HealthSummary {
        ready: 3,
        outliers: 1,
        ..HealthSummary::default()
    };
    assert_eq!(metrics.line(start + 4.9, 2, beliefs), None, "not due");
    let line = metrics.line(start + 5.0, 2, beliefs).unwrap();
    assert_eq!(
        line,
        "dials=1 resets=2 links=2 ready=3 doubted=1 overdue=0 young=0 usual_ms=[]"
    );
    assert_eq!(
        metrics.line(start + 20.0, 2, beliefs),
        None,
        "nothing was counted since"
    );
    assert_eq!(
        Metrics::new(0.0, start).line(start + 99.0, 0, beliefs),
        None,
        "off"
    );
}
