//! Attempts at a part: their ids, the form in which the core sends them, and their results.

use super::{ClientLiveness, ContractsInForce, IdempotencyKey, PartValue, Payload};
use crate::memory::MemoryReservation;
use cairnroad_types::{Outcome, RequestId, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// Identifies one attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The id of the part.
    pub part: RequestId,
    /// The number of the attempt among the attempts at the part, starting at 0.
    pub number: u8,
}

/// An attempt, with everything that a backend needs to send it.
#[derive(Clone, Debug)]
pub struct OutboundAttempt {
    /// Whether the attempt may still be sent. The core shares this flag and clears it when the attempt is cancelled or
    /// withdrawn, which takes effect wherever the attempt is queued: behind a dial or behind other frames.
    pub send_allowed: Rc<Cell<bool>>,
    /// The time from which the attempt must not be sent, for classes with a deduplication window: a part that may have
    /// run is repeated only within the window. `None` if there is no such limit.
    pub send_by: Option<Time>,
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The external id of the request.
    pub external_id: Arc<str>,
    /// The name of the request's class.
    pub class: Arc<str>,
    /// The shard that the part queries.
    pub shard: u32,
    /// The idempotency key of the request, the same for all attempts; `None` unless the class is keyed.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The payload of the request.
    pub payload: Payload,
    /// The time at which the core stops waiting for the answer.
    pub deadline: Time,
    /// The descriptions that the server's answer is checked against.
    pub contracts: ContractsInForce,
    /// Whether the client of the request is known to be connected.
    pub client: ClientLiveness,
    /// The reservation of the request's payload, which is kept for as long as an attempt holds the payload.
    #[expect(
        dead_code,
        reason = "it is held for its drop, which releases the memory"
    )]
    pub memory: Option<Rc<MemoryReservation>>,
}

impl OutboundAttempt {
    /// Returns whether sending the attempt may begin at `now`.
    pub fn may_be_sent(&self, now: Time) -> bool {
        self.send_allowed.get()
            && self.send_by.is_none_or(|by| now < by)
            && self.client.is_confirmed(now)
    }
}

/// The result of an attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The server's value; present only if the outcome is `Ok`.
    pub value: Option<PartValue>,
}
