//! Tests with faulty, partially written and mixed files, and with failing disks.

use cairnroad_endpoint_files::endpoint_set::{EndpointSet, Phase};
use cairnroad_endpoint_files::fault::{join_lines, FileError};
use cairnroad_endpoint_files::parse::{parse_files, SourceFile};
use cairnroad_endpoint_files::render::to_toml;
use cairnroad_endpoint_files::shard_layout::ShardLayout;
use cairnroad_endpoint_files::snapshot_store::{
    decode, encode, SlotStorage, Snapshot, SnapshotStore, SLOT_NAMES,
};
use cairnroad_endpoint_files::update_plan::plan_update;
use cairnroad_endpoint_files::validation::{
    decide_update, UpdateDecision, DEFAULT_MAX_REMOVED_SHARE,
};
use quickcheck::{Arbitrary, Gen};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

const LAYOUT: ShardLayout = ShardLayout {
    cells: 2,
    cells_per_shard: 2,
    shards: 8,
};

const KITA: &str = r#"generation = 7

[[server]]
id = "s-1"
address = "10.0.0.1:9000"
cell = 0
locality = "kita-room"
kind = "std-2core"
weight = 2
started = 2026-11-30T22:00:00+09:00

[[server]]
id = "s-2"
address = "10.0.0.2:9000"
cell = 1
# end
"#;

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.into(),
        text: Ok(text.into()),
    }
}

fn parse_one(text: &str) -> Result<EndpointSet, String> {
    parse_files(&[file("kita.toml", text)]).map_err(|faults| join_lines(&faults))
}

fn faults_after_edit(from: &str, to: &str) -> String {
    assert!(KITA.contains(from), "{from}");
    parse_one(&KITA.replacen(from, to, 1)).unwrap_err()
}

#[test]
fn a_set_written_as_toml_parses_to_the_same_set() {
    let endpoint_set = parse_one(KITA).unwrap();
    let first = &endpoint_set.endpoints["s-1"];
    assert_eq!(
        (
            endpoint_set.generation,
            first.weight,
            first.cell,
            first.phase
        ),
        (7, 2.0, 0, Phase::Active)
    );
    assert_eq!(first.started, Some(1_796_043_600.0));
    assert_eq!(endpoint_set.endpoints["s-2"].weight, 1.0);
    assert_eq!(parse_one(&to_toml(&endpoint_set)).unwrap(), endpoint_set);
}

