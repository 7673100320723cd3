//! The faults for which a connection is closed because of the data that was received on it.

use super::connection::STALL_TIMEOUT;
use crate::http::MessageError;
use thiserror::Error;

/// The reason why a connection can no longer be used.
#[derive(Clone, Copy, Debug, Error)]
pub(super) enum ConnectionFault {
    #[error("unsolicited data: no request is in flight")]
    UnsolicitedBytes,
    #[error("incomplete answer: no further data within {} s", STALL_TIMEOUT.as_secs())]
    StalledAnswer,
    #[error("unsolicited data after the answer")]
    TrailingBytes,
    #[error("answer to another search: its X-Opaque-Id differs")]
    ForeignAnswer,
    #[error("incomplete answers of all servers together exceed their memory")]
    OutOfMemory,
    #[error(transparent)]
    Message(#[from] MessageError),
}

impl ConnectionFault {
    /// Returns advice for the operator.
    pub(super) fn help(self) -> &'static str {
        match self {
            ConnectionFault::UnsolicitedBytes
            | ConnectionFault::TrailingBytes
            | ConnectionFault::ForeignAnswer => {
                "the server sent data that was not requested: check its log and the logs of proxies in front of it"
            }
            ConnectionFault::StalledAnswer => {
                "check whether the server was stopped while it wrote, and whether the network drops packets"
            }
            ConnectionFault::OutOfMemory => {
                "the servers' answers are too large for the memory in the settings, or servers stop in the middle of them"
            }
            ConnectionFault::Message(_) => {
                "the answer is not valid HTTP/1.1 or exceeds a limit: the address may belong to another service"
            }
        }
    }
}
