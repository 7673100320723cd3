//! The events that a connection task reports to the core.

use super::{AttemptId, PartValue};
use cairnroad_types::Outcome;

/// Identifies a connection to a server within this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Returns the id of the next connection that is opened.
    pub fn next(self) -> Self {
        ConnectionId(self.0 + 1)
    }
}

/// An event, and the connection on which it occurred.
pub struct ConnectionReport {
    /// The id of the connection.
    pub connection: ConnectionId,
    /// The event that occurred.
    pub event: ConnectionEvent,
}

/// An event on a connection to a server.
pub enum ConnectionEvent {
    /// The connection is established.
    Connected,
    /// The server answered a cancelled attempt. The answer is discarded, but it shows that the connection is alive.
    CancelledAttemptAnswered,
    /// An attempt ended.
    AttemptEnded {
        /// The id of the attempt.
        attempt: AttemptId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The server's value; present only if the outcome is `Ok`.
        value: Option<PartValue>,
    },
    /// The value that the server gave for an attempt can't be trusted: what it sent after the answer shows that the answer
    /// was cut.
    AnswerRetracted {
        /// The id of the attempt.
        attempt: AttemptId,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The outcome of the health check.
        outcome: Outcome,
        /// The values of the server's load report, in the order of the settings; empty if there is no usable report.
        report: Vec<f64>,
    },
    /// The connection task has ended and reports no further events.
    Closed,
}
