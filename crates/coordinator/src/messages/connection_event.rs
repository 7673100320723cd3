//! What a connection's task reports to the core.

use super::{AttemptId, PartValue};
use cairnroad_types::Outcome;

/// Identifies a connection to a server within this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Returns the id of the connection opened after this one.
    pub fn next(self) -> Self {
        ConnectionId(self.0 + 1)
    }
}

/// An event of one connection.
pub struct ConnectionReport {
    /// The connection.
    pub connection: ConnectionId,
    /// What happened on it.
    pub event: ConnectionEvent,
}

/// What can happen on a connection.
pub enum ConnectionEvent {
    /// The connection is established.
    Connected,
    /// The server answered a cancelled attempt: nothing is delivered, but the connection is alive.
    CancelledAttemptAnswered,
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// The server's value.
        value: Option<PartValue>,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// How it ended.
        outcome: Outcome,
        /// The values of the server's load report, in the configured order.
        report: Vec<f64>,
    },
    /// The connection's task has ended; it reports nothing more.
    Closed,
}
