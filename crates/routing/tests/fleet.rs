//! What one node does that is fine alone and hurts when a hundred do it, and what it learns too late from little
//! traffic of its own. Each test is named after the failure.

mod common;

use cairnroad_types::*;
use common::*;

/// Cells of the deployment below; each holds every shard of its number modulo this, on two servers.
const CELLS: u32 = 9;

/// A node of a large fleet: aims are short, calls carry eight parts, and its own queries are few.
fn sparse(effect: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 0.25,
        deadline: 0.7,
        late_answer_share: 0.3,
        minimum_share: 0.8,
        partial_answer_share: 0.9,
        ..class(effect)
    };
    Settings {
        group_size: 100,
        cells: CELLS,
        cells_per_shard: 1,
        max_parts_per_call: 8,
        tick: 0.001,
        ..settings(vec![class])
    }
}

/// The zone of a server: the two of a cell stand in different ones of three.
fn zone(id: u32) -> u32 {
    (id % CELLS + id / CELLS) % 3 + 1
}

/// A rig whose list has two servers a cell: `cell` and `cell + CELLS`.
fn rig(settings: Settings) -> Rig {
    let mut rig = Rig::new(settings);
    let row = |id: u32| Endpoint {
        cell: id % CELLS,
        zone: zone(id),
        ..listed(id, ServerState::Ready, None)
    };
    rig.play(&[Event::Endpoints(EndpointUpdate::Snapshot(
        (0..2 * CELLS).map(row).collect(),
    ))]);
    rig
}

/// A search over four shards of every cell, answered whole after `took` seconds.
fn search(rig: &mut Rig, took: f64) -> Vec<Action> {
    let (events, _, parts) = rig.query(0, &shards());
    let mut actions = rig.play(&events);
    actions.extend(rig.after(took, &oks(parts)));
    actions
}

fn shards() -> Vec<u32> {
    (0..4 * CELLS).collect()
}

/// Answers to the first attempts of these parts.
fn oks(parts: impl IntoIterator<Item = u64>) -> Vec<Event> {
    parts
        .into_iter()
        .map(|part| done(part, 0, Outcome::Ok))
        .collect()
}

/// Guards against a query that is taken for slow because its parts are many: those of one call wait together.
#[test]
fn parts_that_share_calls_do_not_make_a_query_too_slow() {
    let mut rig = rig(sparse(Idempotency::Idempotent));
    // 70 ms a part: for 36 parts one by one the slowest would take 320 ms, for 9 calls 224 ms; the aim is 250 ms.
    for _ in 0..40 {
        let actions = search(&mut rig, 0.07);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Reject { .. })),
            "refused though it is in time"
        );
        rig.now = rig.now + 0.1;
    }
}

/// Guards against answers that leave a few short ticks before their aim and arrive after it.
#[test]
fn a_partial_answer_leaves_in_time_to_arrive() {
    let mut rig = rig(sparse(Idempotency::Idempotent));
    search(&mut rig, 0.04);
    let (events, id, parts) = rig.query(0, &shards());
    rig.play(&events);
    rig.after(0.04, &oks(parts[..32].iter().copied()));
    assert!(
        !ended(&rig.after(0.2, &[Event::TimerFired]), id),
        "not long before its aim"
    );
    assert!(
        ended(&rig.after(0.003, &[Event::TimerFired]), id),
        "7 ms before its aim of 250 ms"
    );
}

/// Guards against a node with little traffic that goes on refusing by the last jam it saw, and so never sees that it
/// is over.
#[test]
fn a_sparse_node_forgets_a_jam() {
    let mut rig = rig(sparse(Idempotency::Idempotent));
    let refused = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Reject { .. }));
    while !refused(&search(&mut rig, 0.2)) {}
    let again = (0..20).filter(|_| refused(&search(&mut rig, 0.2))).count();
    assert!(again > 10, "while it lasts, most are refused: {again}");
    rig.now = rig.now + 25.0;
    assert!(
        !refused(&search(&mut rig, 0.04)),
        "refused by what was seen 25 s ago"
    );
}

