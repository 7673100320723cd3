use super::*;

#[test]
fn only_actual_violations_are_reported() {
    let marker = QueryMarker {
        class: 1,
        query: 17,
        client_try: 2,
    };
    let text = format!("{{\"q\":\"{}\"}}", marker.to_text());
    assert_eq!(parse_marker(&text), Some(marker));
    assert_eq!(parse_marker("no marker"), None);
    let arrival = |arrived_at, server, class, may_have_run| PartArrival {
        arrived_at,
        server,
        marker: QueryMarker {
            class,
            query: 7,
            client_try: 1,
        },
        shard: 2,
        may_have_run,
    };
    // Allowed: an idempotent part runs twice, and a rejected part is sent again.
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
            "server 1 received a part 260 ms after its removal; the limit is 250 ms",
            "part 2 of query 7 ran 2 times; its class allows at most one run"
        ]
    );
}
