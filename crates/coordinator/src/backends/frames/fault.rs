//! Why a connection is closed for what was received on it.

use thiserror::Error;

/// A frame that can't be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    #[error("a frame's length of {0} bytes is out of bounds")]
    LengthOutOfBounds(u32),
    #[error("an answer's line doesn't end")]
    EndlessAnswerLine,
    #[error("a frame's letter is unknown: {}", .0.escape_ascii())]
    UnknownLetter(u8),
    #[error("an answer frame is malformed")]
    MalformedAnswer,
}

/// Why nothing more can be read from a connection, or written to it.
#[derive(Debug, Error)]
pub(super) enum ConnectionFault {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("a frame stalled before it was complete")]
    PartialFrame,
    #[error("an answer's id is unknown")]
    UnknownId,
    #[error("a duplicate answer")]
    DuplicateAnswer,
    #[error("an answer's end is unknown: {}", .0.escape_default())]
    UnknownEnd(String),
    #[error("an unsolicited load report")]
    UnsolicitedLoadReport,
    #[error("an unsolicited health check")]
    UnsolicitedPing,
    #[error("the server could not use a frame: {0}")]
    RejectedFrame(String),
}

impl ConnectionFault {
    /// Returns what an operator can do.
    pub(super) fn help(&self) -> &'static str {
        match self {
            ConnectionFault::Frame(_) | ConnectionFault::UnknownEnd(_) => {
                "compare the server's version with the description of frames; its address may belong to another service"
            }
            ConnectionFault::PartialFrame => {
                "look for a server that was stopped while it wrote, or for a network that drops packets"
            }
            ConnectionFault::UnknownId
            | ConnectionFault::DuplicateAnswer
            | ConnectionFault::UnsolicitedLoadReport
            | ConnectionFault::UnsolicitedPing => {
                "the server answered what was not asked: look at its own log"
            }
            ConnectionFault::RejectedFrame(_) => {
                "the server's text says which frame it could not use: compare its version"
            }
        }
    }
}
