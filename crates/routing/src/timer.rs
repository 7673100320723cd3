//! The router's timers.

use cairnroad_types::RequestId;

/// What to do when a timer expires. Timers of the same moment run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The query's latency objective passed.
    Objective(RequestId),
    /// The query's deadline is near: it is answered finally.
    Deadline(RequestId),
    /// The part may get its hedged request.
    Hedge(RequestId),
    /// The endpoint list is to be polled for.
    PollEndpoints,
    /// A health check is due.
    HealthCheck,
}
