//! The last good list on disk, for a start whose files are broken. Two slots are written in turn, each whole or not at
//! all, so that whenever the program is killed, the newest or the one before it is there.
//!
//! A slot is a line `cairnroad-roster 1 CRC32`, a line `# saved UNIX_SECONDS`, and the list as a roster file. The
//! checksum (eight hexadecimal digits) covers all behind its line.

use crate::endpoint_set::EndpointSet;
use crate::parse::{parse_files, to_toml, MAX_BYTES};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The two slots.
pub const SLOTS: [&str; 2] = ["roster.a", "roster.b"];
/// The form's name and version.
const HEADER: &str = "cairnroad-roster 1";

/// Where slots are kept.
pub trait SlotStorage {
    /// A slot's bytes.
    fn read(&self, slot: &str) -> io::Result<Vec<u8>>;
    /// Replaces a slot, whole or not at all.
    fn replace(&mut self, slot: &str, bytes: &[u8]) -> io::Result<()>;
}

/// A folder.
#[derive(Clone, Debug)]
pub struct StateDirectory(pub PathBuf);

impl SlotStorage for StateDirectory {
    fn read(&self, slot: &str) -> io::Result<Vec<u8>> {
        let path = self.0.join(slot);
        if std::fs::metadata(&path)?.len() > 2 * MAX_BYTES as u64 {
            return Err(io::Error::other("the file is too large"));
        }
        std::fs::read(path)
    }

    fn replace(&mut self, slot: &str, bytes: &[u8]) -> io::Result<()> {
        replace_file(&self.0.join(slot), bytes)
    }
}

/// Writes a file whole or not at all: beside it, synced, renamed over it, the folder synced.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let beside = folder.join(format!(".{name}.{}.tmp", std::process::id()));
    let written = std::fs::File::create(&beside).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    let renamed = written.and_then(|()| std::fs::rename(&beside, path));
    if renamed.is_err() {
        let _ = std::fs::remove_file(&beside);
        return renamed;
    }
    std::fs::File::open(folder)?.sync_all()
}

/// A kept list.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The list.
    pub roster: EndpointSet,
    /// When it came into force, in Unix seconds.
    pub saved_at: f64,
    /// The slot that it stands in.
    pub slot: usize,
}

/// A slot's bytes.
pub fn encode(roster: &EndpointSet, saved: f64) -> Vec<u8> {
    let body = format!("# saved {saved:.3}\n{}", to_toml(roster));
    format!("{HEADER} {:08x}\n{body}", crc32fast::hash(body.as_bytes())).into_bytes()
}

/// What a slot's bytes say; the error says why they can't be used.
pub fn decode(bytes: &[u8]) -> Result<(EndpointSet, f64), String> {
    let text = std::str::from_utf8(bytes).map_err(|_| "it is no text")?;
    let (head, body) = text.split_once('\n').ok_or("it is cut short")?;
    let sum = head
        .strip_prefix(HEADER)
        .ok_or("it is of another form or version")?
        .trim();
    if sum != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
        return Err("its checksum is wrong: it is torn or damaged".into());
    }
    let saved = body
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("# saved ")?.parse().ok());
    let saved = saved.ok_or("it does not say when it was saved")?;
    let roster = parse_files(&[("it".into(), Ok(body.into()))]);
    Ok((
        roster.map_err(|faults| crate::endpoint_set::join_lines(&faults))?,
        saved,
    ))
}

/// The newest good list, and what is wrong with slots that hold something else.
pub fn recover(store: &impl SlotStorage) -> (Option<Snapshot>, Vec<String>) {
    let (mut best, mut wrong): (Option<Snapshot>, Vec<String>) = (None, Vec::new());
    for (slot, name) in SLOTS.iter().enumerate() {
        let read = match store.read(name) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => Err(e.to_string()),
            Ok(bytes) => decode(&bytes),
        };
        match read {
            Ok((roster, saved)) => {
                let newer = best
                    .as_ref()
                    .is_none_or(|best| roster.generation > best.roster.generation);
                if newer {
                    best = Some(Snapshot {
                        roster,
                        saved_at: saved,
                        slot,
                    });
                }
            }
            Err(cause) => wrong.push(format!("{name}: {cause}")),
        }
    }
    (best, wrong)
}

/// Keeps a list in the slot that does not hold `last`.
pub fn save(
    store: &mut impl SlotStorage,
    last: Option<usize>,
    roster: &EndpointSet,
    saved: f64,
) -> io::Result<usize> {
    let slot = last.map_or(0, |last| (last + 1) % SLOTS.len());
    store.replace(SLOTS[slot], &encode(roster, saved))?;
    Ok(slot)
}
