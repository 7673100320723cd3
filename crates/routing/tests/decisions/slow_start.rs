//! Tests of slow start with one coordinator.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn a_server_in_slow_start_gets_no_more_than_its_guaranteed_share() {
    let mut harness = Harness::new(idempotent_settings());
    // 20 parts per second over three servers: each server answers 6.7 parts per second.
    harness.serve_quick(200);
    let restarted = vec![endpoint(0, ServerState::Ready, Some(harness.now))];
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(restarted))]);
    let mut sends_to_new = 0;
    for _ in 0..40 {
        let (events, _, parts) = harness.query(0, &[0]);
        sends_to_new += usize::from(sends(&harness.handle(&events))[0].1 == 0);
        harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    }
    // Over these 2 s the guaranteed capacity rises from 0.2 to 0.36 of 6.7 parts per second. Twice that is
    // 7.5 parts.
    assert!(
        (1..=7).contains(&sends_to_new),
        "{sends_to_new} parts in 2 s"
    );
}

/// Guards against a server in slow start that stays idle beside an outlier because the parts of a query are
/// sent together: the credit that it earns between two queries accumulates up to a limit.
#[test]
fn slow_start_credit_earned_between_two_queries_is_kept() {
    let mut harness = Harness::new(idempotent_settings());
    // 100 parts per second over three servers: each server answers 33 parts per second.
    harness.serve(1000, 0.01);
    let restarted = vec![endpoint(0, ServerState::Ready, Some(harness.now))];
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(restarted))]);
    let mut sends_to_new = 0;
    for _ in 0..8 {
        let (events, _, parts) = harness.query(0, &[0, 1, 2, 3, 4, 5]);
        sends_to_new += sends(&harness.handle(&events))
            .iter()
            .filter(|send| send.1 == 0)
            .count();
        let answers: Vec<Event> = parts
            .iter()
            .map(|&part| attempt_ended(part, 0, Outcome::Ok))
            .collect();
        harness.handle_after(0.01, &answers);
        harness.handle_after(0.24, &[]);
    }
    // In 2 s the server earns three quarters of twice 0.2 to 0.36 of 33 parts per second, about 28; its limit
    // is 37. One part of each query would be 8.
    assert!(
        (12..=28).contains(&sends_to_new),
        "{sends_to_new} parts in 2 s"
    );
}

#[test]
fn throughput_of_removed_servers_is_not_credited_to_others() {
    // Guards against answers of removed servers that count as throughput of the last warm one. Found by a
    // test with random event streams.
    let mut harness = Harness::new(idempotent_settings());
    // Each server answers 6.7 parts per second.
    harness.serve_quick(200);
    let now = harness.now;
    let endpoints = vec![
        endpoint(1, ServerState::Ready, Some(now)),
        endpoint(2, ServerState::Removed, None),
    ];
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(endpoints))]);
    let mut sends_to_new = 0;
    for _ in 0..40 {
        let (events, _, parts) = harness.query(0, &[0]);
        sends_to_new += usize::from(
            sends(&harness.handle(&events))
                .first()
                .is_some_and(|&(_, server)| server == 1),
        );
        harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    }
    // The limit is twice the guaranteed capacity of 2 s, 0.28 of 6.7 parts per second on average, and not of
    // 20.
    assert!(
        (1..=9).contains(&sends_to_new),
        "{sends_to_new} parts in 2 s"
    );
}

#[test]
fn slow_start_credit_carries_fractions_over_under_sparse_traffic() {
    // At two parts per second over three servers, a server earns less than one part in an overload window, so
    // fractions must be carried over.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve(20, 0.5);
    let restarted = endpoint(2, ServerState::Ready, Some(harness.now));
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(vec![restarted]))]);
    let mut sends_to_new = Vec::new();
    for query in 0..18 {
        let (events, _, parts) = harness.query(0, &[0]);
        let sent = sends(&harness.handle(&events))[0].1;
        sends_to_new.extend((sent == 2).then_some(query));
        harness.handle_after(0.5, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    }
    assert!(
        (2..=6).contains(&sends_to_new.len()),
        "expected some parts but not a third of all 18, got those of queries {sends_to_new:?}"
    );
}

#[test]
fn coordinators_do_not_start_sending_to_a_new_server_at_the_same_time() {
    let sends_soon = |seed: u64| {
        let mut harness = Harness::seeded(idempotent_settings(), seed);
        for _ in 0..20 {
            let (events, _, parts) = harness.query(0, &[0]);
            harness.handle(&events);
            harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
            harness.handle_after(0.45, &[Event::TimerFired]);
        }
        let restarted = endpoint(2, ServerState::Ready, Some(harness.now));
        harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(vec![restarted]))]);
        (0..3).any(|_| {
            let (events, _, parts) = harness.query(0, &[0]);
            let sent = sends(&harness.handle(&events))[0].1;
            harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
            sent == 2
        })
    };
    // The capacity share is 0.2 at first. Three quarters of twice that is 0.3 parts per second for each of 40
    // coordinators.
    let early_senders = (0..40).filter(|&seed| sends_soon(seed)).count();
    assert!(
        early_senders <= 8,
        "{early_senders} of 40 coordinators sent one of their first three parts to the new server"
    );
}
