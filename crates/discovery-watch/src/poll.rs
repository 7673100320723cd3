//! The polls that a watch sends, and their time limits.

use cairnroad_types::Seconds;

/// Longest time a long poll may wait for changes, in milliseconds.
///
/// The time is short, so that a watch whose response was lost is restarted soon.
pub const LONG_POLL_MS: u64 = 2_000;
/// Longest time a poll may wait for changes while the agent is not yet confirmed to respond, in milliseconds.
///
/// The agent returns changes newer than the revision at once, so this only bounds a poll that finds none.
pub const CONFIRMATION_POLL_MS: u64 = 100;
/// Time limit for opening a connection to the agent, which runs on the same machine.
pub const CONNECT_TIMEOUT: Seconds = 0.5;

/// Time limit of a long poll's response beyond the poll's own wait, so that a busy machine does not break the watch.
const LONG_POLL_SLACK: Seconds = 1.0;
/// Time limit of a confirmation poll's response beyond the poll's own wait. Several attempts have to fit in before the
/// notification deadline.
pub(crate) const CONFIRMATION_POLL_SLACK: Seconds = 0.4;
/// Time limit of a snapshot, which the agent sends without waiting.
const SNAPSHOT_TIMEOUT: Seconds = 1.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// A request for the agent's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRequest {
    /// The complete endpoint list.
    Snapshot,
    /// The changes after a revision; the agent waits for the first change.
    Changes {
        /// The newest revision that this process has received.
        revision: u64,
        /// Longest wait at the agent, in milliseconds.
        max_wait_ms: u64,
    },
}

impl PollRequest {
    /// Returns how long the agent may wait for changes before it responds.
    pub(crate) fn max_wait(self) -> Seconds {
        match self {
            PollRequest::Snapshot => 0.0,
            PollRequest::Changes { max_wait_ms, .. } => {
                max_wait_ms as f64 / MILLISECONDS_PER_SECOND
            }
        }
    }
}

/// One poll and its time limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poll {
    /// The request to send.
    pub request: PollRequest,
    /// How long to wait for the response before the watch counts as broken.
    pub response_timeout: Seconds,
}

impl Poll {
    /// Returns the poll for the complete list.
    pub(crate) fn snapshot() -> Poll {
        Poll {
            request: PollRequest::Snapshot,
            response_timeout: SNAPSHOT_TIMEOUT,
        }
    }

    /// Returns the long poll for an agent that is known to respond.
    pub(crate) fn long(revision: u64) -> Poll {
        Poll::changes(revision, LONG_POLL_MS, LONG_POLL_SLACK)
    }

    /// Returns the short poll that checks whether the agent responds.
    pub(crate) fn confirmation(revision: u64) -> Poll {
        Poll::changes(revision, CONFIRMATION_POLL_MS, CONFIRMATION_POLL_SLACK)
    }

    fn changes(revision: u64, max_wait_ms: u64, slack: Seconds) -> Poll {
        let request = PollRequest::Changes {
            revision,
            max_wait_ms,
        };
        Poll {
            request,
            response_timeout: request.max_wait() + slack,
        }
    }
}
