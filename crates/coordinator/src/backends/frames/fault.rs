//! The faults for which a connection is closed because of the data that was received on it.

use super::codec::{MAX_ANSWER_LINE, MAX_FRAME};
use super::connection::PARTIAL_FRAME_TIMEOUT;
use thiserror::Error;

/// A frame that can't be parsed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    #[error("frame length out of range: expected 1 to {MAX_FRAME} bytes, found {0}")]
    LengthOutOfRange(u32),
    #[error("answer line without a newline in its first {MAX_ANSWER_LINE} bytes")]
    AnswerLineTooLong,
    #[error("unknown frame letter: expected A, E, L or P, found {}", .0.escape_ascii())]
    UnknownLetter(u8),
    #[error("malformed answer frame: expected the line `ID STATUS SCORE REPORT`")]
    MalformedAnswer,
}

/// The reason why a connection can no longer be used.
#[derive(Debug, Error)]
pub(super) enum ConnectionFault {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("data after a frame is not another frame, so the length of the former is wrong: {0}")]
    WrongLength(#[source] FrameError),
    #[error("frame incomplete {} ms after it began", PARTIAL_FRAME_TIMEOUT.as_millis())]
    PartialFrame,
    #[error("answer with an unknown part id: {}", .0.escape_default())]
    UnknownId(String),
    #[error("duplicate answer to a part")]
    DuplicateAnswer,
    #[error("unknown status in an answer: expected ok, busy or err, found {}", .0.escape_default())]
    UnknownStatus(String),
    #[error("unsolicited load report: no health check is in flight")]
    UnsolicitedLoadReport,
    #[error("unsolicited ping from the server")]
    UnsolicitedPing,
    #[error("incomplete answers of all servers together exceed their memory")]
    OutOfMemory,
    #[error("the server rejected a frame: {0}")]
    RejectedFrame(String),
}

impl ConnectionFault {
    /// Returns advice for the operator.
    pub(super) fn help(&self) -> &'static str {
        match self {
            ConnectionFault::Frame(_)
            | ConnectionFault::WrongLength(_)
            | ConnectionFault::UnknownStatus(_) => {
                "compare the server's version with the description of frames; its address may belong to another service"
            }
            ConnectionFault::PartialFrame => {
                "check whether the server was stopped while it wrote, and whether the network drops packets"
            }
            ConnectionFault::UnknownId(_)
            | ConnectionFault::DuplicateAnswer
            | ConnectionFault::UnsolicitedLoadReport
            | ConnectionFault::UnsolicitedPing => {
                "the server sent data that was not requested: check the server's log"
            }
            ConnectionFault::OutOfMemory => {
                "the servers' answers are too large for the memory in the settings, or servers stop in the middle of them"
            }
            ConnectionFault::RejectedFrame(_) => {
                "the server's text states which frame it rejected: check the version of the server"
            }
        }
    }
}
