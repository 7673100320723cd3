//! Queries: a client's request, which is split into parts.

use cairnroad_types::{RequestId, Time};

/// Reset attempts from which on a query is a suspect, if they also outnumber its answers. (Answers lost on
/// the network leave other parts answered.)
const SUSPECT_RESETS: u32 = 2;

/// What a query and its retry by the client have in common.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueryFingerprint {
    /// Index of the class in the settings.
    pub(crate) class: usize,
    /// A sum over the shards of its parts, independent of their order.
    pub(crate) shards: u64,
}

impl QueryFingerprint {
    /// Adds a part of this shard.
    pub(crate) fn add_shard(&mut self, shard: u32) {
        let shard = u64::from(shard);
        self.shards = self.shards.wrapping_add(shard.wrapping_mul(shard) + 1);
    }
}

/// An open query.
#[derive(Default)]
pub(crate) struct Query {
    /// Index of the class in the settings; a class that isn't configured is rejected when the step starts.
    pub(crate) class: usize,
    /// The number by which the events of its parts name it.
    pub(crate) number: u64,
    /// When its client first asked, as far as known.
    pub(crate) asked_at: Time,
    /// Its latency objective, less the time to hand over the answer.
    pub(crate) objective_at: Time,
    /// Its deadline, less the margin for late ticks.
    pub(crate) finish_at: Time,
    /// The generation of the endpoint list under which it was admitted.
    pub(crate) generation: u64,
    pub(crate) second_step: bool,
    /// Whether the first step's answer was complete.
    pub(crate) first_step_complete: bool,
    /// The parts of the current step.
    pub(crate) parts: Vec<RequestId>,
    /// Attempts that were reset, stale connections aside.
    pub(crate) resets: u32,
    /// Attempts that answered.
    pub(crate) answers: u32,
    /// The client marked it as a retry.
    pub(crate) client_retry: bool,
    pub(crate) fingerprint: QueryFingerprint,
}

impl Query {
    /// Whether more of its attempts brought connections down than were answered: it may crash its servers.
    pub(crate) fn is_suspect(&self) -> bool {
        self.resets >= SUSPECT_RESETS && self.resets > self.answers
    }
}