#[test]
fn each_fault_names_its_file_line_and_cause() {
    let cases = [
        ("generation = 7\n", "", "kita.toml: 'generation' is missing: every file of a roster must state the same one"),
        ("generation = 7", "generation = 0", "kita.toml:1: 'generation': expected an integer above 0, found 0"),
        ("id = \"s-2\"", "id = \"s-1\"", "kita.toml:12: duplicate server 's-1', first defined at kita.toml:3"),
        ("10.0.0.2", "10.0.0.1", "kita.toml:12: duplicate address 10.0.0.1:9000 of 's-2', first used at kita.toml:3"),
        ("10.0.0.2:9000", "stock-2", "kita.toml:12: 'address' of 's-2': expected an IP address and port, found 'stock-2'"),
        ("weight = 2", "weight = -2", "kita.toml:3: 'weight': expected 0 to 1000, found -2"),
        ("weight = 2", "weight = nan", "kita.toml:3: 'weight': expected 0 to 1000, found NaN"),
        ("weight = 2", "weight = inf", "kita.toml:3: 'weight': expected 0 to 1000, found inf"),
        ("weight = 2", "weight = \"2\"", "kita.toml:3: 'weight': expected a number, found \"2\""),
        ("weight = 2", "wight = 2", "kita.toml:3: unknown key 'wight', expected one of id, address, cell, locality, kind, phase, weight, started, not_before, not_after"),
        ("cell = 1", "cell = -1", "kita.toml:12: 'cell': expected the number of a cell, found -1"),
        ("cell = 1\n", "", "kita.toml:12: 'cell' is missing: it determines the shards that the server holds"),
        ("cell = 1", "cell = 1\nphase = \"gone\"", "kita.toml:12: 'phase': expected 'active' or 'leaving', found 'gone'"),
        ("cell = 1", "cell = 1\nnot_before = 2026-12-02", "kita.toml:12: 'not_before': expected a date, a time and an offset such as Z, found 2026-12-02"),
        ("cell = 1", "cell = 1\nnot_before = 2026-12-02T00:00:00Z\nnot_after = 2026-12-01T00:00:00Z", "kita.toml:12: 'not_after' must be later than 'not_before'"),
        ("[[server]]", "[[servers]]", "kita.toml:3: unknown field `servers`, expected one of `generation`, `allow_shrink`, `server`, `weights`"),
    ];
    for (from, to, expected) in cases {
        assert_eq!(faults_after_edit(from, to), expected);
    }
    assert!(faults_after_edit("cell = 1\n", "cell = 1\n[[ser")
        .starts_with("kita.toml:16: invalid TOML, possibly only partially written: "));
    assert_eq!(
        faults_after_edit("# end\n", ""),
        "kita.toml:15: expected '# end' as the last line: the file may be only partially written"
    );
    assert_eq!(
        parse_one("").unwrap_err(),
        "kita.toml: empty file, possibly only partially written"
    );
    assert_eq!(
        join_lines(&parse_files(&[]).unwrap_err()),
        "no roster file found (*.toml)"
    );
    let large = vec![file("a.toml", &"#".repeat(9_000_000))];
    assert_eq!(
        join_lines(&parse_files(&large).unwrap_err()),
        "files too large: 9000000 bytes in total, at most 8388608 are allowed"
    );
    let unreadable = vec![SourceFile {
        name: "a.toml".into(),
        text: Err(FileError::from(io::Error::other("permission denied"))),
    }];
    assert_eq!(
        join_lines(&parse_files(&unreadable).unwrap_err()),
        "a.toml: permission denied"
    );
}

/// Guards against a list that mixes files of two generations.
#[test]
fn several_files_are_accepted_only_complete_and_of_one_generation() {
    let second =
        "generation = 7\n[[server]]\nid = \"s-3\"\naddress = \"10.0.0.3:9000\"\ncell = 1\n# end\n";
    let weights = "generation = 7\n[weights]\ns-2 = 0.5\ns-3 = 4\n# end\n";
    let files = |second: &str, weights: &str| -> Vec<SourceFile> {
        vec![
            file("kita.toml", KITA),
            file("minami.toml", second),
            file("weights.toml", weights),
        ]
    };
    let endpoint_set = parse_files(&files(second, weights)).unwrap();
    let weight = |id: &str| endpoint_set.endpoints[id].weight;
    assert_eq!(
        (
            endpoint_set.endpoints.len(),
            weight("s-1"),
            weight("s-2"),
            weight("s-3")
        ),
        (3, 2.0, 0.5, 4.0)
    );
    let faulty = |second: &str, weights: &str| {
        join_lines(&parse_files(&files(second, weights)).unwrap_err())
    };
    assert_eq!(
        faulty(&second.replace('7', "8"), weights),
        "kita.toml:1: this file has generation 7, another has 8: all files must have the same one\n\
         weights.toml:1: this file has generation 7, another has 8: all files must have the same one"
    );
    assert_eq!(
        faulty(&second.replace("s-3", "s-1"), weights)
            .lines()
            .next()
            .unwrap(),
        "minami.toml:2: duplicate server 's-1', first defined at kita.toml:3"
    );
    assert_eq!(
        faulty(second, &weights.replace("s-3", "s-9")),
        "weights.toml:4: unknown server 's-9'"
    );
    assert_eq!(
        faulty(second, &weights.replace("s-2", "s-1")),
        "weights.toml:3: duplicate weight of 's-1', first stated at kita.toml:3"
    );
}

