use super::{
    DriftTracker, Interface, KnownServer, Observation, PartyCount, PartyCounts, MAX_ENTRIES,
    MAX_ENTRIES_PER_OPERATION, MAX_OPERATIONS, MAX_PARTIES, OTHER_PLACES, RETENTION_SECONDS,
};
use crate::conformance::{Violation, ViolationKind};
use crate::schema::Direction;

fn violation(place: &str) -> Violation {
    Violation {
        kind: ViolationKind::Type,
        place: place.into(),
        described: "#/x".into(),
        expected: "the type string".into(),
        found: "3".into(),
    }
}

fn record(tracker: &mut DriftTracker, now: f64, party: &str, places: &[&str]) -> bool {
    let violations: Vec<Violation> = places.iter().map(|place| violation(place)).collect();
    let observation = Observation {
        interface: Interface::Servers,
        party: &party.into(),
        operation: &"A".into(),
        direction: Direction::Response,
        violations: &violations,
    };
    tracker.record(now, &observation)
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
fn servers_that_began_to_violate_the_description_are_named_with_the_time() {
    let mut tracker = DriftTracker::default();
    tracker.update_servers(&servers(&[
        ("s-1", None),
        ("s-2", Some(40.0)),
        ("s-3", Some(50.0)),
        ("s-4", Some(10.0)),
    ]));
    for at in 0..8 {
        for party in ["s-1", "s-2", "s-3", "s-4"] {
            record(&mut tracker, f64::from(at), party, &[]);
        }
    }
    assert!(record(
        &mut tracker,
        43_380.0,
        "s-3",
        &["body /hits/0/doc", "body /hits/7/doc"]
    ));
    assert!(
        record(&mut tracker, 43_381.0, "s-2", &["body /hits/2/doc"]),
        "a new party is news"
    );
    assert!(!record(
        &mut tracker,
        43_382.0,
        "s-2",
        &["body /hits/2/doc"]
    ));
    let rows = tracker.rows();
    assert_eq!(rows.len(), 1, "items of a list are one place: {rows:?}");
    assert_eq!(
        (rows[0].place.as_str(), rows[0].count, rows[0].party_counts),
        (
            "body /hits/*/doc",
            3,
            PartyCounts {
                violating: 2,
                checked: 4
            }
        )
    );
    assert!((rows[0].share - 3.0 / 35.0).abs() < 1e-9);
    assert_eq!(
        rows[0].summary,
        "2 of 4 servers (s-3, s-2) began to depart at 12:03:00 UTC, all of them newer than the rest: \
         A, body /hits/*/doc: wanted the type string, found 3"
    );
    // A server that started as late conforms to the description, so a new version is not the cause.
    tracker.update_servers(&servers(&[
        ("s-1", Some(60.0)),
        ("s-2", Some(40.0)),
        ("s-3", Some(50.0)),
    ]));
    assert!(!tracker.rows()[0].summary.contains("newer"));
}

#[test]
fn a_replaced_server_is_removed() {
    let mut tracker = DriftTracker::default();
    tracker.update_servers(&servers(&[("s-1", None), ("s-2", None)]));
    record(&mut tracker, 1.0, "s-1", &["body /a", "body /b"]);
    record(&mut tracker, 1.0, "s-2", &["body /a"]);
    tracker.update_servers(&servers(&[("s-2", None), ("s-9", None)]));
    let rows = tracker.rows();
    assert_eq!(rows.len(), 1);
    assert_eq!(
        rows[0].parties,
        [PartyCount {
            party: "s-2".to_string(),
            count: 1
        }]
    );
}

#[test]
fn old_entries_expire_and_a_new_description_starts_over() {
    let mut tracker = DriftTracker::default();
    record(&mut tracker, 0.0, "s-1", &["body /a"]);
    record(&mut tracker, RETENTION_SECONDS, "s-1", &["body /b"]);
    tracker.expire(RETENTION_SECONDS + 1.0);
    assert_eq!(
        tracker
            .rows()
            .iter()
            .map(|row| row.place.as_str())
            .collect::<Vec<_>>(),
        ["body /b"]
    );
    tracker.remove(Interface::Query);
    assert_eq!(tracker.len(), 1);
    tracker.remove(Interface::Servers);
    assert!(tracker.is_empty());
}

/// Guards against member names that a sender makes up, which would evict every other entry or exhaust memory.
#[test]
fn made_up_names_and_parties_stay_within_bounds() {
    let mut tracker = DriftTracker::default();
    record(&mut tracker, 0.0, "s-1", &["body /real"]);
    for at in 0..5_000 {
        record(
            &mut tracker,
            f64::from(at),
            &format!("s-{}", at % 400),
            &[&format!("body /made-up-{at}")],
        );
    }
    assert!(
        tracker.len() <= MAX_ENTRIES_PER_OPERATION + 1,
        "{}",
        tracker.len()
    );
    let rows = tracker.rows();
    assert!(rows.iter().any(|row| row.place == "body /real"));
    let other = rows.iter().find(|row| row.place == OTHER_PLACES).unwrap();
    assert!(other.count > 4_900 && other.parties.len() <= MAX_PARTIES);
    for operation in 0..3_000 {
        let observation = Observation {
            interface: Interface::Platform,
            party: &"clients".into(),
            operation: &format!("GET /{operation}").into(),
            direction: Direction::Request,
            violations: &[violation("body")],
        };
        tracker.record(9_000.0 + f64::from(operation), &observation);
    }
    assert!(
        tracker.len() <= MAX_ENTRIES
            && tracker.evicted_entries > 2_000
            && tracker.operations.len() <= MAX_OPERATIONS
    );
}

/// Operators' tools read these keys and pairs.
#[test]
fn an_entry_is_serialized_with_pairs_for_its_parties() {
    let mut tracker = DriftTracker::default();
    record(&mut tracker, 1.0, "s-2", &[]);
    record(&mut tracker, 2.0, "s-1", &["body /a"]);
    record(&mut tracker, 3.0, "s-1", &["body /a"]);
    let row = serde_json::to_value(&tracker.rows()[0]).unwrap();
    assert_eq!(row["parties"], serde_json::json!([["s-1", 2]]));
    assert_eq!(row["of"], serde_json::json!([1, 2]));
    assert_eq!(row["first"], 2.0);
    assert_eq!(row["last"], 3.0);
}
