//! Idempotency keys of keyed classes: what clients must send, and what data nodes receive with every attempt.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;

/// The class that the tests make keyed.
const KEYED_CLASS: &str = "pick-confirm";
const KEY: &str = "5c0f6e1a2b3d4c59A8B7C6D5E4F30211";
const OTHER_KEY: &str = "00000000000000000000000000000001";
/// The deduplication window of the keyed class, in seconds.
const WINDOW: f64 = 5.0;

/// Markers from this one on belong to queries whose first attempt succeeds.
const SERVED_MARKER: u64 = 100;
/// Number of queries that are served first: hedged requests are allowed as a tenth of the parts sent.
const SERVED_QUERIES: u64 = 30;

/// Starts the program with data nodes that speak `wire` and a keyed class.
fn start(wire: WireFormat, data_nodes: Arc<DataNodes>) -> TestCoordinator {
    let members = start_data_nodes(wire, &data_nodes);
    TestCoordinator::start_with_change(wire, data_nodes, members, |config| {
        let class = &mut config["settings"]["classes"][1];
        (class["effect"], class["dedupWindowS"]) = (json!("deduplicated"), json!(WINDOW));
    })
}

/// Sends a query of one part with these `Idempotency-Key` fields.
fn ask(
    coordinator: &TestCoordinator,
    id: &str,
    class: &str,
    keys: &[&str],
    marker: u64,
) -> Response {
    let mut fields = vec![
        ("X-Request-Id", id),
        ("X-Class", class),
        ("X-Deadline", "2.0"),
    ];
    fields.extend(keys.iter().map(|key| ("Idempotency-Key", *key)));
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": format!("~{marker}~")});
    coordinator.call(
        coordinator.platform,
        "POST /api",
        &fields,
        &body.to_string(),
    )
}

/// Returns the behavior of a node whose first attempt at a part ends as the query's marker states: it is slow, so that a
/// hedged request follows; it is reset; it fails; it can't be read.
fn first_attempt_fails(marker: u64, _shard: u32, earlier_attempts: usize) -> Behavior {
    if marker >= SERVED_MARKER {
        return Behavior::Serve;
    }
    match (earlier_attempts, marker % 4) {
        (0, 0) => Behavior::Delay(1_500),
        (0, 1) => Behavior::CloseMidAnswer,
        (0, 2) => Behavior::Fail,
        (0, _) => Behavior::Malformed(Malformation::UnknownOutcome),
        _ => Behavior::Serve,
    }
}

/// Guards against a part that is sent without its key: its holders can't recognize a retry or a hedged request as a
/// repeat, and apply the client's one query twice.
#[test]
fn every_attempt_at_a_part_of_a_keyed_class_carries_the_querys_key() {
    for wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        for marker in 1..5 {
            // A coordinator each, since one that has seen a failure may avoid the replica that a hedge needs.
            let coordinator = start(wire, DataNodes::new(first_attempt_fails));
            for served in SERVED_MARKER..SERVED_MARKER + SERVED_QUERIES {
                let id = format!("s{served}");
                let answer = ask(&coordinator, &id, KEYED_CLASS, &[KEY], served);
                assert_eq!(answer.status, 200, "{}", answer.json);
            }
            let key = format!("{marker:032X}");
            let answer = ask(
                &coordinator,
                &format!("m{marker}"),
                KEYED_CLASS,
                &[&key],
                marker,
            );
            assert_eq!(answer.status, 200, "{wire:?} {marker}: {}", answer.json);
            let keys = coordinator.data_nodes.keys_of(marker, 1);
            assert_eq!(
                keys,
                [key.clone(), key],
                "{wire:?}: each of two attempts at query {marker} must carry its key unchanged"
            );
            let applied = coordinator.data_nodes.application_counts()[&(marker, 1)];
            assert_eq!(applied, 1, "{wire:?}: query {marker} was applied twice");
        }
    }
}

/// Guards against a client's retry that is applied again: it is a new query for the coordinator, also for one that was
/// restarted, and its holders drop its parts by the key.
#[test]
fn a_clients_retry_carries_the_same_key_even_after_a_restart() {
    let mut coordinator = start(
        WireFormat::Platform,
        DataNodes::new(|_, _, earlier_attempts| match earlier_attempts {
            0..3 => Behavior::Fail,
            _ => Behavior::Serve,
        }),
    );
    let failed = ask(&coordinator, "first", KEYED_CLASS, &[KEY], 1);
    assert_eq!(failed.status, 500, "{}", failed.json);
    coordinator.signal("KILL");
    coordinator.child.wait().unwrap();
    coordinator.restart();
    let served = ask(&coordinator, "second", KEYED_CLASS, &[KEY], 1);
    assert_eq!(served.status, 200, "{}", served.json);
    assert_eq!(coordinator.data_nodes.keys_of(1, 1), [KEY; 4]);
    assert_eq!(coordinator.data_nodes.application_counts()[&(1, 1)], 1);
}

