//! The external ids that two processes of one coordinator share while one replaces the other.
//!
//! Both processes append the ids of the requests that they open to a file in a folder that they share, and read what the
//! other one has appended. There is a file for each period; its records have a fixed length: the number of the process,
//! the time in microseconds and the hash of the id, each as 8 bytes in little-endian order.
//!
//! A process appends a record before it reads those of the other process. Of two processes that open requests with the
//! same id at once, at least one therefore sees the other's record.

use super::recent::IdHash;
use cairnroad_types::Time;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Duration of a period in microseconds; no retention time is longer.
const PERIOD_MICROS: i64 = 60_000_000;
/// Name of a period's file before the number of the period.
const FILE_PREFIX: &str = "request-ids-";
/// Length of a field of a record, in bytes.
const FIELD_LENGTH: usize = 8;
/// Length of a record, in bytes.
const RECORD_LENGTH: usize = 3 * FIELD_LENGTH;

/// The place of a record: records with lower positions were appended earlier, unless the clock passed the end of a period
/// meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    period: i64,
    offset: u64,
}

/// An id that the other process has recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForeignId {
    /// The hash of the id.
    pub id: IdHash,
    /// When the request was opened.
    pub opened_at: Time,
    position: Position,
}

impl ForeignId {
    /// Returns whether the other process may have opened its request before it could see this process's record.
    fn may_precede(&self, own: Position) -> bool {
        self.position < own || self.position.period > own.period
    }
}

/// The result of taking an id.
#[derive(Debug)]
pub struct TakenId {
    /// Whether the other process has not taken the id too.
    pub is_first: bool,
    /// The ids that the other process has recorded since the last call.
    pub foreign: Vec<ForeignId>,
}

/// The file of one period.
struct PeriodFile {
    file: File,
    /// Number of bytes that have been read.
    read_bytes: u64,
}

/// The ids that the processes of one coordinator share.
pub struct SharedIds {
    folder: PathBuf,
    /// Distinguishes this process's records from those of the other one.
    process: u64,
    files: BTreeMap<i64, PeriodFile>,
}

impl SharedIds {
    /// Creates the access to the files in `folder`, which is created if it is missing, and removes those of past periods.
    /// `process` is different in each process.
    ///
    /// # Errors
    ///
    /// The folder can't be created or read.
    pub fn new(folder: &Path, process: u64, now: Time) -> io::Result<SharedIds> {
        fs::create_dir_all(folder)?;
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if period_of_file(&path).is_some_and(|period| period < period_of(now) - 1) {
                // The other process may have removed it.
                let _ = fs::remove_file(path);
            }
        }
        Ok(SharedIds {
            folder: folder.into(),
            process,
            files: BTreeMap::new(),
        })
    }

    /// Takes an id for a request that is about to be opened.
    ///
    /// # Errors
    ///
    /// A file can't be written or read.
    pub fn take(&mut self, now: Time, id: IdHash) -> io::Result<TakenId> {
        let own = self.append(now, id)?;
        let foreign = self.read_new(now)?;
        let precedes = |foreign: &ForeignId| foreign.id == id && foreign.may_precede(own);
        Ok(TakenId {
            is_first: !foreign.iter().any(precedes),
            foreign,
        })
    }

    /// Appends a record. Returns its place.
    fn append(&mut self, now: Time, id: IdHash) -> io::Result<Position> {
        let period = period_of(now);
        let own = self.process;
        let file = self.open(period, true)?;
        let mut record = [0; RECORD_LENGTH];
        let fields = [own, now.0 as u64, id];
        for (bytes, field) in record.chunks_exact_mut(FIELD_LENGTH).zip(fields) {
            bytes.copy_from_slice(&field.to_le_bytes());
        }
        // The system appends a single write at the end of the file as a whole.
        file.file.write_all(&record)?;
        let end = file.file.stream_position()?;
        Ok(Position {
            period,
            offset: end.saturating_sub(RECORD_LENGTH as u64),
        })
    }

    /// Returns the ids that the other process has recorded since the last call, in this period, the one before it, and the
    /// next one, which the other process may have entered already.
    ///
    /// # Errors
    ///
    /// A file can't be read.
    pub fn read_new(&mut self, now: Time) -> io::Result<Vec<ForeignId>> {
        let current = period_of(now);
        self.close_periods_before(current - 1);
        let mut found = Vec::new();
        for period in current - 1..=current + 1 {
            match self.open(period, false) {
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error),
                Ok(_) => self.read_period(period, &mut found)?,
            }
        }
        Ok(found)
    }

    fn read_period(&mut self, period: i64, found: &mut Vec<ForeignId>) -> io::Result<()> {
        let own = self.process;
        let file = self.open(period, false)?;
        let mut bytes = Vec::new();
        file.file.seek(SeekFrom::Start(file.read_bytes))?;
        file.file.read_to_end(&mut bytes)?;
        for record in bytes.chunks_exact(RECORD_LENGTH) {
            let [process, opened_at, id] = fields(record);
            let offset = file.read_bytes;
            file.read_bytes += RECORD_LENGTH as u64;
            if process != own {
                found.push(ForeignId {
                    id,
                    opened_at: Time(opened_at as i64),
                    position: Position { period, offset },
                });
            }
        }
        Ok(())
    }

    /// Returns the file of a period. A missing file is created only for a record that is appended.
    fn open(&mut self, period: i64, create: bool) -> io::Result<&mut PeriodFile> {
        if !self.files.contains_key(&period) {
            let path = self.folder.join(format!("{FILE_PREFIX}{period}"));
            let file = OpenOptions::new()
                .read(true)
                .append(true)
                .create(create)
                .open(path)?;
            let file = PeriodFile {
                file,
                read_bytes: 0,
            };
            self.files.insert(period, file);
        }
        self.files
            .get_mut(&period)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Closes and removes the files of past periods. Either process may do so.
    fn close_periods_before(&mut self, first: i64) {
        while let Some(entry) = self
            .files
            .first_entry()
            .filter(|entry| *entry.key() < first)
        {
            let path = self.folder.join(format!("{FILE_PREFIX}{}", entry.key()));
            entry.remove();
            // The other process may have removed it.
            let _ = fs::remove_file(path);
        }
    }
}

fn period_of(now: Time) -> i64 {
    now.0.div_euclid(PERIOD_MICROS)
}

/// Returns the period whose file this is; `None` if it is another file.
fn period_of_file(path: &Path) -> Option<i64> {
    let name = path.file_name()?.to_str()?;
    name.strip_prefix(FILE_PREFIX)?.parse().ok()
}

fn fields(record: &[u8]) -> [u64; 3] {
    let mut fields = [0; 3];
    for (field, bytes) in fields.iter_mut().zip(record.chunks_exact(FIELD_LENGTH)) {
        let mut array = [0; FIELD_LENGTH];
        array.copy_from_slice(bytes);
        *field = u64::from_le_bytes(array);
    }
    fields
}

#[cfg(test)]
mod tests;
