use super::*;

const AT_MOST_ONCE: [RepeatRule; 2] = [RepeatRule::Allowed, RepeatRule::Forbidden];
const KEYED: [RepeatRule; 2] = [RepeatRule::Allowed, RepeatRule::DroppedByKey];

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
        key: None,
        dropped: false,
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
    assert!(run_log.violations(&AT_MOST_ONCE).is_empty());
    run_log.arrivals.push(arrival(1.24, 1, 1, true));
    run_log.arrivals.push(arrival(1.26, 1, 0, true));
    let violations = run_log.violations(&AT_MOST_ONCE);
    assert_eq!(
        violations,
        [
            "server 1 received a part 260 ms after its removal; the limit is 250 ms",
            "part 2 of query 7 ran 2 times; its class allows at most one run"
        ]
    );
}

/// Guards against a checker that takes a repeated part of a keyed class as dropped although its key could not be known.
#[test]
fn a_keyed_part_that_is_applied_again_or_carries_no_key_is_reported() {
    let arrival = |client_try, key: Option<&str>, dropped| PartArrival {
        arrived_at: 1.0,
        server: 0,
        marker: QueryMarker {
            class: 1,
            query: 7,
            client_try,
        },
        shard: 2,
        key: key.map(String::from),
        dropped,
        may_have_run: true,
    };
    let violations = |arrivals| {
        let run_log = RunLog {
            arrivals,
            ..RunLog::default()
        };
        run_log.violations(&KEYED)
    };
    let dropped = vec![arrival(1, Some("a"), false), arrival(1, Some("a"), true)];
    assert!(violations(dropped).is_empty());
    let without_key = vec![arrival(1, Some("a"), false), arrival(1, None, false)];
    assert_eq!(
        violations(without_key),
        [
            "part 2 of query 7 ran 2 times; its class allows at most one run",
            "part 2 of query 7 carried no key"
        ]
    );
    let after_the_window = vec![arrival(1, Some("a"), false), arrival(2, Some("a"), false)];
    assert_eq!(
        violations(after_the_window),
        ["part 2 was applied again under key a"]
    );
}
