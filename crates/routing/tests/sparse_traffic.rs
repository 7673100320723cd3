//! Coordinators with little traffic each, in a large fleet: what is harmless alone and hurts when a hundred do it, and
//! what is learned too late from sparse traffic.

mod common;

use cairnroad_types::*;
use common::*;

/// Cells of the deployment; each has the shards of its number modulo this, on two servers.
const CELLS: u32 = 9;

/// A coordinator of a large fleet: objectives are short, calls carry eight parts, and its own queries are few.
fn sparse(idempotency: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 0.25,
        deadline: 0.7,
        late_answer_share: 0.3,
        minimum_share: 0.8,
        partial_answer_share: 0.9,
        ..class(idempotency)
    };
    Settings {
        coordinator_count: 100,
        cells: CELLS,
        cells_per_shard: 1,
        max_parts_per_call: 8,
        tick: 0.001,
        ..settings(vec![class])
    }
}

/// The zone of a server; the two servers of a cell are in different zones of three.
fn zone(id: u32) -> u32 {
    (id % CELLS + id / CELLS) % 3 + 1
}

/// A harness whose list has two servers a cell: `cell` and `cell + CELLS`.
fn harness(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    let row = |id: u32| Endpoint {
        cell: id % CELLS,
        zone: zone(id),
        ..endpoint(id, ServerState::Ready, None)
    };
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
        (0..2 * CELLS).map(row).collect(),
    ))]);
    harness
}

/// Handles a query of four shards of every cell, answered completely after `took` seconds.
fn search(harness: &mut Harness, took: f64) -> Vec<Action> {
    let (events, _, parts) = harness.query(0, &shards());
    let mut actions = harness.handle(&events);
    actions.extend(harness.handle_after(took, &oks(parts)));
    actions
}

fn shards() -> Vec<u32> {
    (0..4 * CELLS).collect()
}

/// Answers to the first attempts of these parts.
fn oks(parts: impl IntoIterator<Item = u64>) -> Vec<Event> {
    parts
        .into_iter()
        .map(|part| attempt_ended(part, 0, Outcome::Ok))
        .collect()
}

/// Guards against a query that is taken for slow because it has many parts: those of one call wait together.
#[test]
fn parts_that_share_calls_do_not_get_a_query_shed() {
    let mut harness = harness(sparse(Idempotency::Idempotent));
    // 70 ms a part: for 36 parts one by one the slowest would take 320 ms, for 9 calls 224 ms; the objective is 250 ms.
    for _ in 0..40 {
        let actions = search(&mut harness, 0.07);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Reject { .. })),
            "rejected though it is in time"
        );
        harness.now = harness.now + 0.1;
    }
}

/// Guards against answers that are sent a few short ticks before the objective and arrive after it.
#[test]
fn a_partial_answer_is_sent_in_time_to_arrive() {
    let mut harness = harness(sparse(Idempotency::Idempotent));
    search(&mut harness, 0.04);
    let (events, id, parts) = harness.query(0, &shards());
    harness.handle(&events);
    harness.handle_after(0.04, &oks(parts[..32].iter().copied()));
    assert!(
        !is_finished(&harness.handle_after(0.2, &[Event::TimerFired]), id),
        "not long before its objective"
    );
    assert!(
        is_finished(&harness.handle_after(0.003, &[Event::TimerFired]), id),
        "7 ms before its objective of 250 ms"
    );
}

/// Guards against a coordinator that keeps shedding because of the last overload it saw, and so never sees that it is over.
#[test]
fn typical_latency_of_an_overload_fades_under_sparse_traffic() {
    let mut harness = harness(sparse(Idempotency::Idempotent));
    let rejected = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Reject { .. }));
    while !rejected(&search(&mut harness, 0.2)) {}
    let again = (0..20)
        .filter(|_| rejected(&search(&mut harness, 0.2)))
        .count();
    assert!(again > 10, "while it lasts, most are rejected: {again}");
    harness.now = harness.now + 25.0;
    assert!(
        !rejected(&search(&mut harness, 0.04)),
        "rejected because of what was seen 25 s ago"
    );
}

