use super::*;

#[test]
fn exactly_the_broken_rules_are_reported() {
    let marker = QueryMarker {
        class: 1,
        query: 17,
        client_try: 2,
    };
    let text = format!("{{\"q\":\"{}\"}}", marker.to_text());
    assert_eq!(parse_marker(&text), Some(marker));
    assert_eq!(parse_marker("no marker"), None);
    let arrival = |at, server, class, ran| PartArrival {
        arrived_at: at,
        server,
        marker: QueryMarker {
            class,
            query: 7,
            client_try: 1,
        },
        shard: 2,
        may_have_run: ran,
    };
    // An idempotent part may run twice; one that was rejected may be sent again.
    let arrivals = vec![
        arrival(1.0, 0, 0, true),
        arrival(1.1, 1, 0, true),
        arrival(1.0, 0, 1, false),
        arrival(1.2, 1, 1, true),
    ];
    let mut run_log = RunLog {
        arrivals,
        ..RunLog::default()
    };
    run_log.removed_at.insert(1, 1.0);
    assert!(run_log.violations(&[false, true]).is_empty());
    run_log.arrivals.push(arrival(1.24, 1, 1, true));
    run_log.arrivals.push(arrival(1.26, 1, 0, true));
    let violations = run_log.violations(&[false, true]);
    assert_eq!(
        violations,
        [
            "server 1 got a part 260 ms after it was removed",
            "part 2 of query 7 may run once and ran 2 times"
        ]
    );
}
