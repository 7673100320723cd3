//! Snapshots that an earlier release wrote stay readable, byte for byte.
//!
//! The slots in `fixtures/stored_by_0.1.0` were written by cairnroad 0.1.0 of 2026-12-02, before the types of this
//! package got their present names: two lists followed each other, then the process was killed.

use cairnroad_endpoint_files::endpoint_set::Phase;
use cairnroad_endpoint_files::snapshot_store::{decode, encode, recover, StateDirectory};
use std::path::PathBuf;

fn stored_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored_by_0.1.0")
}

#[test]
fn slots_written_by_0_1_0_are_read_and_written_back_to_the_same_bytes() {
    for slot in ["roster.a", "roster.b"] {
        let bytes = std::fs::read(stored_folder().join(slot)).unwrap();
        let (roster, saved) = decode(&bytes).unwrap();
        assert_eq!(encode(&roster, saved), bytes, "{slot}");
    }
}

#[test]
fn the_newest_list_stored_by_0_1_0_is_recovered_with_all_its_values() {
    let (kept, wrong) = recover(&StateDirectory(stored_folder()));
    assert!(wrong.is_empty(), "{wrong:?}");
    let kept = kept.unwrap();
    assert_eq!(kept.saved_at, 1_796_237_450.230);
    let roster = kept.roster;
    assert_eq!((roster.generation, roster.allow_shrink), (2, true));
    assert_eq!(roster.endpoints.len(), 3);
    let first = &roster.endpoints["s-1"];
    assert_eq!(first.address, "127.0.0.1:9001".parse().unwrap());
    assert_eq!((first.cell, first.weight), (0, 0.125));
    assert_eq!(
        (first.locality.as_str(), first.kind.as_str()),
        ("kita-room", "std-2core")
    );
    assert_eq!(first.started, Some(1_796_043_600.0));
    let timed = &roster.endpoints["s-2"];
    assert_eq!(timed.phase, Phase::Active);
    assert_eq!(timed.started, Some(1_767_225_600.25));
    assert_eq!(timed.not_before, Some(1_767_312_000.0));
    assert_eq!(timed.not_after, Some(2_082_844_800.0));
    let leaving = &roster.endpoints["s-3 \"北\""];
    assert_eq!(leaving.address, "[::1]:9003".parse().unwrap());
    assert_eq!((leaving.phase, leaving.weight), (Phase::Draining, 0.0));
    assert_eq!(
        (leaving.started, leaving.not_before, leaving.not_after),
        (None, None, None)
    );
}
