//! What can be wrong with endpoint files, each cause with its text for operators.

use crate::file_format::{
    END_MARK, MAX_BYTES, MAX_ENDPOINTS, MAX_FILES, MAX_TEXT_BYTES, MAX_WEIGHT,
};
use serde::{Serialize, Serializer};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use toml::Value;

/// A place in a file.
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

/// One fault of the files or of the list that they make up.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// The file's name; empty where the list as a whole is at fault.
    pub file: String,
    /// The line, from 1; 0 where the file or the list as a whole is at fault.
    pub line: usize,
    /// What is wrong, and what would be right.
    #[serde(serialize_with = "as_text")]
    pub cause: FaultCause,
}

impl Fault {
    /// A fault of the list as a whole.
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

/// Formats faults, one a line.
pub fn join_lines(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(Fault::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Why a file's text can't be read.
#[derive(Clone, Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system refused. Shared, so that faults can be cloned.
    #[error(transparent)]
    Io(Arc<io::Error>),
    /// A folder, socket or device.
    #[error("this is no plain file")]
    NotRegular,
    /// Longer than [`MAX_BYTES`].
    #[error("the file has more than {MAX_BYTES} bytes")]
    TooLarge,
}

impl From<io::Error> for FileError {
    fn from(error: io::Error) -> FileError {
        FileError::Io(Arc::new(error))
    }
}

/// Two causes are the same if an operator reads the same text: I/O errors have no equality of their own.
impl PartialEq for FileError {
    fn eq(&self, other: &FileError) -> bool {
        self.to_string() == other.to_string()
    }
}

/// What is wrong. The text says what would be right.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[allow(
    missing_docs,
    reason = "a variant's text says what its fields are; docs would repeat it"
)]
pub enum FaultCause {
    // The files.
    #[error("there is no roster file (*.toml)")]
    NoFiles,
    #[error("there are {count} files: {MAX_FILES} at most")]
    TooManyFiles { count: usize },
    #[error("the files have {bytes} bytes together: {MAX_BYTES} at most")]
    TooManyBytes { bytes: usize },
    #[error(transparent)]
    Unreadable(#[from] FileError),
    #[error("the file is empty: it may be half-written")]
    EmptyFile,
    #[error("this is no TOML, or half-written: {message}")]
    InvalidToml { message: String },
    #[error("{message}")]
    UnknownField { message: String },
    #[error("the last line must be '{END_MARK}': a file without it may be half-written")]
    MissingEndMark,
    #[error("'generation' is missing: every file of a roster carries the same")]
    MissingGeneration,
    #[error("'generation': {value} is no whole number above 0")]
    InvalidGeneration { value: Value },
    #[error("'allow_shrink': {value} is neither true nor false")]
    InvalidAllowShrink { value: Value },

    // One endpoint's entry.
    #[error("'{key}' has more than {MAX_TEXT_BYTES} bytes")]
    TextTooLong { key: &'static str },
    #[error("'{key}': {value} is no text")]
    NotText { key: &'static str, value: Value },
    #[error("'phase': '{value}' is neither active nor leaving")]
    UnknownPhase { value: String },
    #[error("'cell': {value} is no cell's number")]
    InvalidCell { value: Value },
    #[error("'cell' is missing: it tells which shards the server holds")]
    MissingCell,
    #[error("'weight': {value} is no number")]
    WeightNotANumber { value: Value },
    #[error("'weight': {weight} is not from 0 to {MAX_WEIGHT}")]
    WeightOutOfRange { weight: f64 },
    #[error("'{key}': {value} needs a date, a time and an offset, such as Z")]
    IncompleteTimestamp { key: &'static str, value: Value },
    #[error("'{key}': {value} is no time, such as 2026-12-01T06:00:00Z")]
    NotATimestamp { key: &'static str, value: Value },
    #[error("'not_after' is not later than 'not_before'")]
    EmptyActivePeriod,
    #[error("'{key}' is not known: {known} are")]
    UnknownKey { key: String, known: String },
    #[error("'id' is missing")]
    MissingId,
    #[error("'address' of '{id}' is missing")]
    MissingAddress { id: String },
    #[error("'address' of '{id}': '{address}' is no address and port")]
    InvalidAddress { id: String, address: String },

    // Several files together.
    #[error("the server '{id}' is named twice: also in {first}")]
    DuplicateId { id: String, first: Location },
    #[error("the address {address} of '{id}' is named twice: also in {first}")]
    DuplicateAddress {
        address: SocketAddr,
        id: String,
        first: Location,
    },
    #[error("the weight of '{id}' stands in {first}, too")]
    DuplicateWeight { id: String, first: Location },
    #[error("there is no server '{id}'")]
    UnknownEndpoint { id: String },
    #[error("this file is of generation {generation}, another of {newest}: write all of them")]
    MixedGenerations { generation: u64, newest: u64 },
    #[error("there are {count} servers: {MAX_ENDPOINTS} at most")]
    TooManyEndpoints { count: usize },

    // The list beside the layout and the list in force.
    #[error("the server '{id}' is of cell {cell}: there are cells 0 to {last_cell}")]
    CellOutOfRange {
        id: String,
        cell: u32,
        last_cell: u32,
    },
    #[error("the weights of cell {cell} add up to 0: one at least must be above")]
    ZeroCellWeight { cell: u32 },
    #[error("shard {first_shard} and {other_shards} more have no active holder left")]
    ShardsWithoutHolder {
        first_shard: u32,
        other_shards: usize,
    },
    #[error("generation {generation} is older than {in_force}, which is in force: count up")]
    OlderGeneration { generation: u64, in_force: u64 },
    #[error(
        "generation {generation} is in force with other content: count it up with each change"
    )]
    GenerationReused { generation: u64 },
    #[error(
        "{removed} of {active} working servers would leave at once, over the share of {max_share}: \
         'allow_shrink = true' beside the generation says that it is meant"
    )]
    TooManyRemoved {
        removed: usize,
        active: usize,
        max_share: f64,
    },
}
