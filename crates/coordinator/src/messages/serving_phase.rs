//! The phases of the process, from start to shutdown.

/// The serving phase, which determines the answer of the health endpoint and the handling of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingPhase {
    /// The process is not ready: it waits for an endpoint list with at least one ready server.
    Starting,
    /// The process is ready: health checks succeed.
    Serving,
    /// An operator has drained the coordinator: health checks fail and idle connections are closed after a while, so
    /// that clients move to other coordinators. All requests are still answered.
    DrainedByOperator,
    /// The process shuts down: health checks fail. All requests are still answered.
    ShuttingDown,
    /// The process shuts down and closes idle client connections.
    IdleConnectionsClosing,
    /// The process shuts down and rejects requests that have been received only partially.
    PartialRequestsRejected,
}

impl ServingPhase {
    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(self) -> bool {
        matches!(
            self,
            ServingPhase::ShuttingDown
                | ServingPhase::IdleConnectionsClosing
                | ServingPhase::PartialRequestsRejected
        )
    }
}
