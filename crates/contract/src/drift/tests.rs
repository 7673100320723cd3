use super::*;

fn violation(place: &str) -> Violation {
    Violation {
        kind: ViolationKind::Type,
        place: place.into(),
        described: "#/x".into(),
        expected: "the type string".into(),
        found: "3".into(),
    }
}

fn note(ledger: &mut DriftTracker, now: f64, party: &str, places: &[&str]) -> bool {
    let violations: Vec<Violation> = places.iter().map(|place| violation(place)).collect();
    let seen = Observation {
        interface: Interface::Servers,
        party: &party.into(),
        operation: &"A".into(),
        direction: Direction::Response,
        violations: &violations,
    };
    ledger.record(now, &seen)
}

fn servers(ids: &[(&str, Option<f64>)]) -> Vec<KnownServer> {
    ids.iter()
        .map(|(id, started)| KnownServer {
            id: (*id).into(),
            started: *started,
        })
        .collect()
}

#[test]
fn those_that_began_to_depart_are_named_with_the_moment() {
    let mut ledger = DriftTracker::default();
    ledger.update_servers(&servers(&[
        ("s-1", None),
        ("s-2", Some(40.0)),
        ("s-3", Some(50.0)),
        ("s-4", Some(10.0)),
    ]));
    for at in 0..8 {
        for party in ["s-1", "s-2", "s-3", "s-4"] {
            note(&mut ledger, f64::from(at), party, &[]);
        }
    }
    assert!(note(
        &mut ledger,
        43_380.0,
        "s-3",
        &["body /hits/0/doc", "body /hits/7/doc"]
    ));
    assert!(
        note(&mut ledger, 43_381.0, "s-2", &["body /hits/2/doc"]),
        "a new party is news"
    );
    assert!(!note(&mut ledger, 43_382.0, "s-2", &["body /hits/2/doc"]));
    let rows = ledger.rows();
    assert_eq!(rows.len(), 1, "items of a list are one place: {rows:?}");
    assert_eq!(
        (rows[0].place.as_str(), rows[0].count, rows[0].of),
        ("body /hits/*/doc", 3, (2, 4))
    );
    assert!((rows[0].share - 3.0 / 35.0).abs() < 1e-9);
    assert_eq!(
        rows[0].summary,
        "2 of 4 servers (s-3, s-2) began to depart at 12:03:00 UTC, all of them newer than the rest: \
         A, body /hits/*/doc: wanted the type string, found 3"
    );
    // One that started as late keeps to the description: being new is not the cause.
    ledger.update_servers(&servers(&[
        ("s-1", Some(60.0)),
        ("s-2", Some(40.0)),
        ("s-3", Some(50.0)),
    ]));
    assert!(!ledger.rows()[0].summary.contains("newer"));
}

#[test]
fn a_replaced_server_is_forgotten() {
    let mut ledger = DriftTracker::default();
    ledger.update_servers(&servers(&[("s-1", None), ("s-2", None)]));
    note(&mut ledger, 1.0, "s-1", &["body /a", "body /b"]);
    note(&mut ledger, 1.0, "s-2", &["body /a"]);
    ledger.update_servers(&servers(&[("s-2", None), ("s-9", None)]));
    let rows = ledger.rows();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].parties, [("s-2".to_string(), 1)]);
}

#[test]
fn old_entries_leave_and_a_new_description_starts_over() {
    let mut ledger = DriftTracker::default();
    note(&mut ledger, 0.0, "s-1", &["body /a"]);
    note(&mut ledger, RETENTION_SECONDS, "s-1", &["body /b"]);
    ledger.expire(RETENTION_SECONDS + 1.0);
    assert_eq!(
        ledger
            .rows()
            .iter()
            .map(|row| row.place.as_str())
            .collect::<Vec<_>>(),
        ["body /b"]
    );
    ledger.remove(Interface::Query);
    assert_eq!(ledger.len(), 1);
    ledger.remove(Interface::Servers);
    assert!(ledger.is_empty());
}

/// Guards against members' names that a sender makes up, which would push every other entry out or fill memory.
#[test]
fn made_up_names_and_parties_stay_within_bounds() {
    let mut ledger = DriftTracker::default();
    note(&mut ledger, 0.0, "s-1", &["body /real"]);
    for at in 0..5_000 {
        note(
            &mut ledger,
            f64::from(at),
            &format!("s-{}", at % 400),
            &[&format!("body /made-up-{at}")],
        );
    }
    assert!(
        ledger.len() <= MAX_ENTRIES_PER_OPERATION + 1,
        "{}",
        ledger.len()
    );
    let rows = ledger.rows();
    assert!(rows.iter().any(|row| row.place == "body /real"));
    let other = rows.iter().find(|row| row.place == OTHER_PLACES).unwrap();
    assert!(other.count > 4_900 && other.parties.len() <= MAX_PARTIES);
    for operation in 0..3_000 {
        let seen = Observation {
            interface: Interface::Platform,
            party: &"clients".into(),
            operation: &format!("GET /{operation}").into(),
            direction: Direction::Request,
            violations: &[violation("body")],
        };
        ledger.record(9_000.0 + f64::from(operation), &seen);
    }
    assert!(
        ledger.len() <= MAX_ENTRIES
            && ledger.dropped > 2_000
            && ledger.checked.len() <= MAX_OPERATIONS
    );
}
