//! Tests of replica selection: turns, weights, ranks and shared calls.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn parts_are_sent_at_once_and_spread_over_replicas() {
    let mut harness = Harness::new(idempotent_settings());
    let (events, _, parts) = harness.query(0, &[0, 1, 2]);
    let sent = sends(&harness.handle(&events));
    assert_eq!(
        sent.iter().map(|&(part, _)| part).collect::<Vec<_>>(),
        parts
    );
    let servers: std::collections::BTreeSet<u32> = sent.iter().map(|&(_, server)| server).collect();
    assert_eq!(
        servers.len(),
        3,
        "three parts are spread over three replicas"
    );
}

#[test]
fn replicas_take_turns() {
    let mut harness = Harness::new(idempotent_settings());
    let mut order = Vec::new();
    for _ in 0..6 {
        let (events, _, parts) = harness.query(0, &[0]);
        order.push(sends(&harness.handle(&events))[0].1);
        harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    }
    assert_eq!(order[..3], order[3..]);
    assert_ne!(order[0], order[1]);
    assert_ne!(order[1], order[2]);
}

#[test]
fn an_overdue_replica_is_skipped() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, _, _) = harness.query(0, &[0]);
    let overdue = sends(&harness.handle(&events))[0].1;
    harness.now = harness.now + 0.2;
    for _ in 0..4 {
        let (events, _, parts) = harness.query(0, &[0]);
        assert_ne!(sends(&harness.handle(&events))[0].1, overdue);
        harness.handle_after(0.01, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    }
}

#[test]
fn draining_and_removed_servers_get_no_parts() {
    for state in [ServerState::Draining, ServerState::Removed] {
        let mut harness = Harness::new(idempotent_settings());
        harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(
            (0..3).map(|id| endpoint(id, state, None)).collect(),
        ))]);
        let (events, id, _) = harness.query(0, &[0]);
        let actions = harness.handle(&events);
        assert!(sends(&actions).is_empty());
        assert!(
            is_finished(&actions, id),
            "a query that no server may be sent is not ended at once"
        );
    }
}

#[test]
fn parts_of_a_query_with_the_same_candidates_share_a_call() {
    // Two servers per cell: servers 0 and 2 hold the even shards, 1 and 3 the odd ones.
    let mut settings = Settings {
        cells: 2,
        cells_per_shard: 1,
        max_parts_per_call: 2,
        ..idempotent_settings()
    };
    settings.coordinator_count = 1;
    let mut harness = Harness::new(settings);
    let in_cell = |id| Endpoint {
        cell: id % 2,
        ..endpoint(id, ServerState::Ready, None)
    };
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
        (0..4).map(in_cell).collect(),
    ))]);
    let servers_of = |harness: &mut Harness, shards: &[u32]| -> Vec<u32> {
        let (events, ..) = harness.query(0, shards);
        sends(&harness.handle(&events))
            .into_iter()
            .map(|(_, server)| server)
            .collect()
    };
    let first = servers_of(&mut harness, &[0, 1, 2, 3]);
    assert_eq!(
        (first[0], first[1]),
        (first[2], first[3]),
        "parts with the same candidates went to different servers: {first:?}"
    );
    let second = servers_of(&mut harness, &[0, 2]);
    assert_ne!(
        first[0], second[0],
        "the next query did not go to the other replica"
    );
    let third = servers_of(&mut harness, &[0, 2, 4]);
    assert_eq!(third[0], third[1]);
    assert_ne!(third[0], third[2], "a full call did not end the turn");
}

/// Checks that turns are shared smoothly in proportion to the weights, and that a server of weight 0 gets
/// only parts that no other server can take.
#[test]
fn weights_share_turns_smoothly() {
    let mut harness = Harness::new(idempotent_settings());
    let set_weights = |harness: &mut Harness, weights: [f64; 3]| {
        let weighted_endpoint = |id: u32| Endpoint {
            weight: weights[id as usize],
            ..endpoint(id, ServerState::Ready, None)
        };
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
            (0..3).map(weighted_endpoint).collect(),
        ))]);
    };
    let serve_queries = |harness: &mut Harness, count: usize| -> Vec<u32> {
        let serve_query = |_| {
            let (events, _, parts) = harness.query(0, &[0]);
            let sent = sends(&harness.handle(&events))[0].1;
            harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
            sent
        };
        (0..count).map(serve_query).collect()
    };
    set_weights(&mut harness, [1.0, 2.0, 4.0]);
    let sent = serve_queries(&mut harness, 10_000);
    let share =
        |id: u32| sent.iter().filter(|&&server| server == id).count() as f64 / sent.len() as f64;
    for (id, expected) in [(0, 1.0 / 7.0), (1, 2.0 / 7.0), (2, 4.0 / 7.0)] {
        assert!(
            (share(id) - expected).abs() < 0.02 * expected,
            "server {id}: expected a share of {expected} of the turns, got {}",
            share(id)
        );
    }
    let longest_run = sent.chunk_by(|a, b| a == b).map(<[u32]>::len).max();
    assert_eq!(
        longest_run,
        Some(2),
        "length of the longest run of turns of one replica"
    );
    set_weights(&mut harness, [1.0, 1.0, 0.0]);
    let sent = serve_queries(&mut harness, 300);
    assert!(
        !sent.contains(&2),
        "a server of weight 0 got a part that others could take"
    );
    let removed = [0, 1].map(|id| endpoint(id, ServerState::Removed, None));
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(removed.to_vec()))]);
    assert_eq!(
        serve_queries(&mut harness, 3),
        [2, 2, 2],
        "a server of weight 0 gets the parts that no other can take"
    );
}

/// Guards against a query whose parts are sent to servers of one endpoint list and, after a change, to
/// servers of the next.
#[test]
fn a_query_stays_on_the_endpoint_list_it_was_admitted_under() {
    let mut harness = Harness::new(idempotent_settings());
    let set_list = |harness: &mut Harness, generation: u64, ids: std::ops::Range<u32>| {
        let endpoint_of_generation = |id| Endpoint {
            generation,
            ..endpoint(id, ServerState::Ready, None)
        };
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
            ids.map(endpoint_of_generation).collect(),
        ))])
    };
    set_list(&mut harness, 1, 0..3);
    let (events, _, parts) = harness.query(0, &[0]);
    let first = sends(&harness.handle(&events))[0].1;
    // The next list contains one server of the previous list and two new ones.
    set_list(&mut harness, 2, 2..5);
    let resent = sends(&harness.handle_after(0.01, &[attempt_ended(parts[0], 0, Outcome::Reset)]));
    assert!(
        resent.is_empty() || resent[0].1 == 2,
        "first sent to server {first}, then to {resent:?}, which is not in the first list"
    );
    let (events, ..) = harness.query(0, &[0, 1, 2]);
    let sent: Vec<u32> = sends(&harness.handle(&events))
        .iter()
        .map(|&(_, server)| server)
        .collect();
    assert!(
        sent.iter().any(|&id| id > 2) && sent.iter().all(|&id| id >= 2),
        "a new query was sent to {sent:?} instead of servers of the new list"
    );
}
