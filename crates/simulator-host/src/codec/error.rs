//! What can be wrong with bytes on the simulator's wire, from the pipe down to a single field.

use std::io;

/// Why no frame could be read from the pipe.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input ended within a header.
    #[error("truncated header: {received} of {wanted} bytes")]
    TruncatedHeader {
        /// Bytes received.
        received: usize,
        /// Bytes of a whole header.
        wanted: usize,
    },
    /// The input ended within the bytes that a header announced.
    #[error("truncated frame: {received} of {wanted} bytes")]
    TruncatedBody {
        /// Bytes received.
        received: u64,
        /// Bytes announced.
        wanted: u64,
    },
    /// The pipe failed.
    #[error("standard input: {0}")]
    Input(#[from] io::Error),
}

/// Why a frame is not a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// It is too short for the number of records.
    #[error(transparent)]
    RecordCount(Truncated),
    /// It is too short for the clock.
    #[error("clock: {0}")]
    Clock(#[source] Truncated),
    /// The clock is infinite or not a number.
    #[error("clock: not a number")]
    ClockNotFinite,
    /// One record is malformed.
    #[error("record {index}, {source}")]
    Record {
        /// Its index in the batch.
        index: u32,
        /// What is wrong with it.
        source: RecordError,
    },
    /// More bytes follow than the announced records take.
    #[error("{0} bytes after the last record")]
    TrailingBytes(usize),
}

/// Why the bytes of a record are not one.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The batch ends within the record.
    #[error(transparent)]
    Truncated(#[from] Truncated),
    /// The fields don't fit the record's code.
    #[error("code {code}: {source}")]
    Fields {
        /// The code.
        code: u8,
        /// What is wrong with the fields.
        source: FieldError,
    },
}

/// Why the fields of a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The record ends within a field.
    #[error(transparent)]
    Truncated(#[from] Truncated),
    /// No record has this code.
    #[error("unknown event")]
    UnknownEvent,
    /// No outcome of an attempt has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// No state of a server has this code.
    #[error("unknown condition {0}")]
    UnknownServerState(u8),
    /// A row of an endpoint list is malformed.
    #[error("row {index}: {source}")]
    Row {
        /// Its index in the list.
        index: u32,
        /// What is wrong with it.
        source: Box<FieldError>,
    },
}

/// Bytes end within a field.
#[derive(Debug, thiserror::Error)]
#[error("truncated: {wanted} bytes wanted, {left} left")]
pub struct Truncated {
    /// Bytes of the field.
    pub wanted: usize,
    /// Bytes left.
    pub left: usize,
}
