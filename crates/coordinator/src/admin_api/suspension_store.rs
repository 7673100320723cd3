//! Where suspensions on data nodes are kept: a folder that all processes of one coordinator share, a file each, so that two
//! processes never undo each other's changes. A file is written aside and renamed; half a file is never read.

use cairnroad_admin::suspensions::{Suspension, MAX_SUSPENSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The ending of a suspension's file. Others, such as one half written, are passed over.
const EXTENSION: &str = "ban";
/// The longest file that is read, in bytes: a suspension takes some 60.
const MAX_FILE_BYTES: u64 = 4096;

/// The folder, if there is one, and what could not be written there yet.
#[derive(Default)]
pub struct SuspensionStore {
    folder: Option<PathBuf>,
    unsaved: BTreeMap<String, Suspension>,
    fault_logged: bool,
}

impl SuspensionStore {
    /// The store of the coordinator of this name below the folder for shared_folder files.
    pub fn new(shared_folder: Option<&Path>, name: &str) -> SuspensionStore {
        let folder = shared_folder
            .map(|shared_folder| shared_folder.join(format!("cairnroad-{}", escape(name))));
        let made = folder.as_ref().map_or(Ok(()), std::fs::create_dir_all);
        if let (Err(cause), Some(folder)) = (made, &folder) {
            tracing::error!(folder = %folder.display(), %cause, "suspensions can't be kept");
        }
        SuspensionStore {
            folder,
            ..SuspensionStore::default()
        }
    }

    /// Keeps a suspension, or how it ended. Where that fails it is tried again at the next look.
    pub fn save(&mut self, id: &str, suspension: Suspension) {
        let Some(folder) = &self.folder else { return };
        let path = folder.join(format!("{}.{EXTENSION}", escape(id)));
        let aside = folder.join(format!("{}.{}", escape(id), std::process::id()));
        let text = serde_json::to_vec(&(id, suspension)).unwrap_or_default();
        let written = std::fs::write(&aside, text).and_then(|()| std::fs::rename(&aside, path));
        match written {
            Ok(()) => {
                self.unsaved.remove(id);
            }
            Err(cause) => {
                let _ = std::fs::remove_file(aside);
                if !std::mem::replace(&mut self.fault_logged, true) {
                    tracing::error!(%cause, server = id, "a suspension holds in this process only");
                }
                self.unsaved.insert(id.into(), suspension);
            }
        }
    }

    /// Takes a suspension off that is over.
    pub fn remove(&mut self, id: &str) {
        self.unsaved.remove(id);
        if let Some(folder) = &self.folder {
            let _ = std::fs::remove_file(folder.join(format!("{}.{EXTENSION}", escape(id))));
        }
    }

    /// All that is kept; `None` where there is no folder, or it can't be read.
    pub fn load_all(&mut self) -> Option<BTreeMap<String, Suspension>> {
        for (id, suspension) in self.unsaved.clone() {
            self.save(&id, suspension);
        }
        let mut all = self.unsaved.clone();
        let files = std::fs::read_dir(self.folder.as_ref()?).ok()?;
        let paths: BTreeSet<PathBuf> = files.flatten().map(|file| file.path()).collect();
        let suspensions = paths
            .iter()
            .filter(|path| path.extension().is_some_and(|ending| ending == EXTENSION));
        for path in suspensions.take(MAX_SUSPENSIONS) {
            match read(path) {
                Ok((id, suspension)) => {
                    all.entry(id).or_insert(suspension);
                }
                // Taken off by another process between the two reads.
                Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => {}
                Err(cause) => {
                    if !std::mem::replace(&mut self.fault_logged, true) {
                        tracing::error!(file = %path.display(), %cause, "a suspension can't be read");
                    }
                }
            }
        }
        Some(all)
    }
}

fn read(path: &Path) -> std::io::Result<(String, Suspension)> {
    use std::io::Read;
    let mut text = Vec::new();
    std::fs::File::open(path)?
        .take(MAX_FILE_BYTES)
        .read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}

/// A file's name for an id: what is plain stays, so that people can read it.
fn escape(id: &str) -> String {
    let mut name = String::with_capacity(id.len());
    for byte in id.bytes() {
        if byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_' {
            name.push(char::from(byte));
        } else {
            name.push_str(&format!("%{byte:02x}"));
        }
    }
    // The longest id that a call may name fits a file name in all but odd cases; those are told apart by their sum.
    if name.len() > 200 {
        let sum = crc32fast::hash(id.as_bytes());
        name.truncate(180);
        name.push_str(&format!("~{sum:08x}"));
    }
    name
}

#[cfg(test)]
mod tests;
