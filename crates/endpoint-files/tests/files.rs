//! Files as operators and editors leave them, and disks as they fail.

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
        ("generation = 7\n", "", "kita.toml: 'generation' is missing: every file of a roster carries the same"),
        ("generation = 7", "generation = 0", "kita.toml:1: 'generation': 0 is no whole number above 0"),
        ("id = \"s-2\"", "id = \"s-1\"", "kita.toml:12: the server 's-1' is named twice: also in kita.toml:3"),
        ("10.0.0.2", "10.0.0.1", "kita.toml:12: the address 10.0.0.1:9000 of 's-2' is named twice: also in kita.toml:3"),
        ("10.0.0.2:9000", "stock-2", "kita.toml:12: 'address' of 's-2': 'stock-2' is no address and port"),
        ("weight = 2", "weight = -2", "kita.toml:3: 'weight': -2 is not from 0 to 1000"),
        ("weight = 2", "weight = nan", "kita.toml:3: 'weight': NaN is not from 0 to 1000"),
        ("weight = 2", "weight = inf", "kita.toml:3: 'weight': inf is not from 0 to 1000"),
        ("weight = 2", "weight = \"2\"", "kita.toml:3: 'weight': \"2\" is no number"),
        ("weight = 2", "wight = 2", "kita.toml:3: 'wight' is not known: id, address, cell, locality, kind, phase, weight, started, not_before, not_after are"),
        ("cell = 1", "cell = -1", "kita.toml:12: 'cell': -1 is no cell's number"),
        ("cell = 1\n", "", "kita.toml:12: 'cell' is missing: it tells which shards the server holds"),
        ("cell = 1", "cell = 1\nphase = \"gone\"", "kita.toml:12: 'phase': 'gone' is neither active nor leaving"),
        ("cell = 1", "cell = 1\nnot_before = 2026-12-02", "kita.toml:12: 'not_before': 2026-12-02 needs a date, a time and an offset, such as Z"),
        ("cell = 1", "cell = 1\nnot_before = 2026-12-02T00:00:00Z\nnot_after = 2026-12-01T00:00:00Z", "kita.toml:12: 'not_after' is not later than 'not_before'"),
        ("[[server]]", "[[servers]]", "kita.toml:3: unknown field `servers`, expected one of `generation`, `allow_shrink`, `server`, `weights`"),
    ];
    for (from, to, words) in cases {
        assert_eq!(faults_after_edit(from, to), words);
    }
    assert!(faults_after_edit("cell = 1\n", "cell = 1\n[[ser")
        .starts_with("kita.toml:16: this is no TOML, or half-written: "));
    assert_eq!(
        faults_after_edit("# end\n", ""),
        "kita.toml:15: the last line must be '# end': a file without it may be half-written"
    );
    assert_eq!(
        parse_one("").unwrap_err(),
        "kita.toml: the file is empty: it may be half-written"
    );
    assert_eq!(
        join_lines(&parse_files(&[]).unwrap_err()),
        "there is no roster file (*.toml)"
    );
    let large = vec![file("a.toml", &"#".repeat(9_000_000))];
    assert_eq!(
        join_lines(&parse_files(&large).unwrap_err()),
        "the files have 9000000 bytes together: 8388608 at most"
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

/// Guards against a list that is half of one generation and half of another.
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
        "kita.toml:1: this file is of generation 7, another of 8: write all of them\n\
         weights.toml:1: this file is of generation 7, another of 8: write all of them"
    );
    assert_eq!(
        faulty(&second.replace("s-3", "s-1"), weights)
            .lines()
            .next()
            .unwrap(),
        "minami.toml:2: the server 's-1' is named twice: also in kita.toml:3"
    );
    assert_eq!(
        faulty(second, &weights.replace("s-3", "s-9")),
        "weights.toml:4: there is no server 's-9'"
    );
    assert_eq!(
        faulty(second, &weights.replace("s-2", "s-1")),
        "weights.toml:3: the weight of 's-1' stands in kita.toml:3, too"
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
        "cell 1 is left bare"
    );
    assert!(plan_update(&old, &old, &layout).is_empty());
}

