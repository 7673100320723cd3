//! Tracks the answers that a connection awaits, and classifies answers that match no awaited part.

use super::codec::part_id;
use super::fault::ConnectionFault;
use crate::messages::{AttemptId, ContractsInForce, OutboundAttempt};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of cancelled parts per connection for which a late answer is recognized; far more than a connection
/// has in flight at a time.
const MAX_CANCELLED_IDS: usize = 512;

/// A part whose frame has been written completely and whose answer is awaited.
pub(super) struct AwaitedPart {
    pub(super) attempt: AttemptId,
    /// The descriptions that the answer is checked against.
    pub(super) contracts: ContractsInForce,
}

/// The answers that a connection awaits.
#[derive(Default)]
pub(super) struct AwaitedAnswers {
    /// Awaited parts by their ids in frames.
    in_flight: BTreeMap<String, AwaitedPart>,
    /// The ids in frames of the awaited parts.
    ids: BTreeMap<AttemptId, String>,
    /// Ids of cancelled parts, oldest first. A late answer to a cancelled part is not a fault of the server.
    cancelled_ids: VecDeque<String>,
    /// The id of the part that was answered last. It distinguishes a duplicate answer from an answer to a part that was
    /// never sent.
    last_answered_id: String,
    /// Number of health checks that were sent and not answered yet.
    pub(super) pending_health_checks: u32,
    /// Whether a duplicate answer was received. Later answers can't be trusted then, so no further calls are written.
    poisoned: bool,
}

impl AwaitedAnswers {
    /// Returns whether no answer to a part is awaited.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns whether a duplicate answer was received.
    pub(super) fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    /// Records that the answer to a part is awaited.
    pub(super) fn expect(&mut self, part: OutboundAttempt) {
        let id = part_id(&part);
        self.ids.insert(part.attempt, id.clone());
        let awaited = AwaitedPart {
            attempt: part.attempt,
            contracts: part.contracts,
        };
        self.in_flight.insert(id, awaited);
    }

    /// Stops awaiting the answer to an attempt. Returns its id in frames; `None` if its frame was not written yet or it
    /// has already been answered.
    pub(super) fn cancel(&mut self, attempt: AttemptId) -> Option<String> {
        let id = self.ids.remove(&attempt)?;
        self.in_flight.remove(&id);
        if self.cancelled_ids.len() == MAX_CANCELLED_IDS {
            self.cancelled_ids.pop_front();
        }
        self.cancelled_ids.push_back(id.clone());
        Some(id)
    }

    /// Removes and returns the awaited part with this id, which has been answered; `None` if there is no such part.
    pub(super) fn take(&mut self, id: &str) -> Option<AwaitedPart> {
        let awaited = self.in_flight.remove(id)?;
        self.ids.remove(&awaited.attempt);
        self.last_answered_id.replace_range(.., id);
        Some(awaited)
    }

    /// Classifies an answer that matches no awaited part: it is late, a duplicate, or has an unknown id. An unknown id
    /// is an error, because the answer was probably meant for one of the awaited parts, which would wait for its
    /// timeout.
    pub(super) fn on_unmatched(&mut self, id: &str) -> Result<(), ConnectionFault> {
        let mut cancelled = self.cancelled_ids.iter();
        if let Some(position) = cancelled.position(|cancelled_id| cancelled_id == id) {
            self.cancelled_ids.remove(position);
        } else if self.last_answered_id == id {
            self.poisoned = true;
        } else {
            return Err(ConnectionFault::UnknownId(id.to_string()));
        }
        Ok(())
    }

    /// Removes and returns all parts whose answers are still awaited.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = AwaitedPart> {
        std::mem::take(&mut self.in_flight).into_values()
    }
}
