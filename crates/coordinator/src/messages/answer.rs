//! Final answers, and the results of their parts.

use cairnroad_types::Seconds;
use std::sync::Arc;
use thiserror::Error;

/// A server's value for a part, byte for byte as received.
#[derive(Clone, Debug, PartialEq)]
pub enum PartValue {
    /// Opaque bytes, which only the server and the client interpret.
    Plain(Arc<[u8]>),
    /// The JSON text of a `hits` object of the query API.
    Hits(Arc<str>),
}

impl PartValue {
    /// Returns the size of the value, in bytes.
    pub fn size(&self) -> usize {
        match self {
            PartValue::Plain(bytes) => bytes.len(),
            PartValue::Hits(text) => text.len(),
        }
    }
}

/// The reason why a part has no value. The texts are part of the answers of the query API.
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

/// The result of one part of a request that is answered with values.
#[derive(Clone, Debug)]
pub struct PartAnswer {
    /// The shard that the part queried.
    pub shard: u32,
    /// The part's value, or the reason why it has none.
    pub value: Result<PartValue, PartFailure>,
}

/// The final answer to a request, of which there is exactly one.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A complete or partial answer with values.
    Served {
        /// Whether every part has a value.
        complete: bool,
        /// The results of all parts, in the order of the request.
        parts: Vec<PartAnswer>,
    },
    /// The request was rejected; the client may safely retry it.
    Rejected {
        /// Seconds after which the client may retry.
        retry_after: Seconds,
        /// Whether the request was rejected for lack of capacity, that is, before any of its attempts ended.
        over_capacity: bool,
    },
    /// The request failed; it may have run.
    Failed {
        /// Whether the deadline had passed or was about to pass.
        timed_out: bool,
    },
    /// The request was not accepted because a recent request has the same external id.
    DuplicateExternalId,
}
