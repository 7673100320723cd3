//! Stores the suspensions of data nodes in a folder that all processes of one coordinator share. Each node has a file
//! of its own, so that two processes never undo each other's changes.
//!
//! A file holds `["ID",{"since_us":MICROSECONDS,"back_us":MICROSECONDS or null}]`. It is written under a temporary name
//! and renamed, so that a partial file is never read.

use cairnroad_admin::suspensions::{Suspension, MAX_SUSPENSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Extension of a suspension's file, the same in all releases. Files with another extension, such as temporary ones,
/// are ignored.
const EXTENSION: &str = "ban";
/// Maximum size of a file in bytes; a suspension takes some 60 bytes.
const MAX_FILE_BYTES: u64 = 4096;
/// Maximum length of a file's name without its extension, in bytes.
const MAX_FILE_NAME_BYTES: usize = 200;
/// Length to which a longer name is truncated before its checksum is appended, in bytes.
const TRUNCATED_FILE_NAME_BYTES: usize = 180;

/// The reason why the store, or a file in it, can't be used.
#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error("failed to create the folder: {0}")]
    CreateFolder(#[source] io::Error),
    #[error("failed to write the file: {0}")]
    Write(#[source] io::Error),
    #[error("failed to read the file: {0}")]
    Read(#[source] io::Error),
    #[error("file does not hold a suspension: {0}")]
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
    /// The folder; `None` if none is shared, in which case suspensions last as long as the process.
    folder: Option<PathBuf>,
    /// Suspensions that could not be written yet.
    unsaved: BTreeMap<String, Suspension>,
    /// Whether a fault was logged. Later ones are not, since the store is read many times a second.
    fault_logged: bool,
}

impl SuspensionStore {
    /// Opens the store of the coordinator with this name, in a subfolder of a folder that all its processes share.
    pub fn new(shared_folder: Option<&Path>, coordinator: &str) -> SuspensionStore {
        let folder = shared_folder.map(|shared| coordinator_folder(shared, coordinator));
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

    /// Saves a suspension, or its end. If that fails, the next [`Self::load_all`] retries.
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

    /// Returns all suspensions by node id; `None` if there is no folder or it can't be read.
    pub fn load_all(&mut self) -> Option<BTreeMap<String, Suspension>> {
        self.retry_unsaved();
        let mut suspensions = self.unsaved.clone();
        let paths = suspension_paths(self.folder.as_ref()?).ok()?;
        for path in paths.iter().take(MAX_SUSPENSIONS) {
            match read_file(path) {
                Ok((id, suspension)) => {
                    suspensions.entry(id).or_insert(suspension);
                }
                // Another process removed the file after the folder was listed.
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

/// Returns the paths of all suspensions in a folder, sorted by name.
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

/// Writes a suspension to a temporary file, whose name is unique to this process, and renames the file.
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

/// Returns the folder of the coordinator with this name within a folder that all its processes share.
pub fn coordinator_folder(shared: &Path, coordinator: &str) -> PathBuf {
    shared.join(format!("cairnroad-{}", file_name(coordinator)))
}

/// Returns the file name for an id, without the extension. Plain characters stay as they are, so that people can read
/// the name.
fn file_name(id: &str) -> String {
    let mut name = String::with_capacity(id.len());
    for byte in id.bytes() {
        if byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_' {
            name.push(char::from(byte));
        } else {
            name.push_str(&format!("%{byte:02x}"));
        }
    }
    // The longest id of a request fits unless it is mostly escaped; a checksum then keeps truncated names distinct.
    if name.len() > MAX_FILE_NAME_BYTES {
        let checksum = crc32fast::hash(id.as_bytes());
        name.truncate(TRUNCATED_FILE_NAME_BYTES);
        name.push_str(&format!("~{checksum:08x}"));
    }
    name
}

#[cfg(test)]
mod tests;