#[test]
fn an_update_plan_lists_all_changes() {
    let old = parse_one(KITA).unwrap();
    let more = "phase = \"leaving\"\n\n[[server]]\nid = \"s-3\"\naddress = \"10.0.0.3:9000\"\ncell = 0\nweight = 1\n# end\n";
    let new = KITA
        .replace("generation = 7", "generation = 8")
        .replace("weight = 2", "weight = 3")
        .replace("# end\n", more);
    let new = parse_one(&new).unwrap();
    let layout = ShardLayout {
        cells: 2,
        cells_per_shard: 1,
        shards: 4,
    };
    let plan = plan_update(&old, &new, &layout);
    assert_eq!(
        plan.to_string(),
        "add: s-3\ndrain: s-2\nweight of s-1: 2 to 3\ncell 0: 25 % of its turns go to other servers\nunchanged: 0\n"
    );
    assert!(
        matches!(
            decide_update(Some(&old), &new, &layout, DEFAULT_MAX_REMOVED_SHARE),
            UpdateDecision::Reject(_)
        ),
        "cell 1 has no active endpoint left"
    );
    assert!(plan_update(&old, &old, &layout).is_empty());
}

/// A disk that fills up, or that truncates or damages the bytes written.
#[derive(Default)]
struct Disk {
    slots: RefCell<BTreeMap<String, Vec<u8>>>,
    /// The failure of the next write; `None` if it succeeds.
    next_failure: Cell<Option<Failure>>,
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    Full,
    /// The write is truncated to this many thousandths, as on a disk that reports a sync that it has not done.
    Truncated(usize),
    /// A bit of the byte at this offset, modulo the length, is flipped.
    Damaged(usize),
}

