use super::*;

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("cairnroad-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn two_processes_see_each_others_bans_and_undo_none() {
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
    // What is half written, or nobody's, costs nothing.
    std::fs::write(folder.join("cairnroad-n1/s-3.ban"), "[\"s-").unwrap();
    std::fs::write(folder.join("cairnroad-n1/s-4.17"), "x").unwrap();
    assert_eq!(old.load_all().map(|all| all.len()), Some(1));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a suspension that the next look lifts because it could not be written.
#[test]
fn a_ban_that_cannot_be_kept_holds_here_and_is_kept_later() {
    let folder = folder("full");
    let mut store = SuspensionStore::new(Some(&folder), "n1");
    let own = folder.join("cairnroad-n1");
    std::fs::remove_dir_all(&own).unwrap();
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
        "nothing is taken off while the folder can't be read"
    );
    std::fs::create_dir_all(&own).unwrap();
    assert_eq!(store.load_all().map(|all| all.len()), Some(1));
    assert!(own.join("s-1.ban").exists());
    std::fs::remove_dir_all(folder).unwrap();
}
