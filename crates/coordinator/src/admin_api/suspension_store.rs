//! The stored suspensions of data nodes: a folder that all processes of one coordinator share, with one file a node,
//! so that two processes never undo each other's changes.
//!
//! A file holds `["ID",{"since_us":MICROSECONDS,"back_us":MICROSECONDS or null}]`. It is written aside and renamed, so
//! a partial file is never read.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_admin::suspensions::{Suspension, MAX_SUSPENSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// The extension of a suspension's file, as all releases write it. Others, such as files being written, are ignored.
const EXTENSION: &str = "ban";
/// Upper limit of a file's size in bytes; a suspension takes some 60.
const MAX_FILE_BYTES: u64 = 4096;
/// Upper limit of a file's name without its extension, in bytes.
const MAX_FILE_NAME_BYTES: usize = 200;
/// How much of a longer name is kept before its checksum.
const KEPT_FILE_NAME_BYTES: usize = 180;

/// Why the store, or a file in it, can't be used.
#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error("the folder can't be created: {0}")]
    CreateFolder(#[source] io::Error),
    #[error("the file can't be written: {0}")]
    Write(#[source] io::Error),
    #[error("the file can't be read: {0}")]
    Read(#[source] io::Error),
    #[error("the file is not a suspension: {0}")]
    Decode(#[source] serde_json::Error),
}

impl StoreError {
    fn help(&self) -> &'static str {
        match self {
            StoreError::CreateFolder(_) => {
                "create it, or restart with a TMPDIR that can be written"
            }
            StoreError::Write(_) => "check free space and permissions; writing is retried",
            StoreError::Read(_) => "check the permissions of the file",
            StoreError::Decode(_) => "suspend or resume the node again, which rewrites its file",
        }
    }
}

/// The suspensions of one coordinator on disk.
#[derive(Default)]
pub struct SuspensionStore {
    /// `None` where no folder is shared: suspensions then last as long as the process.
    folder: Option<PathBuf>,
    /// Suspensions that could not be written yet.
    unsaved: BTreeMap<String, Suspension>,
    /// Whether a fault of a file was logged: the store is read many times a second.
    fault_logged: bool,
}

impl SuspensionStore {
    /// Opens the store of the coordinator of this name below a folder that all its processes share.
    pub fn new(shared_folder: Option<&Path>, coordinator: &str) -> SuspensionStore {
        let folder = shared_folder
            .map(|shared| shared.join(format!("cairnroad-{}", file_name(coordinator))));
        if let Some(folder) = &folder {
            if let Err(error) = fs::create_dir_all(folder).map_err(StoreError::CreateFolder) {
                tracing::error!(folder = %folder.display(), %error, help = error.help(), "suspension store unavailable");
            }
        }
        SuspensionStore {
            folder,
            ..SuspensionStore::default()
        }
    }

    /// Saves a suspension, or its end. If that fails, the next [`Self::load_all`] tries again.
    pub fn save(&mut self, id: &str, suspension: Suspension) {
        let Some(folder) = &self.folder else { return };
        match write_file(folder, id, suspension) {
            Ok(()) => {
                self.unsaved.remove(id);
            }
            Err(error) => {
                if self.is_first_fault() {
                    tracing::error!(%error, help = error.help(), server = id, "suspension not saved");
                }
                self.unsaved.insert(id.into(), suspension);
            }
        }
    }

    /// Removes a suspension that has expired.
    pub fn remove(&mut self, id: &str) {
        self.unsaved.remove(id);
        if let Some(folder) = &self.folder {
            let _ = fs::remove_file(suspension_path(folder, id));
        }
    }

    /// Returns all suspensions by node; `None` where there is no folder, or it can't be read.
    pub fn load_all(&mut self) -> Option<BTreeMap<String, Suspension>> {
        self.retry_unsaved();
        let mut suspensions = self.unsaved.clone();
        let paths = suspension_paths(self.folder.as_ref()?).ok()?;
        for path in paths.iter().take(MAX_SUSPENSIONS) {
            match read_file(path) {
                Ok((id, suspension)) => {
                    suspensions.entry(id).or_insert(suspension);
                }
                // Another process removed it since the folder was listed.
                Err(StoreError::Read(cause)) if cause.kind() == io::ErrorKind::NotFound => {}
                Err(error) => {
                    if self.is_first_fault() {
                        tracing::error!(file = %path.display(), %error, help = error.help(), "suspension not readable");
                    }
                }
            }
        }
        Some(suspensions)
    }

    fn retry_unsaved(&mut self) {
        for (id, suspension) in self.unsaved.clone() {
            self.save(&id, suspension);
        }
    }

    fn is_first_fault(&mut self) -> bool {
        !std::mem::replace(&mut self.fault_logged, true)
    }
}

/// Returns the paths of all suspensions in a folder, in order of their names.
fn suspension_paths(folder: &Path) -> io::Result<BTreeSet<PathBuf>> {
    let paths = fs::read_dir(folder)?.flatten().map(|file| file.path());
    let is_suspension = |path: &PathBuf| {
        path.extension()
            .is_some_and(|extension| extension == EXTENSION)
    };
    Ok(paths.filter(is_suspension).collect())
}

fn suspension_path(folder: &Path, id: &str) -> PathBuf {
    folder.join(format!("{}.{EXTENSION}", file_name(id)))
}

/// Writes aside, under a name of this process's own, and renames.
fn write_file(folder: &Path, id: &str, suspension: Suspension) -> Result<(), StoreError> {
    let temporary = folder.join(format!("{}.{}", file_name(id), std::process::id()));
    let text = serde_json::to_vec(&(id, suspension)).unwrap_or_default();
    let written = fs::write(&temporary, text)
        .and_then(|()| fs::rename(&temporary, suspension_path(folder, id)));
    written.map_err(|cause| {
        let _ = fs::remove_file(&temporary);
        StoreError::Write(cause)
    })
}

fn read_file(path: &Path) -> Result<(String, Suspension), StoreError> {
    let mut text = Vec::new();
    File::open(path)
        .and_then(|file| file.take(MAX_FILE_BYTES).read_to_end(&mut text))
        .map_err(StoreError::Read)?;
    serde_json::from_slice(&text).map_err(StoreError::Decode)
}

/// Returns the file name for an id. Plain characters stay, so that people can read it.
fn file_name(id: &str) -> String {
    let mut name = String::with_capacity(id.len());
    for byte in id.bytes() {
        if byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_' {
            name.push(char::from(byte));
        } else {
            name.push_str(&format!("%{byte:02x}"));
        }
    }
    // The longest id a request may name fits a file name unless it is mostly escaped; a checksum tells those apart.
    if name.len() > MAX_FILE_NAME_BYTES {
        let checksum = crc32fast::hash(id.as_bytes());
        name.truncate(KEPT_FILE_NAME_BYTES);
        name.push_str(&format!("~{checksum:08x}"));
    }
    name
}

#[cfg(test)]
mod tests;