impl SlotStorage for &Disk {
    fn read(&self, slot: &str) -> io::Result<Vec<u8>> {
        self.slots
            .borrow()
            .get(slot)
            .cloned()
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn replace(&mut self, slot: &str, bytes: &[u8]) -> io::Result<()> {
        let mut bytes = bytes.to_vec();
        match self.next_failure.take() {
            Some(Failure::Full) => return Err(io::Error::from(io::ErrorKind::StorageFull)),
            Some(Failure::Truncated(thousandths)) => {
                bytes.truncate(bytes.len() * thousandths / 1000);
            }
            Some(Failure::Damaged(at)) => {
                let at = at % bytes.len();
                bytes[at] ^= 1;
            }
            None => {}
        }
        self.slots.borrow_mut().insert(slot.into(), bytes);
        Ok(())
    }
}

fn listed(generation: u64) -> EndpointSet {
    let text = KITA.replace("generation = 7", &format!("generation = {generation}"));
    parse_one(&text.replace("weight = 2", &format!("weight = {}", generation % 9 + 1))).unwrap()
}

/// Guards against a start on a list that no writer intended, whatever the disk did to the last writes.
#[test]
fn the_newest_or_previous_snapshot_is_recovered_whatever_the_disk_does() {
    for seed in 0..2_000_u64 {
        let mut gen = Gen::from_size_and_seed(20, seed);
        let disk = Disk::default();
        let mut store = SnapshotStore::new(&disk);
        // The generations that were stored undamaged, the newest last.
        let mut intact: Vec<u64> = Vec::new();
        let count = 1 + u64::arbitrary(&mut gen) % 12;
        let mut damaged_before = false;
        for generation in 1..=count {
            // Two failures in a row may lose both slots; a single one must not.
            let fails = u8::arbitrary(&mut gen) % 3 == 0 && !damaged_before;
            let at = usize::arbitrary(&mut gen) % 1000;
            let failure = fails.then(|| {
                [Failure::Full, Failure::Truncated(at), Failure::Damaged(at)]
                    [usize::arbitrary(&mut gen) % 3]
            });
            disk.next_failure.set(failure);
            let damages = !matches!(failure, None | Some(Failure::Full));
            match store.save(&listed(generation), generation as f64) {
                Ok(()) => {
                    if !damages {
                        intact.push(generation);
                    }
                }
                Err(e) => assert_eq!(e.kind(), io::ErrorKind::StorageFull),
            }
            damaged_before = damages;
        }
        let recovery = SnapshotStore::new(&disk).recover();
        let found = recovery.snapshot;
        assert_eq!(
            found
                .as_ref()
                .map(|snapshot| snapshot.endpoint_set.generation),
            intact.last().copied(),
            "seed {seed}: {:?}",
            recovery.unusable_slots
        );
        if let Some(snapshot) = found {
            assert_eq!(
                (&snapshot.endpoint_set, snapshot.saved_at),
                (
                    &listed(snapshot.endpoint_set.generation),
                    snapshot.endpoint_set.generation as f64
                )
            );
        }
    }
}

#[test]
fn a_slot_that_is_cut_or_damaged_anywhere_is_never_used() {
    let bytes = encode(&listed(3), 5.0);
    let undamaged = Snapshot {
        endpoint_set: listed(3),
        saved_at: 5.0,
    };
    assert_eq!(decode(&bytes).unwrap(), undamaged);
    for at in 0..bytes.len() {
        assert!(decode(&bytes[..at]).is_err(), "cut at {at}");
        let mut damaged = bytes.clone();
        damaged[at] ^= 4;
        assert!(decode(&damaged).is_err(), "damaged at {at}");
    }
    let disk = Disk::default();
    disk.slots.borrow_mut().insert(
        SLOT_NAMES[0].into(),
        b"cairnroad-roster 2 00000000\n".to_vec(),
    );
    let recovery = SnapshotStore::new(&disk).recover();
    let unusable: Vec<String> = recovery
        .unusable_slots
        .iter()
        .map(|slot| slot.to_string())
        .collect();
    assert_eq!(
        (recovery.snapshot, unusable),
        (
            None,
            vec![
                "roster.a: unknown format or version: expected a header 'cairnroad-roster 1'"
                    .to_string()
            ]
        )
    );
}

/// Checks that any sequence of writes, partial writes and reads of three files applies only lists that some writer
/// intended.
#[test]
fn no_sequence_of_partial_writes_applies_a_list_that_no_writer_intended() {
    let intended = |generation: u64| -> Vec<SourceFile> {
        let text = |number: u64| {
            // The servers depend on the generation, so that a mix of generations equals no writer's list.
            let id = format!("s-{number}-{}", generation % 3);
            format!("generation = {generation}\n[[server]]\nid = \"{id}\"\naddress = \"10.0.{}.{number}:9000\"\ncell = {}\nweight = {}\n# end\n", generation % 3, number % 2, generation % 5 + 1)
        };
        (0..3)
            .map(|number| file(&format!("{number}.toml"), &text(number)))
            .collect()
    };
    let mut applied = 0;
    let mut rejected = 0;
    for seed in 0..400_u64 {
        let mut gen = Gen::from_size_and_seed(20, seed);
        let mut disk = intended(1);
        let mut in_force: Option<EndpointSet> = None;
        let mut newest = 1;
        for _ in 0..60 {
            match u8::arbitrary(&mut gen) % 6 {
                0 => newest += 1,
                // One file of the newest generation or of the one before it, as with two concurrent writers.
                1..=3 => {
                    let generation = if bool::arbitrary(&mut gen) {
                        newest
                    } else {
                        newest.max(2) - 1
                    };
                    let at = usize::arbitrary(&mut gen) % 3;
                    disk[at] = intended(generation)[at].clone();
                    // A third of the files are truncated.
                    if u8::arbitrary(&mut gen) % 3 == 0 {
                        let text = disk[at].text.clone().unwrap();
                        disk[at].text =
                            Ok(text[..usize::arbitrary(&mut gen) % text.len()].to_string());
                    }
                }
                4 => disk = intended(newest),
                _ => {}
            }
            match parse_files(&disk) {
                Ok(endpoint_set) => {
                    match decide_update(
                        in_force.as_ref(),
                        &endpoint_set,
                        &LAYOUT,
                        DEFAULT_MAX_REMOVED_SHARE,
                    ) {
                        UpdateDecision::Apply => {
                            let complete = parse_files(&intended(endpoint_set.generation)).unwrap();
                            assert_eq!(
                                endpoint_set, complete,
                                "seed {seed}: a list that no writer intended"
                            );
                            assert!(in_force
                                .as_ref()
                                .is_none_or(|old| old.generation < endpoint_set.generation));
                            in_force = Some(endpoint_set);
                            applied += 1;
                        }
                        UpdateDecision::Unchanged => {}
                        UpdateDecision::Reject(_) => rejected += 1,
                    }
                }
                Err(_) => rejected += 1,
            }
        }
    }
    assert!(
        applied > 1_000 && rejected > 1_000,
        "{applied} applied, {rejected} rejected"
    );
}
