//! Why a connection is closed for what was received on it.

use crate::http::MessageError;
use thiserror::Error;

/// Why nothing more can be read from a connection.
#[derive(Clone, Copy, Debug, Error)]
pub(super) enum ConnectionFault {
    #[error("unsolicited bytes between two requests")]
    UnsolicitedBytes,
    #[error("an answer stalled before it was complete")]
    StalledAnswer,
    #[error("bytes behind the answer")]
    TrailingBytes,
    #[error(transparent)]
    Message(#[from] MessageError),
}

impl ConnectionFault {
    /// Returns what an operator can do.
    pub(super) fn help(self) -> &'static str {
        match self {
            ConnectionFault::UnsolicitedBytes | ConnectionFault::TrailingBytes => {
                "the server sent what was not asked: look at its own log and at proxies before it"
            }
            ConnectionFault::StalledAnswer => {
                "look for a server that was stopped while it wrote, or for a network that drops packets"
            }
            ConnectionFault::Message(_) => {
                "the answer is not HTTP/1.1 within its limits: the address may belong to another service"
            }
        }
    }
}
