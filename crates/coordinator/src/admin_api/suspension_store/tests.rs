use super::*;

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("cairnroad-shelf-{name}-{}", std::process::id()));
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
    let ban = |since_us| Suspension {
        since_us,
        back_us: None,
    };
    old.keep("s-1", ban(1));
    new.keep("s/2", ban(2));
    let both = BTreeMap::from([("s-1".to_string(), ban(1)), ("s/2".to_string(), ban(2))]);
    assert_eq!((old.look(), new.look()), (Some(both.clone()), Some(both)));
    new.drop("s-1");
    assert_eq!(
        old.look().map(|all| all.into_keys().collect()),
        Some(vec!["s/2".to_string()])
    );
    // What is half written, or nobody's, costs nothing.
    std::fs::write(folder.join("cairnroad-n1/s-3.ban"), "[\"s-").unwrap();
    std::fs::write(folder.join("cairnroad-n1/s-4.17"), "x").unwrap();
    assert_eq!(old.look().map(|all| all.len()), Some(1));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a ban that the next look lifts because it could not be written.
#[test]
fn a_ban_that_cannot_be_kept_holds_here_and_is_kept_later() {
    let folder = folder("full");
    let mut shelf = SuspensionStore::new(Some(&folder), "n1");
    let own = folder.join("cairnroad-n1");
    std::fs::remove_dir_all(&own).unwrap();
    shelf.keep(
        "s-1",
        Suspension {
            since_us: 1,
            back_us: None,
        },
    );
    assert_eq!(
        shelf.look(),
        None,
        "nothing is taken off while the folder can't be read"
    );
    std::fs::create_dir_all(&own).unwrap();
    assert_eq!(shelf.look().map(|all| all.len()), Some(1));
    assert!(own.join("s-1.ban").exists());
    std::fs::remove_dir_all(folder).unwrap();
}