/// A disk that fails: fills up, tears what is written, or damages it.
#[derive(Default)]
struct Disk {
    slots: RefCell<BTreeMap<String, Vec<u8>>>,
    /// What becomes of the next write.
    next_failure: Cell<Option<Failure>>,
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    Full,
    /// The write is cut at so many thousandths, as on a disk that lies about what it has synced.
    Torn(usize),
    /// A bit turns.
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
            Some(Failure::Torn(part)) => bytes.truncate(bytes.len() * part / 1000),
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

/// Guards against a start on a list that nobody meant, whatever the disk did to the last writes.
#[test]
fn the_newest_or_previous_snapshot_is_recovered_whatever_the_disk_does() {
    for seed in 0..2_000_u64 {
        let mut gen = Gen::from_size_and_seed(20, seed);
        let disk = Disk::default();
        let mut store = SnapshotStore::new(&disk);
        // What was stored and not damaged since, the newest last.
        let mut good: Vec<u64> = Vec::new();
        let count = 1 + u64::arbitrary(&mut gen) % 12;
        let mut damaged_before = false;
        for generation in 1..=count {
            // Two failures in a row may cost both slots; one never may.
            let fails = u8::arbitrary(&mut gen) % 3 == 0 && !damaged_before;
            let at = usize::arbitrary(&mut gen) % 1000;
            let failure = fails.then(|| {
                [Failure::Full, Failure::Torn(at), Failure::Damaged(at)]
                    [usize::arbitrary(&mut gen) % 3]
            });
            disk.next_failure.set(failure);
            let damages = !matches!(failure, None | Some(Failure::Full));
            match store.save(&listed(generation), generation as f64) {
                Ok(()) => {
                    if !damages {
                        good.push(generation);
                    }
                }
                Err(e) => assert_eq!(e.kind(), io::ErrorKind::StorageFull),
            }
            damaged_before = damages;
        }
        let recovery = SnapshotStore::new(&disk).recover();
        let found = recovery.snapshot;
        assert_eq!(
            found.as_ref().map(|kept| kept.endpoint_set.generation),
            good.last().copied(),
            "seed {seed}: {:?}",
            recovery.unusable_slots
        );
        if let Some(kept) = found {
            assert_eq!(
                (&kept.endpoint_set, kept.saved_at),
                (
                    &listed(kept.endpoint_set.generation),
                    kept.endpoint_set.generation as f64
                )
            );
        }
    }
}

#[test]
fn a_slot_that_is_cut_or_damaged_anywhere_is_never_used() {
    let bytes = encode(&listed(3), 5.0);
    let whole = Snapshot {
        endpoint_set: listed(3),
        saved_at: 5.0,
    };
    assert_eq!(decode(&bytes).unwrap(), whole);
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
            vec!["roster.a: it is of another form or version".to_string()]
        )
    );
}

/// Any sequence of writes, partial writes and reads of three files leads only to lists that some writer meant.
#[test]
fn no_sequence_of_partial_writes_applies_a_list_that_no_writer_meant() {
    let meant = |generation: u64| -> Vec<SourceFile> {
        let text = |number: u64| {
            // Which servers there are depends on the generation, so that a mix is no writer's list.
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
        let mut disk = meant(1);
        let mut in_force: Option<EndpointSet> = None;
        let mut newest = 1;
        for _ in 0..60 {
            match u8::arbitrary(&mut gen) % 6 {
                0 => newest += 1,
                // One file of the newest, or of the one before it: two writers at work.
                1..=3 => {
                    let generation = if bool::arbitrary(&mut gen) {
                        newest
                    } else {
                        newest.max(2) - 1
                    };
                    let at = usize::arbitrary(&mut gen) % 3;
                    disk[at] = meant(generation)[at].clone();
                    // Cut in the middle, now and then.
                    if u8::arbitrary(&mut gen) % 3 == 0 {
                        let text = disk[at].text.clone().unwrap();
                        disk[at].text =
                            Ok(text[..usize::arbitrary(&mut gen) % text.len()].to_string());
                    }
                }
                4 => disk = meant(newest),
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
                            let whole = parse_files(&meant(endpoint_set.generation)).unwrap();
                            assert_eq!(
                                endpoint_set, whole,
                                "seed {seed}: a list that nobody meant"
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
