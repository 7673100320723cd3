use super::*;

#[test]
fn what_breaks_a_rule_is_told_and_nothing_else() {
    assert_eq!(
        marker(&format!("{{\"q\":\"{}\"}}", text(1, 17, 2))),
        Some((1, 17, 2))
    );
    assert_eq!(marker("no marker"), None);
    let arrival = |at, server, class, ran| Arrival {
        at,
        server,
        class,
        query: 7,
        number: 1,
        shard: 2,
        ran,
    };
    // A safe part may run twice; an unsafe one that was turned away may go again.
    let arrivals = vec![
        arrival(1.0, 0, 0, true),
        arrival(1.1, 1, 0, true),
        arrival(1.0, 0, 1, false),
        arrival(1.2, 1, 1, true),
    ];
    let mut ledger = Ledger {
        arrivals,
        ..Ledger::default()
    };
    ledger.removed.insert(1, 1.0);
    assert!(ledger.broken(&[false, true]).is_empty());
    ledger.arrivals.push(arrival(1.24, 1, 1, true));
    ledger.arrivals.push(arrival(1.26, 1, 0, true));
    let broken = ledger.broken(&[false, true]);
    assert_eq!(
        broken,
        [
            "server 1 got a part 260 ms after it was removed",
            "part 2 of query 7 may run once and ran 2 times"
        ]
    );
}
