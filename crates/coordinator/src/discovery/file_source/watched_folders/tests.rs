use super::*;
use std::os::unix::fs::symlink;

/// Guards against links whose change is found by the regular rescan alone: the path, a folder on the way, a chain of
/// links, and files of a folder of lists.
#[test]
fn the_folder_of_every_link_and_of_every_file_is_watched() {
    let name = format!("cairnroad-watched-folders-{}", std::process::id());
    let root = std::env::temp_dir().canonicalize().unwrap().join(name);
    for folder in ["config", "versions/1", "lists", "elsewhere"] {
        std::fs::create_dir_all(root.join(folder)).unwrap();
    }
    std::fs::write(root.join("versions/1/servers.toml"), "").unwrap();
    std::fs::write(root.join("elsewhere/more.toml"), "").unwrap();
    symlink("../versions/1", root.join("config/current")).unwrap();
    symlink("./current/servers.toml", root.join("config/servers.toml")).unwrap();
    symlink(root.join("elsewhere/more.toml"), root.join("lists/a.toml")).unwrap();
    symlink("lists", root.join("linked")).unwrap();
    symlink("loop.toml", root.join("loop.toml")).unwrap();
    let watched = |path: &str| -> Vec<String> {
        let folders = watched_folders(&root.join(path)).into_iter();
        let relative = |folder: PathBuf| folder.strip_prefix(&root).unwrap().display().to_string();
        folders.map(relative).collect()
    };
    assert_eq!(watched("versions/1/servers.toml"), ["versions/1"]);
    assert_eq!(watched("config/servers.toml"), ["config", "versions/1"]);
    assert_eq!(watched("lists"), ["elsewhere", "lists"]);
    assert_eq!(watched("linked"), ["", "elsewhere", "lists"]);
    assert_eq!(watched("missing/servers.toml"), ["missing"]);
    assert_eq!(watched("loop.toml"), [""]);
    std::fs::remove_dir_all(&root).unwrap();
}
