//! The answers that a connection awaits, and what becomes of those that match no part.

use super::codec::part_id;
use super::fault::ConnectionFault;
use crate::messages::{AttemptId, ContractsInForce, OutboundAttempt};
use std::collections::{BTreeMap, VecDeque};

/// Cancelled parts of a connection that may still be answered. Far more than a connection carries at a time.
const MAX_CANCELLED: usize = 512;

/// A part whose frame is completely written.
pub(super) struct AwaitedPart {
    pub(super) attempt: AttemptId,
    /// The descriptions that its answer is checked against.
    pub(super) contracts: ContractsInForce,
}

/// The answers that a connection awaits.
#[derive(Default)]
pub(super) struct AwaitedAnswers {
    /// Parts by their ids on this wire.
    in_flight: BTreeMap<String, AwaitedPart>,
    ids: BTreeMap<AttemptId, String>,
    /// Ids of cancelled parts, the latest last: a late answer to one is no fault of the server.
    cancelled: VecDeque<String>,
    /// The id that was answered last: a duplicate of that answer is distinguished from one to a part never sent.
    last_answered: String,
    /// Health checks that are written and not answered.
    pub(super) health_checks: u32,
    /// A duplicate answer was received: what follows can't be trusted, so nothing new is written.
    poisoned: bool,
}

impl AwaitedAnswers {
    /// Whether no part's answer is awaited.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether a duplicate answer was received.
    pub(super) fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    /// Awaits the answer to a part.
    pub(super) fn expect(&mut self, part: OutboundAttempt) {
        let id = part_id(&part);
        self.ids.insert(part.attempt, id.clone());
        let awaited = AwaitedPart {
            attempt: part.attempt,
            contracts: part.contracts,
        };
        self.in_flight.insert(id, awaited);
    }

    /// Stops awaiting the answer to an attempt. Returns its id, if its frame was written.
    pub(super) fn cancel(&mut self, attempt: AttemptId) -> Option<String> {
        let id = self.ids.remove(&attempt)?;
        self.in_flight.remove(&id);
        if self.cancelled.len() == MAX_CANCELLED {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(id.clone());
        Some(id)
    }

    /// Takes the part that an answer is for; `None` if none is awaited under this id.
    pub(super) fn take(&mut self, id: &str) -> Option<AwaitedPart> {
        let awaited = self.in_flight.remove(id)?;
        self.ids.remove(&awaited.attempt);
        self.last_answered.replace_range(.., id);
        Some(awaited)
    }

    /// Judges an answer that matches no awaited part: it is late, a duplicate, or malformed. In the last case one of
    /// the awaited parts was meant, and would wait for its timeout.
    pub(super) fn on_unmatched(&mut self, id: &str) -> Result<(), ConnectionFault> {
        if let Some(at) = self.cancelled.iter().position(|cancelled| cancelled == id) {
            self.cancelled.remove(at);
        } else if self.last_answered == id {
            self.poisoned = true;
        } else {
            return Err(ConnectionFault::UnknownId);
        }
        Ok(())
    }

    /// Takes all parts whose answers are still awaited.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = AwaitedPart> {
        std::mem::take(&mut self.in_flight).into_values()
    }
}
