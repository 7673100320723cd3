//! Why an HTTP message is not accepted, and the status that answers it.

use thiserror::Error;

/// Why a message is not accepted. The text goes to the other side.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{}", self.message())]
pub enum MessageError {
    /// The message does not follow the grammar; the text says where.
    Malformed(&'static str),
    /// The head exceeds [`MAX_HEAD`](super::MAX_HEAD) or [`MAX_FIELDS`](super::MAX_FIELDS).
    HeadTooLarge,
    /// The body, or its framing, exceeds the limit.
    BodyTooLarge,
    /// The message was not complete within its time.
    ReceiveTimeout,
    /// The message was not complete when the program had to stop.
    ShuttingDown,
    /// The client pipelined so far ahead of its answers that the rest was not kept.
    Pipelined,
}

impl MessageError {
    /// Returns the status that answers such a request.
    pub fn status(self) -> u16 {
        match self {
            MessageError::Malformed(_) => 400,
            MessageError::ReceiveTimeout => 408,
            MessageError::BodyTooLarge => 413,
            MessageError::Pipelined => 429,
            MessageError::HeadTooLarge => 431,
            MessageError::ShuttingDown => 503,
        }
    }

    /// Whether the same request may be served when it is sent again.
    pub fn is_transient(self) -> bool {
        matches!(self, MessageError::ShuttingDown | MessageError::Pipelined)
    }

    /// Returns the text that goes to the other side, without allocating.
    pub fn message(self) -> &'static str {
        match self {
            MessageError::Malformed(detail) => detail,
            MessageError::HeadTooLarge => "the head is too large",
            MessageError::BodyTooLarge => "the body is too large",
            MessageError::ReceiveTimeout => "the request did not come in time",
            MessageError::ShuttingDown => {
                "this process ends: send the request again on a new connection"
            }
            MessageError::Pipelined => "one request at a time: the rest is refused",
        }
    }
}
