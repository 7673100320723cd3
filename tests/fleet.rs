//! What one node does that is fine alone and hurts when a hundred do it, and what it learns too late from little
//! traffic of its own. Each test is named after the failure.

mod common;

use cairnroad::*;
use common::*;

/// Cells of the deployment below; each holds every shard of its number modulo this, on two servers.
const CELLS: u32 = 9;

/// A node of a large fleet: aims are short, calls carry eight parts, and its own queries are few.
fn sparse(effect: Effect) -> Settings {
    let class =
        Class { aim: 0.25, deadline: 0.7, late_share: 0.3, floor: 0.8, partial: 0.9, ..class(effect) };
    Settings {
        group_size: 100,
        cells: CELLS,
        reach: 1,
        parts_a_call: 8,
        tick: 0.001,
        ..settings(vec![class])
    }
}

/// A rig whose list has two servers a cell: `cell` and `cell + CELLS`.
fn rig(settings: Settings) -> Rig {
    let mut rig = Rig::new(settings);
    let row = |id: u32| Listed { cell: id % CELLS, ..listed(id, ServerState::Ready, None) };
    rig.play(&[Event::List(ListNews::Full((0..2 * CELLS).map(row).collect()))]);
    rig
}

/// A search over four shards of every cell, answered whole after `took` seconds.
fn search(rig: &mut Rig, took: f64) -> Vec<Action> {
    let (events, _, parts) = rig.query(0, &shards());
    let mut actions = rig.play(&events);
    let answers: Vec<Event> = parts.iter().map(|&part| done(part, 0, Outcome::Ok)).collect();
    actions.extend(rig.after(took, &answers));
    actions
}

fn shards() -> Vec<u32> {
    (0..4 * CELLS).collect()
}

/// Guards against a query that is taken for slow because its parts are many: those of one call wait together.
#[test]
fn parts_that_share_calls_do_not_make_a_query_too_slow() {
    let mut rig = rig(sparse(Effect::Safe));
    // 70 ms a part: for 36 parts one by one the slowest would take 320 ms, for 9 calls 224 ms; the aim is 250 ms.
    for _ in 0..40 {
        let actions = search(&mut rig, 0.07);
        assert!(!actions.iter().any(|a| matches!(a, Action::Refuse { .. })), "refused though it is in time");
        rig.now = rig.now + 0.1;
    }
}

/// Plays four quiet searches some seconds apart, then one of which only the first `answered` parts are in by the
/// hedge delay; returns how many copies that brings.
fn copies_after(answered: usize) -> usize {
    let mut rig = rig(sparse(Effect::Safe));
    for _ in 0..4 {
        search(&mut rig, 0.04);
        rig.now = rig.now + 2.4;
    }
    let (events, _, parts) = rig.query(0, &shards());
    rig.play(&events);
    let answers: Vec<Event> = parts[..answered].iter().map(|&part| done(part, 0, Outcome::Ok)).collect();
    rig.after(0.04, &answers);
    sends(&rig.after(0.085, &[Event::Wake])).len()
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
