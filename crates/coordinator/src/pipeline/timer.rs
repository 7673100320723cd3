//! The kinds of timers that the core schedules.

use crate::messages::{AttemptId, ConnectionId};

/// A timer of the core. Timers are never cancelled: when one fires, the handler checks whether it is still relevant.
pub enum Timer {
    /// Calls the router at a time that it requested.
    RouterWakeUp,
    /// Times out an attempt that is still in flight.
    AttemptDeadline(AttemptId),
    /// Closes a connection that is not established by now.
    DialDeadline(ConnectionId),
    /// Sweeps the connection pool for connections that are no longer needed.
    ConnectionSweep,
    /// Reads the stored suspensions, which another process may have changed.
    SuspensionPoll,
    /// Publishes the outliers that this coordinator found to the cluster.
    OutlierPublication,
}
