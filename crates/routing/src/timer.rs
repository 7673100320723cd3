//! The router's timers.

use cairnroad_types::RequestId;

/// The kinds of timers. Timers that expire at the same moment run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The query's latency objective passes.
    Objective(RequestId),
    /// The query's deadline is near, so it must end now.
    Deadline(RequestId),
    /// The part is sent its hedged request, if the rules allow it.
    Hedge(RequestId),
    /// A poll for the endpoint list is due.
    PollEndpoints,
    /// A health check is due.
    HealthCheck,
}
