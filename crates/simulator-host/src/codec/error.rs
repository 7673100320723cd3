//! Decoding errors of the simulator's protocol, from the input stream down to a single field.

use std::io;

/// The reason why no frame could be read from standard input.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input ended within a header.
    #[error("truncated header: got {received} of {expected} bytes")]
    TruncatedHeader {
        /// Number of bytes received.
        received: usize,
        /// Length of a header in bytes.
        expected: usize,
    },
    /// The input ended before the number of bytes that the header states.
    #[error("truncated frame: got {received} of {expected} bytes")]
    TruncatedBody {
        /// Number of bytes received.
        received: u64,
        /// Number of bytes that the header states.
        expected: u64,
    },
    /// Reading failed.
    #[error("cannot read from standard input: {0}")]
    Input(#[from] io::Error),
}

/// The reason why a frame is not a valid batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The frame ends within the record count.
    #[error("record count: {0}")]
    RecordCount(#[source] Truncated),
    /// The frame ends within the clock.
    #[error("clock: {0}")]
    Clock(#[source] Truncated),
    /// The clock is infinite or not a number.
    #[error("clock: expected a finite number of seconds")]
    ClockNotFinite,
    /// One record is malformed.
    #[error("record {index}, {source}")]
    Record {
        /// Index of the record in the batch, counted from 0.
        index: u32,
        /// Why the record is malformed.
        source: RecordError,
    },
    /// Bytes follow the last of the announced records.
    #[error("{0} unexpected bytes after the last record")]
    TrailingBytes(usize),
}

/// The reason why a record is malformed.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The batch ends within the record.
    #[error(transparent)]
    Truncated(#[from] Truncated),
    /// The fields don't fit the record's code.
    #[error("code {code}: {source}")]
    Fields {
        /// The code of the record.
        code: u8,
        /// Why the fields are malformed.
        source: FieldError,
    },
}

/// The reason why the fields of a record can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The record ends within a field.
    #[error(transparent)]
    Truncated(#[from] Truncated),
    /// The record has an unknown code, which the enclosing [`RecordError`] states.
    #[error("unknown event")]
    UnknownEvent,
    /// The code stands for no outcome of an attempt.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The code stands for no state of a server.
    #[error("unknown server state {0}")]
    UnknownServerState(u8),
    /// A row of an endpoint list is malformed.
    #[error("row {index}: {source}")]
    Row {
        /// Index of the row in the list, counted from 0.
        index: u32,
        /// Why the row is malformed.
        source: Box<FieldError>,
    },
}

/// The bytes end within a field.
#[derive(Debug, thiserror::Error)]
#[error("truncated: expected {expected} bytes, {remaining} left")]
pub struct Truncated {
    /// Length of the field in bytes.
    pub expected: usize,
    /// Number of bytes left for the field.
    pub remaining: usize,
}
