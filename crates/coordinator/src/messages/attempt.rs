//! Attempts of a part, as the core sends them and as they end.

use super::{ContractsInForce, PartValue, Payload};
use cairnroad_types::{Outcome, RequestId, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// Identifies one attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// Counts the part's attempts from 0.
    pub number: u8,
}

/// An attempt as a backend sends it.
#[derive(Clone, Debug)]
pub struct OutboundAttempt {
    /// Whether the attempt is still to be sent. The core clears it at once, wherever the attempt is queued: behind a
    /// dial or behind other frames.
    pub wanted: Rc<Cell<bool>>,
    /// When sending may no longer begin, for classes with a deduplication window: a part that may have run is repeated
    /// only within the window.
    pub send_by: Option<Time>,
    /// Which attempt it is.
    pub attempt: AttemptId,
    /// The request's name.
    pub external_id: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The part's shard.
    pub shard: u32,
    /// The request's payload.
    pub payload: Payload,
    /// When the core stops waiting for the answer.
    pub deadline: Time,
    /// The descriptions that the server's answer is checked against.
    pub contracts: ContractsInForce,
}

impl OutboundAttempt {
    /// Whether sending may begin now.
    pub fn may_be_sent(&self, now: Time) -> bool {
        self.wanted.get() && self.send_by.is_none_or(|by| now < by)
    }
}

/// How an attempt ended, and its value if the server answered with one.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// The server's value.
    pub value: Option<PartValue>,
}
