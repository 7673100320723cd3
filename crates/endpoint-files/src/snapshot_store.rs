//! Stores the last accepted endpoint set on disk, for a start at which the files are unusable.
//!
//! Two slots are written in turn, each completely or not at all, so that the newest set or the one before it survives
//! whenever the process is killed.
//!
//! A slot holds a line `cairnroad-roster 1 CRC32`, a line `# saved UNIX_SECONDS`, and the set as one endpoint file. The
//! checksum, eight hexadecimal digits, covers everything after its line.

use crate::endpoint_set::EndpointSet;
use crate::fault::{join_lines, Fault};
use crate::file_format::MAX_BYTES;
use crate::parse::{parse_files, SourceFile};
use crate::render::to_toml;
use crate::timestamp::UnixSeconds;
use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The names of the two slots.
pub const SLOT_NAMES: [&str; 2] = ["roster.a", "roster.b"];
/// Name and version of the format, at the start of each slot.
const HEADER: &str = "cairnroad-roster 1";
/// Maximum size of a slot in bytes, twice that of a set's source files.
const MAX_SLOT_BYTES: u64 = 2 * MAX_BYTES as u64;
const SAVED_AT_PREFIX: &str = "# saved ";
/// File name of a slot's content in faults, which follows the slot's own name.
const CONTENT_NAME: &str = "it";

/// The storage of slots.
pub trait SlotStorage {
    /// Returns a slot's bytes; the error is [`io::ErrorKind::NotFound`] if the slot was never written.
    fn read(&self, slot: &str) -> io::Result<Vec<u8>>;
    /// Replaces a slot completely or not at all.
    fn replace(&mut self, slot: &str, bytes: &[u8]) -> io::Result<()>;
}

/// A folder that stores each slot as a file.
#[derive(Clone, Debug)]
pub struct StateDirectory(pub PathBuf);

impl SlotStorage for StateDirectory {
    fn read(&self, slot: &str) -> io::Result<Vec<u8>> {
        let path = self.0.join(slot);
        let length = std::fs::metadata(&path)?.len();
        if length > MAX_SLOT_BYTES {
            let message =
                format!("file too large: {length} bytes, at most {MAX_SLOT_BYTES} are allowed");
            return Err(io::Error::other(message));
        }
        std::fs::read(path)
    }

    fn replace(&mut self, slot: &str, bytes: &[u8]) -> io::Result<()> {
        replace_file(&self.0.join(slot), bytes)
    }
}

/// Replaces a file completely or not at all: writes a temporary file beside it, syncs and renames that, and syncs the
/// folder.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let temporary = folder.join(format!(".{name}.{}.tmp", std::process::id()));
    let written = write_synced(&temporary, bytes);
    let renamed = written.and_then(|()| std::fs::rename(&temporary, path));
    if renamed.is_err() {
        let _ = std::fs::remove_file(&temporary);
        return renamed;
    }
    std::fs::File::open(folder)?.sync_all()
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = std::fs::File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// A stored endpoint set.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The endpoint set.
    pub endpoint_set: EndpointSet,
    /// When the set came into force.
    pub saved_at: UnixSeconds,
}

/// The reason why a slot can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The slot can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are not UTF-8.
    #[error("not UTF-8 text")]
    NotText(#[from] std::str::Utf8Error),
    /// There is no content after the header.
    #[error("truncated: no line after the header")]
    Truncated,
    /// The header is not that of this format and version.
    #[error("unknown format or version: expected a header '{HEADER}'")]
    UnknownFormat,
    /// The checksum differs from the content's.
    #[error("checksum mismatch: the slot is partially written or damaged")]
    ChecksumMismatch,
    /// The line with the time of the save is missing or invalid.
    #[error("expected '{SAVED_AT_PREFIX}UNIX_SECONDS' as the first line after the header")]
    MissingSavedAt,
    /// The content is not a valid endpoint file.
    #[error("{}", join_lines(.0))]
    InvalidContent(Vec<Fault>),
}