/// Handles four queries some seconds apart, then one of which only the first `answered` parts are answered by the hedge
/// delay; returns how many hedged requests that brings.
fn hedged_requests_after(answered: usize) -> usize {
    let mut harness = harness(sparse(Idempotency::Idempotent));
    for _ in 0..4 {
        search(&mut harness, 0.04);
        harness.now = harness.now + 2.4;
    }
    let (events, _, parts) = harness.query(0, &shards());
    harness.handle(&events);
    harness.handle_after(0.04, &oks(parts[..answered].iter().copied()));
    sends(&harness.handle_after(0.085, &[Event::TimerFired])).len()
}

/// Guards against a zone outage that costs every coordinator with little traffic its next query: a third of its parts is
/// more than a tenth of what it sent within a few objectives.
#[test]
fn parts_sent_to_an_unreachable_zone_are_hedged_under_sparse_traffic() {
    assert_eq!(hedged_requests_after(24), 12);
}

/// Guards against hedged requests of all coordinators together in a general slowdown: they stay under a tenth.
#[test]
fn no_hedge_budget_is_saved_up_for_a_general_slowdown() {
    assert_eq!(hedged_requests_after(12), 3);
}

/// Handles one query of which all parts but those sent to an unreachable zone are answered after 40 ms, hedged requests
/// likewise. Returns how many of its first sends went to that zone.
fn query_without_zone(harness: &mut Harness, unreachable: u32) -> usize {
    let (events, _, _) = harness.query(0, &shards());
    let sent = sends(&harness.handle(&events));
    let answers = |sent: &[(u64, u32)], attempt| -> Vec<Event> {
        let there = sent
            .iter()
            .filter(|(_, server)| zone(*server) != unreachable);
        there
            .map(|&(part, _)| attempt_ended(part, attempt, Outcome::Ok))
            .collect()
    };
    harness.handle_after(0.04, &answers(&sent, 0));
    let hedged = sends(&harness.handle_after(0.085, &[Event::TimerFired]));
    harness.handle_after(0.04, &answers(&hedged, 1));
    sent.iter()
        .filter(|(_, server)| zone(*server) == unreachable)
        .count()
}

/// A coordinator that met a zone outage in one query, and the sends to that zone in the two queries after it.
fn after_a_zone_outage() -> (Harness, [usize; 2]) {
    let mut harness = harness(sparse(Idempotency::Idempotent));
    for _ in 0..4 {
        search(&mut harness, 0.04);
        harness.now = harness.now + 2.4;
    }
    assert!(
        query_without_zone(&mut harness, 2) >= 4,
        "the zone is sent its share"
    );
    let later = [0, 1].map(|_| {
        harness.now = harness.now + 2.4;
        query_without_zone(&mut harness, 2)
    });
    (harness, later)
}

/// Guards against a coordinator that finds each server of an unreachable zone by losing a query's parts to it.
#[test]
fn a_zone_outage_is_detected_by_one_query() {
    let (_, later) = after_a_zone_outage();
    assert!(
        later.iter().all(|&sent| sent <= 2),
        "trial parts only: {later:?}"
    );
}

/// Guards against all coordinators together sending a zone its whole share again at the moment that it returns from a
/// restart, of which the endpoint list tells only seconds later.
#[test]
fn a_zone_that_recovers_goes_through_slow_start() {
    let (mut harness, _) = after_a_zone_outage();
    let mut round = |pause: f64| {
        harness.now = harness.now + pause;
        let (events, _, _) = harness.query(0, &shards());
        let sent = sends(&harness.handle(&events));
        harness.handle_after(0.04, &oks(sent.iter().map(|&(part, _)| part)));
        sent.iter().filter(|(_, server)| zone(*server) == 2).count()
    };
    assert!(
        (0..4).any(|_| round(2.4) > 0),
        "a zone that gets no trial part stays unreachable for good"
    );
    let at_once = round(0.1);
    assert!(at_once <= 2, "{at_once} parts at once");
    let warm = (0..20).map(|_| round(1.0)).last().unwrap_or(0);
    assert!(warm >= 8, "warm again, and only {warm} parts");
}

