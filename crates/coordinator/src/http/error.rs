//! Errors of receiving and parsing HTTP messages, and the response status for each.

use thiserror::Error;

/// The reason why a message is not accepted. The text is sent to the peer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{}", self.message())]
pub enum MessageError {
    /// The message violates the grammar; the text names the element.
    Malformed(&'static str),
    /// The head exceeds [`MAX_HEAD`](super::MAX_HEAD) or [`MAX_FIELDS`](super::MAX_FIELDS).
    HeadTooLarge,
    /// The body, or its framing, exceeds the limit.
    BodyTooLarge,
    /// The message was not completely received within its time limit.
    ReceiveTimeout,
    /// The message was not completely received when the program had to stop.
    ShuttingDown,
    /// The memory or the connection slots are needed for others, which have waited less or made more progress.
    Overloaded,
    /// The client pipelined more requests than are buffered; the rest was discarded.
    ExcessPipelining,
}

impl MessageError {
    /// Returns the status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            MessageError::Malformed(_) => 400,
            MessageError::ReceiveTimeout => 408,
            MessageError::BodyTooLarge => 413,
            MessageError::ExcessPipelining => 429,
            MessageError::HeadTooLarge => 431,
            MessageError::ShuttingDown | MessageError::Overloaded => 503,
        }
    }

    /// Returns whether the request may succeed if the client sends it again unchanged.
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            MessageError::ShuttingDown | MessageError::Overloaded | MessageError::ExcessPipelining
        )
    }

    /// Returns the text that is sent to the peer, without allocating.
    pub fn message(self) -> &'static str {
        match self {
            MessageError::Malformed(detail) => detail,
            MessageError::HeadTooLarge => "the head is too large",
            MessageError::BodyTooLarge => "the body is too large",
            MessageError::ReceiveTimeout => "the request did not come in time",
            MessageError::ShuttingDown => {
                "this process ends: send the request again on a new connection"
            }
            MessageError::Overloaded => "too many requests are being received",
            MessageError::ExcessPipelining => "one request at a time: the rest is refused",
        }
    }
}
