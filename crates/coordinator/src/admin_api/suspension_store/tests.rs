use super::SuspensionStore;
use cairnroad_admin::suspensions::{Suspension, Suspensions};
use cairnroad_types::{ServerState, Time};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("cairnroad-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn two_processes_see_each_others_suspensions_and_undo_none() {
    let folder = folder("two");
    let (mut old, mut new) = (
        SuspensionStore::new(Some(&folder), "n1"),
        SuspensionStore::new(Some(&folder), "n1"),
    );
    let suspension = |suspended_at_us| Suspension {
        suspended_at_us,
        resumed_at_us: None,
    };
    old.save("s-1", suspension(1));
    new.save("s/2", suspension(2));
    let both = BTreeMap::from([
        ("s-1".to_string(), suspension(1)),
        ("s/2".to_string(), suspension(2)),
    ]);
    assert_eq!(
        (old.load_all(), new.load_all()),
        (Some(both.clone()), Some(both))
    );
    new.remove("s-1");
    assert_eq!(
        old.load_all().map(|all| all.into_keys().collect()),
        Some(vec!["s/2".to_string()])
    );
    // A partial file and an unrelated one are ignored.
    std::fs::write(folder.join("cairnroad-n1/s-3.ban"), "[\"s-").unwrap();
    std::fs::write(folder.join("cairnroad-n1/s-4.17"), "x").unwrap();
    assert_eq!(old.load_all().map(|all| all.len()), Some(1));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a suspension that the next load lifts because it could not be written.
#[test]
fn a_suspension_that_cannot_be_saved_holds_in_this_process_and_is_saved_later() {
    let folder = folder("full");
    let mut store = SuspensionStore::new(Some(&folder), "n1");
    let store_folder = folder.join("cairnroad-n1");
    std::fs::remove_dir_all(&store_folder).unwrap();
    store.save(
        "s-1",
        Suspension {
            suspended_at_us: 1,
            resumed_at_us: None,
        },
    );
    assert_eq!(
        store.load_all(),
        None,
        "no suspension is removed while the folder can't be read"
    );
    std::fs::create_dir_all(&store_folder).unwrap();
    assert_eq!(store.load_all().map(|all| all.len()), Some(1));
    assert!(store_folder.join("s-1.ban").exists());
    std::fs::remove_dir_all(folder).unwrap();
}

/// Files written by release 0.1.0, whose fields and types had other names: `s-1` and `s/2 x` are suspended, `s-3` was
/// suspended and resumed. Loading does not read the clock, so the files never expire.
const FILES_OF_RELEASE_0_1_0: [&str; 3] = ["s-1.ban", "s%2f2%20x.ban", "s-3.ban"];

fn fixture(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/admin_api/suspension_store/fixtures")
        .join(file)
}

fn suspensions_of_release_0_1_0() -> BTreeMap<String, Suspension> {
    let suspension = |suspended_at_us, resumed_at_us| Suspension {
        suspended_at_us,
        resumed_at_us,
    };
    BTreeMap::from([
        ("s-1".into(), suspension(1_796_237_463_432_645, None)),
        ("s/2 x".into(), suspension(1_796_237_463_437_707, None)),
        (
            "s-3".into(),
            suspension(1_796_237_463_442_400, Some(1_796_237_463_447_966)),
        ),
    ])
}

/// Guards against an upgrade that loses or misreads the suspensions in force.
#[test]
fn suspensions_written_by_release_0_1_0_are_loaded_and_in_force() {
    let folder = folder("release-0-1-0");
    let mut store = SuspensionStore::new(Some(&folder), "n1");
    for file in FILES_OF_RELEASE_0_1_0 {
        std::fs::copy(fixture(file), folder.join("cairnroad-n1").join(file)).unwrap();
    }
    let loaded = store.load_all().unwrap();
    assert_eq!(loaded, suspensions_of_release_0_1_0());

    let mut suspensions = Suspensions::default();
    assert_eq!(suspensions.synchronize(&loaded), ["s-1", "s-3", "s/2 x"]);
    let state = |id| suspensions.effective_state(id, ServerState::Ready, None);
    assert_eq!(state("s-1"), (ServerState::Draining, None));
    assert_eq!(state("s/2 x"), (ServerState::Draining, None));
    let resumed_at = Time(1_796_237_463_447_966);
    assert_eq!(state("s-3"), (ServerState::Ready, Some(resumed_at)));

    store.remove("s/2 x");
    let removed = folder.join("cairnroad-n1/s%2f2%20x.ban");
    assert!(!removed.exists(), "the file is found by the node's id");
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against files that a concurrent process of release 0.1.0 can't read.
#[test]
fn suspensions_are_saved_byte_for_byte_as_by_release_0_1_0() {
    let folder = folder("as-release-0-1-0");
    let mut store = SuspensionStore::new(Some(&folder), "n1");
    for (id, suspension) in suspensions_of_release_0_1_0() {
        store.save(&id, suspension);
    }
    for file in FILES_OF_RELEASE_0_1_0 {
        let saved = std::fs::read(folder.join("cairnroad-n1").join(file)).unwrap();
        assert_eq!(saved, std::fs::read(fixture(file)).unwrap(), "{file}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}