/// Guards against a cut of the coordinator's own network being taken for zone outages, whose servers would then go through
/// slow start: with every zone silent, none counts as unreachable.
#[test]
fn silence_of_all_zones_is_no_zone_outage() {
    let mut harness = harness(sparse(Idempotency::Idempotent));
    search(&mut harness, 0.04);
    for _ in 0..3 {
        harness.now = harness.now + 1.0;
        let (events, _, _) = harness.query(0, &shards());
        let sent = sends(&harness.handle(&events));
        let timeouts: Vec<Event> = sent
            .iter()
            .map(|&(part, _)| attempt_ended(part, 0, Outcome::Timeout))
            .collect();
        harness.handle_after(0.69, &timeouts);
    }
    harness.now = harness.now + 1.0;
    let (events, _, _) = harness.query(0, &shards());
    let sent = sends(&harness.handle(&events));
    harness.handle_after(0.04, &oks(sent.iter().map(|&(part, _)| part)));
    harness.now = harness.now + 1.0;
    let (events, _, _) = harness.query(0, &shards());
    assert_eq!(
        sends(&harness.handle(&events)).len(),
        36,
        "none is in slow start"
    );
}

/// Two servers a cell, of which both of the first cell fail: every query needs a part there, and none may be partial.
/// Returns how many queries were answered of those asked in the 60 s after both recovered, and how long the first took.
/// With `health_checked`, health checks of both failed before.
fn answered_after_a_failed_cell(
    idempotency: Idempotency,
    health_checked: bool,
) -> (usize, usize, f64) {
    let class = Class {
        latency_objective: 1.0,
        deadline: 2.5,
        ..class(idempotency)
    };
    let in_flight_report_index = health_checked.then_some(0);
    let mut harness = harness(Settings {
        cells: CELLS,
        cells_per_shard: 1,
        tick: 0.005,
        in_flight_report_index,
        ..settings(vec![class])
    });
    let ask = |harness: &mut Harness, recovered: bool| {
        let (events, ..) = harness.query(0, &(0..CELLS).collect::<Vec<_>>());
        let mut actions = harness.handle(&events);
        let mut sent = sends(&actions);
        let answers = |sent: &[(u64, u32)], number: u8| -> Vec<Event> {
            let outcome = |server: u32| {
                if recovered || !server.is_multiple_of(CELLS) {
                    Outcome::Ok
                } else {
                    Outcome::Error
                }
            };
            sent.iter()
                .map(|&(part, server)| attempt_ended(part, number, outcome(server)))
                .collect()
        };
        for number in 0..3 {
            if sent.is_empty() {
                break;
            }
            actions = harness.handle_after(0.04, &answers(&sent, number));
            sent = sends(&actions);
        }
        actions
            .iter()
            .any(|action| matches!(action, Action::Answer { .. }))
    };
    for _ in 0..40 {
        ask(&mut harness, false);
        if health_checked {
            let failed = |server| Event::HealthCheckEnded {
                server: ServerId(server),
                outcome: Outcome::Timeout,
                report: vec![],
            };
            harness.handle(&[failed(0), failed(CELLS)]);
        }
        harness.now = harness.now + 0.1;
    }
    // For long enough everything is rejected, and nothing is sent.
    for _ in 0..1200 {
        ask(&mut harness, false);
        harness.now = harness.now + 0.1;
    }
    let (mut served, mut asked, mut first, start) = (0, 0, f64::MAX, harness.now);
    while harness.now - start < 60.0 {
        asked += 1;
        if ask(&mut harness, true) {
            served += 1;
            first = first.min(harness.now - start);
        }
        harness.now = harness.now + 0.1;
    }
    (served, asked, first)
}

/// Guards against a coordinator that rejects for good: trial parts were limited by what it sent, and where both servers of a
/// shard are outliers it sends nothing. Neither an old health check nor a deployment without an idempotent class may keep
/// it there.
#[test]
fn a_shard_whose_servers_are_all_outliers_gets_trial_parts_though_nothing_else_is_sent() {
    for (idempotency, health_checked) in [
        (Idempotency::Idempotent, false),
        (Idempotency::Idempotent, true),
        (Idempotency::AtMostOnce, false),
        (Idempotency::IdempotentWithKey, false),
    ] {
        let (served, asked, first) = answered_after_a_failed_cell(idempotency, health_checked);
        assert!(
            first < 10.0,
            "{idempotency:?}, health_checked {health_checked}: first served after {first} s"
        );
        assert!(
            served * 10 > asked * 8,
            "{idempotency:?}, health_checked {health_checked}: {served} of {asked}"
        );
    }
}