/// Plays four quiet searches some seconds apart, then one of which only the first `answered` parts are in by the
/// hedge delay; returns how many copies that brings.
fn copies_after(answered: usize) -> usize {
    let mut rig = rig(sparse(Idempotency::Idempotent));
    for _ in 0..4 {
        search(&mut rig, 0.04);
        rig.now = rig.now + 2.4;
    }
    let (events, _, parts) = rig.query(0, &shards());
    rig.play(&events);
    rig.after(0.04, &oks(parts[..answered].iter().copied()));
    sends(&rig.after(0.085, &[Event::TimerFired])).len()
}

/// Guards against a lost zone that costs every node with little traffic its next search: a third of its parts is
/// more than a tenth of what it sent within a few aims.
#[test]
fn a_sparse_node_copies_what_a_lost_zone_kept() {
    assert_eq!(copies_after(24), 12);
}

/// Guards against copies of all nodes together in a general slowdown: saved up or not, they stay under a tenth.
#[test]
fn nothing_is_saved_up_for_a_fleet_that_is_slow_as_a_whole() {
    assert_eq!(copies_after(12), 3);
}

/// Plays one search of which all is answered after 40 ms but what goes to a lost zone; copies are answered too. How
/// many of its first sends went to that zone.
fn search_without(rig: &mut Rig, lost: u32) -> usize {
    let (events, _, _) = rig.query(0, &shards());
    let sent = sends(&rig.play(&events));
    let answers = |sent: &[(u64, u32)], attempt| -> Vec<Event> {
        let there = sent.iter().filter(|(_, server)| zone(*server) != lost);
        there
            .map(|&(part, _)| done(part, attempt, Outcome::Ok))
            .collect()
    };
    rig.after(0.04, &answers(&sent, 0));
    let copies = sends(&rig.after(0.085, &[Event::TimerFired]));
    rig.after(0.04, &answers(&copies, 1));
    sent.iter()
        .filter(|(_, server)| zone(*server) == lost)
        .count()
}

/// A node that lost a zone's parts in one search, and the sends to that zone in the two searches after it.
fn after_a_lost_zone() -> (Rig, [usize; 2]) {
    let mut rig = rig(sparse(Idempotency::Idempotent));
    for _ in 0..4 {
        search(&mut rig, 0.04);
        rig.now = rig.now + 2.4;
    }
    assert!(search_without(&mut rig, 2) >= 4, "the zone has its turns");
    let later = [0, 1].map(|_| {
        rig.now = rig.now + 2.4;
        search_without(&mut rig, 2)
    });
    (rig, later)
}

/// Guards against a node with little traffic that finds each server of a lost zone by losing a search's parts to it.
#[test]
fn a_lost_zone_is_found_by_one_search() {
    let (_, later) = after_a_lost_zone();
    assert!(
        later.iter().all(|&sent| sent <= 2),
        "trials only: {later:?}"
    );
}

/// Guards against all nodes together sending a zone its whole share again at the moment that it returns, cold: the
/// list tells seconds later that it started.
#[test]
fn a_zone_that_returns_from_the_dark_warms_up() {
    let (mut rig, _) = after_a_lost_zone();
    let mut round = |pause: f64| {
        rig.now = rig.now + pause;
        let (events, _, _) = rig.query(0, &shards());
        let sent = sends(&rig.play(&events));
        rig.after(0.04, &oks(sent.iter().map(|&(part, _)| part)));
        sent.iter().filter(|(_, server)| zone(*server) == 2).count()
    };
    assert!(
        (0..4).any(|_| round(2.4) > 0),
        "a zone that is never tried stays dark for good"
    );
    let at_once = round(0.1);
    assert!(at_once <= 2, "{at_once} parts at once");
    let warm = (0..20).map(|_| round(1.0)).last().unwrap_or(0);
    assert!(warm >= 8, "warm again, and only {warm} parts");
}

