//! Queries: each is a client's request, split into parts.

use cairnroad_types::{RequestId, Time};

/// Number of reset attempts from which a query is suspect, if they also outnumber its answers. The second
/// condition excludes resets by the network, with which other parts are answered.
const SUSPECT_RESETS: u32 = 2;

/// The properties that a query and the client's retry of it have in common.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueryFingerprint {
    /// Index of the class in the settings.
    pub(crate) class: usize,
    /// A checksum of the parts' shards that doesn't depend on their order.
    pub(crate) shards: u64,
}

impl QueryFingerprint {
    /// Adds the shard of one part.
    pub(crate) fn add_shard(&mut self, shard: u32) {
        let shard = u64::from(shard);
        self.shards = self.shards.wrapping_add(shard.wrapping_mul(shard) + 1);
    }
}

/// An open query.
#[derive(Default)]
pub(crate) struct Query {
    /// Index of the class in the settings. A query of a class that isn't configured is rejected when its step
    /// starts.
    pub(crate) class: usize,
    /// Number by which the events of its parts refer to the query.
    pub(crate) number: u64,
    /// When the client first asked, as far as that is known.
    pub(crate) first_asked_at: Time,
    /// Moment of the latency objective, less the time to deliver the answer.
    pub(crate) objective_at: Time,
    /// Moment of the deadline, less the margin for late ticks.
    pub(crate) finish_at: Time,
    /// Generation of the endpoint list under which the query was admitted.
    pub(crate) list_generation: u64,
    pub(crate) is_second_step: bool,
    /// Whether the first step's answer was complete.
    pub(crate) is_first_step_complete: bool,
    /// Parts of the current step.
    pub(crate) parts: Vec<RequestId>,
    /// Number of attempts that were reset, without those on stale connections.
    pub(crate) reset_attempts: u32,
    /// Number of attempts that were answered.
    pub(crate) answered_attempts: u32,
    /// Whether it is unknown if the client is still connected, so that no attempt may begin.
    pub(crate) is_client_unconfirmed: bool,
    /// Whether the client marked the query as a retry.
    pub(crate) is_client_retry: bool,
    pub(crate) fingerprint: QueryFingerprint,
}

impl Query {
    /// Returns whether more of the query's attempts were reset than answered, so that it may crash servers.
    pub(crate) fn is_suspect(&self) -> bool {
        self.reset_attempts >= SUSPECT_RESETS && self.reset_attempts > self.answered_attempts
    }
}
