//! The folders in which a change of the endpoint files shows: those that hold the files, and those that hold a symbolic link
//! on the way to them.

use std::collections::{BTreeSet, VecDeque};
use std::ffi::OsString;
use std::path::{Component, Path, PathBuf};

/// Maximum number of links that are followed for one path. A path with more is a loop, as for the system.
const MAX_LINKS: usize = 40;
/// Extension of the files in a folder of lists.
const FILE_EXTENSION: &str = "toml";

/// Returns the folders in which a change of the list at `path` shows. `path` names a file or a folder of files; it, each of
/// these files, and each folder on the way may be a symbolic link.
pub(super) fn watched_folders(path: &Path) -> BTreeSet<PathBuf> {
    let mut folders = BTreeSet::new();
    let resolved = follow_links(path, &mut folders);
    if !resolved.is_dir() {
        folders.extend(resolved.parent().map(Path::to_path_buf));
        return folders;
    }
    let files = resolved.read_dir().into_iter().flatten().flatten();
    for file in files.map(|entry| entry.path()) {
        let is_list = file
            .extension()
            .is_some_and(|found| found == FILE_EXTENSION);
        if is_list && file.is_symlink() {
            let target = follow_links(&file, &mut folders);
            folders.extend(target.parent().map(Path::to_path_buf));
        }
    }
    folders.insert(resolved);
    folders
}

/// Returns the path without symbolic links, and adds the folder of each link to `folders`. Links beyond [`MAX_LINKS`] are not
/// followed.
fn follow_links(path: &Path, folders: &mut BTreeSet<PathBuf>) -> PathBuf {
    let path = std::path::absolute(path).unwrap_or_else(|_| path.to_path_buf());
    let mut resolved = PathBuf::new();
    let mut rest: VecDeque<OsString> = components(&path).collect();
    let mut links = 0;
    while let Some(component) = rest.pop_front() {
        if component == Component::ParentDir.as_os_str() {
            resolved.pop();
            continue;
        }
        let next = resolved.join(&component);
        let target = next.read_link().ok().filter(|_| links < MAX_LINKS);
        let Some(target) = target else {
            resolved = next;
            continue;
        };
        links += 1;
        folders.insert(resolved.clone());
        // An absolute target begins with the root, which replaces what has been resolved.
        for component in components(&target).rev() {
            rest.push_front(component);
        }
    }
    resolved
}

/// Returns the components of a path, without those that name the folder itself.
fn components(path: &Path) -> impl DoubleEndedIterator<Item = OsString> + '_ {
    let named = path
        .components()
        .filter(|component| *component != Component::CurDir);
    named.map(|component| component.as_os_str().to_owned())
}

#[cfg(test)]
mod tests;