/// Guards against a cut of this node's own network being taken for lost zones, whose servers would then have to warm
/// up: with every zone silent none is dark.
#[test]
fn a_node_that_hears_nobody_has_no_dark_zone() {
    let mut rig = rig(sparse(Idempotency::Idempotent));
    search(&mut rig, 0.04);
    for _ in 0..3 {
        rig.now = rig.now + 1.0;
        let (events, _, _) = rig.query(0, &shards());
        let sent = sends(&rig.play(&events));
        let lost: Vec<Event> = sent
            .iter()
            .map(|&(part, _)| done(part, 0, Outcome::Timeout))
            .collect();
        rig.after(0.69, &lost);
    }
    rig.now = rig.now + 1.0;
    let (events, _, _) = rig.query(0, &shards());
    let sent = sends(&rig.play(&events));
    rig.after(0.04, &oks(sent.iter().map(|&(part, _)| part)));
    rig.now = rig.now + 1.0;
    let (events, _, _) = rig.query(0, &shards());
    assert_eq!(
        sends(&rig.play(&events)).len(),
        36,
        "none is taken for cold"
    );
}

/// A node with two servers a cell whose first cell lost both: every query needs a part there, and none may be partial. How
/// many queries it served of those asked in the 60 s after both are well again, and how long the first took; `probed`: its
/// probes failed before.
fn sent_after_a_lost_cell(effect: Idempotency, probed: bool) -> (usize, usize, f64) {
    let class = Class {
        latency_objective: 1.0,
        deadline: 2.5,
        ..class(effect)
    };
    let probes = probed.then_some(0);
    let mut rig = rig(Settings {
        cells: CELLS,
        cells_per_shard: 1,
        tick: 0.005,
        health_check_value: probes,
        ..settings(vec![class])
    });
    let ask = |rig: &mut Rig, well: bool| {
        let (events, ..) = rig.query(0, &(0..CELLS).collect::<Vec<_>>());
        let mut actions = rig.play(&events);
        let mut sent = sends(&actions);
        let answers = |sent: &[(u64, u32)], number: u8| -> Vec<Event> {
            let outcome = |server: u32| {
                if well || !server.is_multiple_of(CELLS) {
                    Outcome::Ok
                } else {
                    Outcome::Error
                }
            };
            sent.iter()
                .map(|&(part, server)| done(part, number, outcome(server)))
                .collect()
        };
        for number in 0..3 {
            if sent.is_empty() {
                break;
            }
            actions = rig.after(0.04, &answers(&sent, number));
            sent = sends(&actions);
        }
        actions
            .iter()
            .any(|action| matches!(action, Action::Answer { .. }))
    };
    for _ in 0..40 {
        ask(&mut rig, false);
        if probed {
            let failed = |server| Event::HealthCheckEnded {
                server: ServerId(server),
                outcome: Outcome::Timeout,
                report: vec![],
            };
            rig.play(&[failed(0), failed(CELLS)]);
        }
        rig.now = rig.now + 0.1;
    }
    // For long enough everything is refused, and nothing is sent.
    for _ in 0..1200 {
        ask(&mut rig, false);
        rig.now = rig.now + 0.1;
    }
    let (mut served, mut asked, mut first, start) = (0, 0, f64::MAX, rig.now);
    while rig.now - start < 60.0 {
        asked += 1;
        if ask(&mut rig, true) {
            served += 1;
            first = first.min(rig.now - start);
        }
        rig.now = rig.now + 0.1;
    }
    (served, asked, first)
}

/// Guards against a node that refuses for good: trials were rationed by what it sent, and where both servers of a shard
/// are doubted it sends nothing. Neither an old hint of a probe nor a deployment without a repeatable class may keep it
/// there.
#[test]
fn a_shard_whose_servers_are_all_doubted_is_tried_again_though_nothing_else_is_sent() {
    for (effect, probed) in [
        (Idempotency::Idempotent, false),
        (Idempotency::Idempotent, true),
        (Idempotency::AtMostOnce, false),
        (Idempotency::IdempotentWithKey, false),
    ] {
        let (served, asked, first) = sent_after_a_lost_cell(effect, probed);
        assert!(
            first < 10.0,
            "{effect:?}, probed {probed}: first served after {first} s"
        );
        assert!(
            served * 10 > asked * 8,
            "{effect:?}, probed {probed}: {served} of {asked}"
        );
    }
}
