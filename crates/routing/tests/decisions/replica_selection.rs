//! Which replica gets a part: turns, weights, ranks and shared calls.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn parts_are_sent_at_once_and_spread_over_replicas() {
    let mut harness = Harness::new(idempotent_settings());
    let (events, _, parts) = harness.query(0, &[0, 1, 2]);
    let sent = sends(&harness.handle(&events));
    assert_eq!(sent.iter().map(|s| s.0).collect::<Vec<_>>(), parts);
    let servers: std::collections::BTreeSet<u32> = sent.iter().map(|s| s.1).collect();
    assert_eq!(servers.len(), 3, "three parts spread over three replicas");
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
    let stuck = sends(&harness.handle(&events))[0].1;
    harness.now = harness.now + 0.2;
    for _ in 0..4 {
        let (events, _, parts) = harness.query(0, &[0]);
        assert_ne!(sends(&harness.handle(&events))[0].1, stuck);
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
            "what can't be served is answered at once"
        );
    }
}

#[test]
fn parts_of_a_query_with_the_same_candidates_share_a_call() {
    // Cells of two servers: 0 and 2 have the even shards, 1 and 3 the odd ones.
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
        "one call for each pair: {first:?}"
    );
    let second = servers_of(&mut harness, &[0, 2]);
    assert_ne!(
        first[0], second[0],
        "the next query goes to the other replica"
    );
    let third = servers_of(&mut harness, &[0, 2, 4]);
    assert_eq!(third[0], third[1]);
    assert_ne!(third[0], third[2], "a full call ends the turn");
}

/// Turns are shared in proportion to weights, smoothly; a weight of 0 takes only what no other can.
#[test]
fn weights_share_turns_smoothly() {
    let mut harness = Harness::new(idempotent_settings());
    let list = |harness: &mut Harness, weights: [f64; 3]| {
        let row = |id: u32| Endpoint {
            weight: weights[id as usize],
            ..endpoint(id, ServerState::Ready, None)
        };
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
            (0..3).map(row).collect(),
        ))]);
    };
    let play = |harness: &mut Harness, count: usize| -> Vec<u32> {
        let one = |_| {
            let (events, _, parts) = harness.query(0, &[0]);
            let sent = sends(&harness.handle(&events))[0].1;
            harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
            sent
        };
        (0..count).map(one).collect()
    };
    list(&mut harness, [1.0, 2.0, 4.0]);
    let sent = play(&mut harness, 10_000);
    let share =
        |id: u32| sent.iter().filter(|&&server| server == id).count() as f64 / sent.len() as f64;
    for (id, wanted) in [(0, 1.0 / 7.0), (1, 2.0 / 7.0), (2, 4.0 / 7.0)] {
        assert!(
            (share(id) - wanted).abs() < 0.02 * wanted,
            "server {id} took {} of the turns",
            share(id)
        );
    }
    let longest = sent.chunk_by(|a, b| a == b).map(<[u32]>::len).max();
    assert_eq!(longest, Some(2), "the longest run of one replica");
    list(&mut harness, [1.0, 1.0, 0.0]);
    let sent = play(&mut harness, 300);
    assert!(!sent.contains(&2), "others can be sent it");
    let gone = [0, 1].map(|id| endpoint(id, ServerState::Removed, None));
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(gone.to_vec()))]);
    assert_eq!(play(&mut harness, 3), [2, 2, 2], "no other can");
}

/// Guards against a query whose parts go to servers of one list and, after a change, to those of another.
#[test]
fn a_query_stays_on_the_endpoint_list_it_was_admitted_under() {
    let mut harness = Harness::new(idempotent_settings());
    let list = |harness: &mut Harness, generation: u64, ids: std::ops::Range<u32>| {
        let row = |id| Endpoint {
            generation,
            ..endpoint(id, ServerState::Ready, None)
        };
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
            ids.map(row).collect(),
        ))])
    };
    list(&mut harness, 1, 0..3);
    let (events, _, parts) = harness.query(0, &[0]);
    let first = sends(&harness.handle(&events))[0].1;
    // The next list holds one server of the old one and two new ones.
    list(&mut harness, 2, 2..5);
    let again = sends(&harness.handle_after(0.01, &[attempt_ended(parts[0], 0, Outcome::Reset)]));
    assert!(
        again.is_empty() || again[0].1 == 2,
        "went to {again:?} after {first}"
    );
    let (events, ..) = harness.query(0, &[0, 1, 2]);
    let sent: Vec<u32> = sends(&harness.handle(&events))
        .iter()
        .map(|sent| sent.1)
        .collect();
    assert!(
        sent.iter().any(|&id| id > 2) && sent.iter().all(|&id| id >= 2),
        "a new query: {sent:?}"
    );
}
