//! The timers of the core.

use crate::messages::{AttemptId, ConnectionId};

/// What a timer of the core stands for. Timers are not cancelled: the receiver checks whether one still matters.
pub enum Timer {
    /// The router asked to be called.
    RouterWakeUp,
    /// An attempt's deadline.
    AttemptDeadline(AttemptId),
    /// By now the connection with this number should be established.
    DialDeadline(ConnectionId),
    /// Idle connections are closed.
    ConnectionSweep,
    /// Stored suspensions are read for changes of another process.
    SuspensionPoll,
    /// The outliers that this coordinator found are published to the cluster.
    OutlierPublication,
}
