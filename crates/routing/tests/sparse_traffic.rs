//! Tests of coordinators with little traffic each in a large fleet: behaviour that is harmless in one
//! coordinator but harmful in a hundred, and observations that come too late under sparse traffic.

mod common;

use cairnroad_types::*;
use common::*;

/// Number of cells. Cell `c` holds the shards that are `c` modulo this number, on two servers.
const CELLS: u32 = 9;

/// Settings of a coordinator in a large fleet: short latency objectives and calls of up to eight parts.
fn large_fleet_settings(idempotency: Idempotency) -> Settings {
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

/// Returns the zone of a server, from 1 to 3. The two servers of a cell are in different zones.
fn zone(id: u32) -> u32 {
    (id % CELLS + id / CELLS) % 3 + 1
}

/// Creates a harness with two servers per cell: `cell` and `cell + CELLS`.
fn harness(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    let zoned_endpoint = |id: u32| Endpoint {
        cell: id % CELLS,
        zone: zone(id),
        ..endpoint(id, ServerState::Ready, None)
    };
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(
        (0..2 * CELLS).map(zoned_endpoint).collect(),
    ))]);
    harness
}

/// Sends a query for four shards of each cell and answers it completely after `latency` seconds.
fn search(harness: &mut Harness, latency: f64) -> Vec<Action> {
    let (events, _, parts) = harness.query(0, &shards());
    let mut actions = harness.handle(&events);
    actions.extend(harness.handle_after(latency, &ok_answers(parts)));
    actions
}

/// Returns four shards of each cell.
fn shards() -> Vec<u32> {
    (0..4 * CELLS).collect()
}

/// Returns the answers to the first attempts of these parts.
fn ok_answers(parts: impl IntoIterator<Item = u64>) -> Vec<Event> {
    parts
        .into_iter()
        .map(|part| attempt_ended(part, 0, Outcome::Ok))
        .collect()
}

/// Guards against shedding a query because it has many parts: the parts of one call wait together.
#[test]
fn parts_that_share_calls_do_not_get_a_query_shed() {
    let mut harness = harness(large_fleet_settings(Idempotency::Idempotent));
    // At 70 ms per part, the slowest of 36 separate parts would take 320 ms, and the slowest of 9 calls 224
    // ms. The latency objective is 250 ms.
    for _ in 0..40 {
        let actions = search(&mut harness, 0.07);
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::Reject { .. })),
            "a query that would be answered in time was rejected"
        );
        harness.now = harness.now + 0.1;
    }
}

/// Guards against answers that are sent a few short ticks before the latency objective and arrive after it.
#[test]
fn a_partial_answer_is_sent_in_time_to_arrive() {
    let mut harness = harness(large_fleet_settings(Idempotency::Idempotent));
    search(&mut harness, 0.04);
    let (events, id, parts) = harness.query(0, &shards());
    harness.handle(&events);
    harness.handle_after(0.04, &ok_answers(parts[..32].iter().copied()));
    assert!(
        !is_finished(&harness.handle_after(0.2, &[Event::TimerFired]), id),
        "ended long before its latency objective"
    );
    assert!(
        is_finished(&harness.handle_after(0.003, &[Event::TimerFired]), id),
        "not ended 7 ms before its latency objective of 250 ms"
    );
}

/// Guards against a coordinator that keeps shedding because of the last overload it observed, and so never
/// observes that the overload is over.
#[test]
fn typical_latency_of_an_overload_fades_under_sparse_traffic() {
    let mut harness = harness(large_fleet_settings(Idempotency::Idempotent));
    let is_rejected = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. }))
    };
    while !is_rejected(&search(&mut harness, 0.2)) {}
    let rejected = (0..20)
        .filter(|_| is_rejected(&search(&mut harness, 0.2)))
        .count();
    assert!(
        rejected > 10,
        "only {rejected} of 20 queries were rejected during the overload"
    );
    harness.now = harness.now + 25.0;
    assert!(
        !is_rejected(&search(&mut harness, 0.04)),
        "rejected because of latencies observed 25 s ago"
    );
}