/// Guards against a query of a keyed class that is forwarded without a key that its data nodes can use, and against an
/// error that costs the client its connection.
#[test]
fn a_keyed_query_without_exactly_one_well_formed_key_is_refused_and_not_sent() {
    let coordinator = start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
    );
    let invalid: [&[&str]; 9] = [
        &[],
        &[""],
        &[&KEY[1..]],
        &["5c0f6e1a2b3d4c59a8b7c6d5e4f302110"],
        &["5c0f6e1a2b3d4c59a8b7c6d5e4f3021g"],
        &["5c0f6e1a-2b3d-4c59-a8b7-c6d5e4f3"],
        &["5c0f6e1a2b3d4c59a8b7c6d5e4f30211, 5c0f6e1a2b3d4c59a8b7c6d5e4f30211"],
        &[KEY, KEY],
        &[KEY, OTHER_KEY],
    ];
    for (number, keys) in invalid.into_iter().enumerate() {
        let answer = ask(&coordinator, &format!("i{number}"), KEYED_CLASS, keys, 1);
        let text = answer.json["error"].as_str().unwrap_or_default();
        assert_eq!(answer.status, 400, "{keys:?}: {}", answer.json);
        assert!(text.contains("Idempotency-Key"), "{keys:?}: {text}");
        assert!(!answer.closes_connection(), "{keys:?}");
    }
    assert!(
        coordinator.data_nodes.received.lock().unwrap().is_empty(),
        "a query without a usable key reached a data node"
    );
}

/// Guards against an error that ends the connection: the client's next query on it must be served.
#[test]
fn the_connection_of_a_refused_keyed_query_serves_the_next_one() {
    let coordinator = start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
    );
    let stream = TcpStream::connect(coordinator.platform).unwrap();
    let mut client = BufReader::new(stream);
    let request = one_part_request("keyless", KEYED_CLASS, 2.0, "~1~");
    client.get_mut().write_all(request.as_bytes()).unwrap();
    assert_eq!(read_response(&mut client).status, 400);
    let request = one_part_request("keyed", KEYED_CLASS, 2.0, "~2~");
    let with_key = request.replacen(
        "X-Class",
        &format!("idempotency-key:  {KEY} \r\nX-Class"),
        1,
    );
    client.get_mut().write_all(with_key.as_bytes()).unwrap();
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(coordinator.data_nodes.keys_of(2, 1), [KEY]);
}

/// Guards against a key in a frame of another class, which is not in the form that the platform's protocol states.
#[test]
fn a_key_in_a_class_without_keys_is_ignored() {
    let coordinator = start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
    );
    let ignored: [&[&str]; 3] = [&[KEY], &["not a key"], &[KEY, OTHER_KEY]];
    for (number, keys) in ignored.into_iter().enumerate() {
        let id = format!("o{number}");
        let answer = ask(&coordinator, &id, "stock-search", keys, 1);
        assert_eq!(answer.status, 200, "{keys:?}: {}", answer.json);
    }
    assert_eq!(coordinator.data_nodes.keys_of(1, 1), [""; 3]);
}

/// Returns the key of a search by the query front, which has to be the same for all of its parts.
fn search_key(coordinator: &TestCoordinator, marker: u64) -> String {
    let query: Value = json!({"query": {"match": {"text": format!("~{marker}~")}}});
    let target = "/pick-confirm/_search?preference=_shards:1,2";
    let answer = coordinator.search(target, query);
    assert_eq!(answer.status, 200, "{}", answer.json);
    let mut keys = coordinator.data_nodes.keys_of(marker, 1);
    keys.extend(coordinator.data_nodes.keys_of(marker, 2));
    assert!(keys.iter().all(|key| *key == keys[0]), "{keys:?}");
    let is_key = keys[0].len() == 32 && keys[0].bytes().all(|byte| byte.is_ascii_hexdigit());
    assert!(is_key, "{keys:?}");
    keys.swap_remove(0)
}

/// Guards against a generated key that another search had before, also before a restart: data nodes would drop the parts
/// of the second search as repeats of the first.
#[test]
fn each_search_of_a_keyed_class_gets_a_key_of_its_own() {
    for wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let mut coordinator = start(wire, DataNodes::new(|_, _, _| Behavior::Serve));
        let mut keys = vec![search_key(&coordinator, 1), search_key(&coordinator, 2)];
        coordinator.signal("KILL");
        coordinator.child.wait().unwrap();
        coordinator.restart();
        keys.extend([search_key(&coordinator, 3), search_key(&coordinator, 4)]);
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), 4, "{wire:?}: {keys:?}");
    }
}

/// Guards against a reload that changes the effect of a class while fronts still hold the old settings.
#[test]
fn a_reload_that_makes_a_class_keyed_takes_effect_for_new_queries() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let coordinator = TestCoordinator::start(WireFormat::Platform, data_nodes, 1000);
    assert_eq!(ask(&coordinator, "before", KEYED_CLASS, &[], 1).status, 200);
    coordinator.reconfigure(|config| {
        let class = &mut config["settings"]["classes"][1];
        (class["effect"], class["dedupWindowS"]) = (json!("deduplicated"), json!(WINDOW));
    });
    let mut number = 0;
    wait_for("a refusal of a query without a key", || {
        number += 1;
        ask(&coordinator, &format!("r{number}"), KEYED_CLASS, &[], 2).status == 400
    });
    assert_eq!(
        ask(&coordinator, "after", KEYED_CLASS, &[KEY], 3).status,
        200
    );
    assert_eq!(coordinator.data_nodes.keys_of(3, 1), [KEY]);
}
