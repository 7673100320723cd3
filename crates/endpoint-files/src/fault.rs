//! Faults of endpoint files, with messages for operators.

use crate::file_format::{
    END_MARKER, MAX_BYTES, MAX_ENDPOINTS, MAX_FILES, MAX_TEXT_BYTES, MAX_WEIGHT,
};
use serde::{Serialize, Serializer};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use toml::Value;

/// A line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// A fault of the files or of the list that they make up.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// The file's name; empty if the fault concerns the whole list.
    pub file: String,
    /// The line, from 1; 0 if the fault concerns the whole file or list.
    pub line: usize,
    /// The cause; its text says what was found and what was expected.
    #[serde(serialize_with = "as_text")]
    pub cause: FaultCause,
}

impl Fault {
    /// Returns a fault that concerns the whole list.
    pub fn of_list(cause: FaultCause) -> Fault {
        Fault {
            file: String::new(),
            line: 0,
            cause,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.file.as_str(), self.line) {
            ("", _) => write!(f, "{}", self.cause),
            (file, 0) => write!(f, "{file}: {}", self.cause),
            (file, line) => write!(f, "{file}:{line}: {}", self.cause),
        }
    }
}

fn as_text<S: Serializer>(cause: &FaultCause, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(cause)
}

/// Formats faults, one per line.
pub fn join_lines(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(Fault::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// The reason why a file's text can't be read.
#[derive(Clone, Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system reported an error, which is shared so that faults can be cloned.
    #[error(transparent)]
    Io(Arc<io::Error>),
    /// The path names a folder, socket or device.
    #[error("not a regular file")]
    NotRegular,
    /// The file is larger than [`MAX_BYTES`].
    #[error("file too large: at most {MAX_BYTES} bytes are allowed")]
    TooLarge,
}

impl From<io::Error> for FileError {
    fn from(error: io::Error) -> FileError {
        FileError::Io(Arc::new(error))
    }
}

/// Compares the texts that operators read, because `io::Error` does not implement `PartialEq`.
impl PartialEq for FileError {
    fn eq(&self, other: &FileError) -> bool {
        self.to_string() == other.to_string()
    }
}

/// The cause of a fault. The text says what was found and what was expected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[allow(
    missing_docs,
    reason = "a variant's text says what its fields are; docs would repeat it"
)]
pub enum FaultCause {
    // The files.
    #[error("no roster file found (*.toml)")]
    NoFiles,
    #[error("too many files: {count}, at most {MAX_FILES} are allowed")]
    TooManyFiles { count: usize },
    #[error("files too large: {bytes} bytes in total, at most {MAX_BYTES} are allowed")]
    TooManyBytes { bytes: usize },
    #[error(transparent)]
    Unreadable(#[from] FileError),
    #[error("empty file, possibly only partially written")]
    EmptyFile,
    #[error("invalid TOML, possibly only partially written: {message}")]
    InvalidToml { message: String },
    #[error("{message}")]
    UnknownField { message: String },
    #[error("expected '{END_MARKER}' as the last line: the file may be only partially written")]
    MissingEndMarker,
    #[error("'generation' is missing: every file of a roster must state the same one")]
    MissingGeneration,
    #[error("'generation': expected an integer above 0, found {value}")]
    InvalidGeneration { value: Value },
    #[error("'allow_shrink': expected true or false, found {value}")]
    InvalidAllowShrink { value: Value },

    // One endpoint's entry.
    #[error("'{key}': longer than {MAX_TEXT_BYTES} bytes")]
    TextTooLong { key: &'static str },
    #[error("'{key}': expected a string, found {value}")]
    NotText { key: &'static str, value: Value },
    #[error("'phase': expected 'active' or 'leaving', found '{value}'")]
    UnknownPhase { value: String },
    #[error("'cell': expected the number of a cell, found {value}")]
    InvalidCell { value: Value },
    #[error("'cell' is missing: it determines the shards that the server holds")]
    MissingCell,
    #[error("'weight': expected a number, found {value}")]
    WeightNotANumber { value: Value },
    #[error("'weight': expected 0 to {MAX_WEIGHT}, found {weight}")]
    WeightOutOfRange { weight: f64 },
    #[error("'{key}': expected a date, a time and an offset such as Z, found {value}")]
    IncompleteTimestamp { key: &'static str, value: Value },
    #[error("'{key}': expected a time such as 2026-12-01T06:00:00Z, found {value}")]
    NotATimestamp { key: &'static str, value: Value },
    #[error("'not_after' must be later than 'not_before'")]
    EmptyActivePeriod,
    #[error("unknown key '{key}', expected one of {known}")]
    UnknownKey { key: String, known: String },
    #[error("'id' is missing")]
    MissingId,
    #[error("'address' of '{id}' is missing")]
    MissingAddress { id: String },
    #[error("'address' of '{id}': expected an IP address and port, found '{address}'")]
    InvalidAddress { id: String, address: String },

    // Several files together.
    #[error("duplicate server '{id}', first defined at {first}")]
    DuplicateId { id: String, first: Location },
    #[error("duplicate address {address} of '{id}', first used at {first}")]
    DuplicateAddress {
        address: SocketAddr,
        id: String,
        first: Location,
    },
    #[error("duplicate weight of '{id}', first stated at {first}")]
    DuplicateWeight { id: String, first: Location },
    #[error("unknown server '{id}'")]
    UnknownEndpoint { id: String },
    #[error("this file has generation {generation}, another has {newest}: all files must have the same one")]
    MixedGenerations { generation: u64, newest: u64 },
    #[error("too many servers: {count}, at most {MAX_ENDPOINTS} are allowed")]
    TooManyEndpoints { count: usize },

    // The list compared with the layout and the list in force.
    #[error("server '{id}' is in cell {cell}, but the cells are 0 to {last_cell}")]
    CellOutOfRange {
        id: String,
        cell: u32,
        last_cell: u32,
    },
    #[error("the weights of cell {cell} add up to 0: at least one must be positive")]
    ZeroCellWeight { cell: u32 },
    #[error("shard {first_shard} and {other_shards} more have no active holder")]
    ShardsWithoutHolder {
        first_shard: u32,
        other_shards: usize,
    },
    #[error("generation {generation} is older than {in_force}, which is in force: increase it")]
    OlderGeneration { generation: u64, in_force: u64 },
    #[error(
        "generation {generation} is in force with different content: increase it with each change"
    )]
    GenerationReused { generation: u64 },
    #[error(
        "{removed} of {active} active servers would be removed at once, over the permitted share of {max_share}: \
         set 'allow_shrink = true' next to 'generation' if this is intended"
    )]
    TooManyRemoved {
        removed: usize,
        active: usize,
        max_share: f64,
    },
}