/// A slot whose content can't be used.
#[derive(Debug)]
pub struct UnusableSlot {
    /// The slot's name.
    pub slot: &'static str,
    /// The reason why the slot can't be used.
    pub cause: SnapshotError,
}

impl fmt::Display for UnusableSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.slot, self.cause)
    }
}

/// The result of reading all slots.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The newest usable set; `None` if no slot holds one.
    pub snapshot: Option<Snapshot>,
    /// The slots that were skipped.
    pub unusable_slots: Vec<UnusableSlot>,
}

/// Stores the last accepted set in one of two slots.
#[derive(Debug)]
pub struct SnapshotStore<S> {
    storage: S,
    /// Index of the slot that holds the newest set, which the next save must not overwrite.
    newest_slot: Option<usize>,
}

impl<S: SlotStorage> SnapshotStore<S> {
    /// Returns a store on existing storage. Call [`SnapshotStore::recover`] before the first save, so that the newest
    /// set is not overwritten.
    pub fn new(storage: S) -> SnapshotStore<S> {
        SnapshotStore {
            storage,
            newest_slot: None,
        }
    }

    /// Reads all slots and returns the newest usable set.
    pub fn recover(&mut self) -> Recovery {
        let mut recovery = Recovery::default();
        for (number, slot) in SLOT_NAMES.into_iter().enumerate() {
            let decoded = match self.storage.read(slot) {
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(error) => Err(error.into()),
                Ok(bytes) => decode(&bytes),
            };
            match decoded {
                Ok(snapshot) => {
                    let generation = snapshot.endpoint_set.generation;
                    let newest = recovery.snapshot.as_ref();
                    if newest.is_none_or(|newest| generation > newest.endpoint_set.generation) {
                        recovery.snapshot = Some(snapshot);
                        self.newest_slot = Some(number);
                    }
                }
                Err(cause) => recovery.unusable_slots.push(UnusableSlot { slot, cause }),
            }
        }
        recovery
    }

    /// Stores a set in the slot that does not hold the newest one.
    pub fn save(&mut self, endpoint_set: &EndpointSet, saved_at: UnixSeconds) -> io::Result<()> {
        let slot = self
            .newest_slot
            .map_or(0, |slot| (slot + 1) % SLOT_NAMES.len());
        self.storage
            .replace(SLOT_NAMES[slot], &encode(endpoint_set, saved_at))?;
        self.newest_slot = Some(slot);
        Ok(())
    }
}

/// Returns the bytes of a slot that holds a set.
pub fn encode(endpoint_set: &EndpointSet, saved_at: UnixSeconds) -> Vec<u8> {
    let body = format!("{SAVED_AT_PREFIX}{saved_at:.3}\n{}", to_toml(endpoint_set));
    let checksum = checksum_of(&body);
    format!("{HEADER} {checksum}\n{body}").into_bytes()
}

/// Parses the bytes of a slot, and checks their checksum.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let text = std::str::from_utf8(bytes)?;
    let (head, body) = text.split_once('\n').ok_or(SnapshotError::Truncated)?;
    let checksum = head
        .strip_prefix(HEADER)
        .ok_or(SnapshotError::UnknownFormat)?;
    if checksum.trim() != checksum_of(body) {
        return Err(SnapshotError::ChecksumMismatch);
    }
    let saved_at = parse_saved_at(body).ok_or(SnapshotError::MissingSavedAt)?;
    let content = SourceFile {
        name: CONTENT_NAME.into(),
        text: Ok(body.into()),
    };
    let endpoint_set = parse_files(&[content]).map_err(SnapshotError::InvalidContent)?;
    Ok(Snapshot {
        endpoint_set,
        saved_at,
    })
}

fn checksum_of(body: &str) -> String {
    format!("{:08x}", crc32fast::hash(body.as_bytes()))
}

fn parse_saved_at(body: &str) -> Option<UnixSeconds> {
    let line = body.lines().next()?;
    line.strip_prefix(SAVED_AT_PREFIX)?.parse().ok()
}