/// Sends four queries some seconds apart, then one of which only the first `answered_parts` parts are
/// answered within the hedge delay. Returns the number of its hedged requests.
fn count_hedged_requests(answered_parts: usize) -> usize {
    let mut harness = harness(large_fleet_settings(Idempotency::Idempotent));
    for _ in 0..4 {
        search(&mut harness, 0.04);
        harness.now = harness.now + 2.4;
    }
    let (events, _, parts) = harness.query(0, &shards());
    harness.handle(&events);
    harness.handle_after(0.04, &ok_answers(parts[..answered_parts].iter().copied()));
    sends(&harness.handle_after(0.085, &[Event::TimerFired])).len()
}

/// Guards against a zone outage that fails the next query of every coordinator with little traffic: a third
/// of the query's parts is more than a tenth of the parts sent within a few latency objectives.
#[test]
fn parts_sent_to_an_unreachable_zone_are_hedged_under_sparse_traffic() {
    assert_eq!(count_hedged_requests(24), 12);
}

/// Guards against hedged requests that add load during a general slowdown: those of all coordinators together
/// stay below a tenth of the parts.
#[test]
fn no_hedge_budget_is_saved_up_for_a_general_slowdown() {
    assert_eq!(count_hedged_requests(12), 3);
}

/// Sends one query of which all parts but those sent to an unreachable zone are answered after 40 ms, and the
/// hedged requests likewise. Returns how many first attempts went to that zone.
fn send_query_during_outage(harness: &mut Harness, unreachable: u32) -> usize {
    let (events, _, _) = harness.query(0, &shards());
    let sent = sends(&harness.handle(&events));
    let answers = |sent: &[(u64, u32)], attempt| -> Vec<Event> {
        sent.iter()
            .filter(|(_, server)| zone(*server) != unreachable)
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

/// Returns a coordinator of which one query was sent during an outage of zone 2, and the number of parts that
/// its next two queries sent to that zone.
fn harness_after_zone_outage() -> (Harness, [usize; 2]) {
    let mut harness = harness(large_fleet_settings(Idempotency::Idempotent));
    for _ in 0..4 {
        search(&mut harness, 0.04);
        harness.now = harness.now + 2.4;
    }
    assert!(
        send_query_during_outage(&mut harness, 2) >= 4,
        "the zone gets its share of the parts before the outage is detected"
    );
    let sends_to_zone = [0, 1].map(|_| {
        harness.now = harness.now + 2.4;
        send_query_during_outage(&mut harness, 2)
    });
    (harness, sends_to_zone)
}

/// Guards against a coordinator that detects each server of an unreachable zone separately, by losing parts
/// to it.
#[test]
fn a_zone_outage_is_detected_by_one_query() {
    let (_, sends_to_zone) = harness_after_zone_outage();
    assert!(
        sends_to_zone.iter().all(|&sent| sent <= 2),
        "expected only trial parts after the outage was detected, got {sends_to_zone:?} parts"
    );
}

/// Guards against all coordinators sending a zone its full share again at the moment at which it is reachable
/// after a restart, which the endpoint list shows only seconds later.
#[test]
fn a_zone_that_recovers_goes_through_slow_start() {
    let (mut harness, _) = harness_after_zone_outage();
    let mut sends_to_zone_after = |pause: f64| {
        harness.now = harness.now + pause;
        let (events, _, _) = harness.query(0, &shards());
        let sent = sends(&harness.handle(&events));
        harness.handle_after(0.04, &ok_answers(sent.iter().map(|&(part, _)| part)));
        sent.iter().filter(|(_, server)| zone(*server) == 2).count()
    };
    assert!(
        (0..4).any(|_| sends_to_zone_after(2.4) > 0),
        "the zone got no trial part, so it would stay unreachable"
    );
    let immediately = sends_to_zone_after(0.1);
    assert!(
        immediately <= 2,
        "{immediately} parts immediately after the recovery"
    );
    let when_warm = (0..20)
        .map(|_| sends_to_zone_after(1.0))
        .last()
        .unwrap_or(0);
    assert!(when_warm >= 8, "only {when_warm} parts after slow start");
}

/// Guards against taking a failure of the coordinator's own network for zone outages, after which all servers
/// would go through slow start. If no zone answers, none counts as unreachable.
#[test]
fn silence_of_all_zones_is_no_zone_outage() {
    let mut harness = harness(large_fleet_settings(Idempotency::Idempotent));
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
    harness.handle_after(0.04, &ok_answers(sent.iter().map(|&(part, _)| part)));
    harness.now = harness.now + 1.0;
    let (events, _, _) = harness.query(0, &shards());
    assert_eq!(
        sends(&harness.handle(&events)).len(),
        36,
        "parts were held back although no server is in slow start"
    );
}

/// Simulates a deployment in which both servers of the first cell fail and later recover. Every query has a
/// part in that cell and needs a complete answer. Returns the queries answered and sent in the 60 s after the
/// recovery, and the seconds until the first answer. If `is_health_checked`, health checks of both servers
/// fail before the recovery.
fn availability_after_failed_cell(
    idempotency: Idempotency,
    is_health_checked: bool,
) -> (usize, usize, f64) {
    let class = Class {
        latency_objective: 1.0,
        deadline: 2.5,
        ..class(idempotency)
    };
    let in_flight_report_index = is_health_checked.then_some(0);
    let mut harness = harness(Settings {
        cells: CELLS,
        cells_per_shard: 1,
        tick: 0.005,
        in_flight_report_index,
        ..settings(vec![class])
    });
    let send_query = |harness: &mut Harness, is_recovered: bool| {
        let (events, ..) = harness.query(0, &(0..CELLS).collect::<Vec<_>>());
        let mut actions = harness.handle(&events);
        let mut sent = sends(&actions);
        let answers = |sent: &[(u64, u32)], number: u8| -> Vec<Event> {
            let outcome = |server: u32| {
                if is_recovered || !server.is_multiple_of(CELLS) {
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
        send_query(&mut harness, false);
        if is_health_checked {
            let failed_check = |server| Event::HealthCheckEnded {
                server: ServerId(server),
                outcome: Outcome::Timeout,
                report: vec![],
            };
            harness.handle(&[failed_check(0), failed_check(CELLS)]);
        }
        harness.now = harness.now + 0.1;
    }
    // For 120 s, longer than the long recent window of 50 s, all queries are rejected and nothing is sent.
    for _ in 0..1200 {
        send_query(&mut harness, false);
        harness.now = harness.now + 0.1;
    }
    let (mut answered, mut sent, mut first_answer_after, start) = (0, 0, f64::MAX, harness.now);
    while harness.now - start < 60.0 {
        sent += 1;
        if send_query(&mut harness, true) {
            answered += 1;
            first_answer_after = first_answer_after.min(harness.now - start);
        }
        harness.now = harness.now + 0.1;
    }
    (answered, sent, first_answer_after)
}

/// Guards against a coordinator that never stops rejecting: trial parts were limited by the parts sent, but
/// if both servers of a shard are outliers, no part is sent. Neither an old health check nor a deployment
/// without an idempotent class may prevent the recovery.
#[test]
fn a_shard_whose_servers_are_all_outliers_gets_trial_parts_though_nothing_else_is_sent() {
    for (idempotency, is_health_checked) in [
        (Idempotency::Idempotent, false),
        (Idempotency::Idempotent, true),
        (Idempotency::AtMostOnce, false),
        (Idempotency::IdempotentWithKey, false),
    ] {
        let (answered, sent, first_answer_after) =
            availability_after_failed_cell(idempotency, is_health_checked);
        assert!(
            first_answer_after < 10.0,
            "{idempotency:?}, health-checked {is_health_checked}: first answer after {first_answer_after} s"
        );
        assert!(
            answered * 10 > sent * 8,
            "{idempotency:?}, health-checked {is_health_checked}: {answered} of {sent} queries answered"
        );
    }
}
