//! Final answers, and the result of each part.

use cairnroad_types::Seconds;
use std::sync::Arc;
use thiserror::Error;

/// A server's value for a part, byte by byte as received.
#[derive(Clone, Debug, PartialEq)]
pub enum PartValue {
    /// Opaque bytes, meaningful to the server and the client only.
    Plain(Arc<[u8]>),
    /// A hits object of the query language.
    Hits(Arc<str>),
}

/// Why a part has no value. The texts appear in answers of the query API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PartFailure {
    /// The server rejected the part.
    #[error("turned away")]
    Rejected,
    /// No connection to the server was available.
    #[error("no connection")]
    NoConnection,
    /// The connection was lost while the part was in flight.
    #[error("the connection broke")]
    ConnectionLost,
    /// No answer arrived before the deadline.
    #[error("no answer in time")]
    TimedOut,
    /// The server answered with an error.
    #[error("the server answered with an error")]
    ServerError,
}

/// The result of one part of an answered request.
#[derive(Clone, Debug)]
pub struct PartAnswer {
    /// The part's shard.
    pub shard: u32,
    /// The part's value, or why there is none.
    pub value: Result<PartValue, PartFailure>,
}

/// A request's one final answer.
#[derive(Clone, Debug)]
pub enum Answer {
    /// An answer with values.
    Served {
        /// Whether every part has a value.
        complete: bool,
        /// Every part's result, in the request's order.
        parts: Vec<PartAnswer>,
    },
    /// Rejected; a retry is safe.
    Rejected {
        /// Seconds after which the client may retry.
        retry_after: Seconds,
        /// Whether no attempt of the request ended: the coordinator is out of capacity.
        over_capacity: bool,
    },
    /// Failed; the request may have run.
    Failed {
        /// Whether the deadline passed, or nearly so.
        timed_out: bool,
    },
    /// Not accepted: its name belongs to a recent request.
    DuplicateExternalId,
}
