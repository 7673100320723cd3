//! Checks that snapshots written by an earlier release stay readable and are written back byte for byte.
//!
//! The slots in `fixtures/stored_by_0.1.0` were written by cairnroad 0.1.0 of 2026-12-02, before the types of this
//! package got their present names: the process accepted two lists in turn and was then killed.

use cairnroad_endpoint_files::endpoint_set::Phase;
use cairnroad_endpoint_files::snapshot_store::{decode, encode, SnapshotStore, StateDirectory};
use std::path::PathBuf;

fn stored_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored_by_0.1.0")
}

#[test]
fn slots_written_by_0_1_0_are_read_and_written_back_to_the_same_bytes() {
    for slot in ["roster.a", "roster.b"] {
        let bytes = std::fs::read(stored_folder().join(slot)).unwrap();
        let snapshot = decode(&bytes).unwrap();
        assert_eq!(
            encode(&snapshot.endpoint_set, snapshot.saved_at),
            bytes,
            "{slot}"
        );
    }
}

#[test]
fn the_newest_list_stored_by_0_1_0_is_recovered_with_all_its_values() {
    let recovery = SnapshotStore::new(StateDirectory(stored_folder())).recover();
    assert!(
        recovery.unusable_slots.is_empty(),
        "{:?}",
        recovery.unusable_slots
    );
    let snapshot = recovery.snapshot.unwrap();
    assert_eq!(snapshot.saved_at, 1_796_237_450.230);
    let endpoint_set = snapshot.endpoint_set;
    assert_eq!(
        (endpoint_set.generation, endpoint_set.allow_shrink),
        (2, true)
    );
    assert_eq!(endpoint_set.endpoints.len(), 3);
    let first = &endpoint_set.endpoints["s-1"];
    assert_eq!(first.address, "127.0.0.1:9001".parse().unwrap());
    assert_eq!((first.cell, first.weight), (0, 0.125));
    assert_eq!(
        (first.locality.as_str(), first.kind.as_str()),
        ("kita-room", "std-2core")
    );
    assert_eq!(first.started, Some(1_796_043_600.0));
    let timed = &endpoint_set.endpoints["s-2"];
    assert_eq!(timed.phase, Phase::Active);
    assert_eq!(timed.started, Some(1_767_225_600.25));
    assert_eq!(timed.not_before, Some(1_767_312_000.0));
    assert_eq!(timed.not_after, Some(2_082_844_800.0));
    let draining = &endpoint_set.endpoints["s-3 \"北\""];
    assert_eq!(draining.address, "[::1]:9003".parse().unwrap());
    assert_eq!((draining.phase, draining.weight), (Phase::Draining, 0.0));
    assert_eq!(
        (draining.started, draining.not_before, draining.not_after),
        (None, None, None)
    );
}
