//! The phases of the process, from start to shutdown.

/// What the process accepts. The health endpoint and client connections go by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingPhase {
    /// No endpoint list has arrived yet.
    Starting,
    /// Ready: health checks succeed.
    Serving,
    /// An operator drains the coordinator: health checks fail and idle connections close after a while, so that clients
    /// move away; every request is still answered.
    DrainedByOperator,
    /// The process shuts down: health checks fail; every request is still answered.
    ShuttingDown,
    /// Shutting down, and idle client connections are closed.
    IdleConnectionsClosing,
    /// Shutting down, and requests that have arrived only in part are rejected.
    PartialRequestsRejected,
}

impl ServingPhase {
    /// Whether the process was ordered to stop.
    pub fn is_shutting_down(self) -> bool {
        matches!(
            self,
            ServingPhase::ShuttingDown
                | ServingPhase::IdleConnectionsClosing
                | ServingPhase::PartialRequestsRejected
        )
    }
}
