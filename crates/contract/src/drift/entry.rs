//! The counts for one kind of violation at one place of an operation.

use super::{Interface, UnixSeconds, MAX_PARTIES};
use crate::conformance::{Violation, ViolationKind};
use crate::schema::Direction;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One direction of an operation of an interface.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObservedOperation {
    pub(super) interface: Interface,
    pub(super) operation: Arc<str>,
    pub(super) direction: Direction,
}

/// The key of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryKey {
    pub(super) operation: ObservedOperation,
    pub(super) place: String,
    pub(super) kind: ViolationKind,
}

/// The violations of one party.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartyRecord {
    pub(super) first_seen: UnixSeconds,
    pub(super) count: u64,
    /// The number of valid messages of the party before its first violation.
    pub(super) valid_messages_before: u64,
}

/// The violations of one key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) first_seen: UnixSeconds,
    pub(super) last_seen: UnixSeconds,
    pub(super) count: u64,
    pub(super) example: Violation,
    pub(super) parties: BTreeMap<Arc<str>, PartyRecord>,
    /// The number of violations of parties beyond [`MAX_PARTIES`].
    pub(super) other_parties_count: u64,
}

impl Entry {
    /// Creates an entry without violations.
    pub(super) fn new(now: UnixSeconds, example: &Violation) -> Self {
        Entry {
            first_seen: now,
            last_seen: now,
            count: 0,
            example: example.clone(),
            parties: BTreeMap::new(),
            other_parties_count: 0,
        }
    }

    /// Counts a violation. Returns whether the entry or its party is new.
    pub(super) fn record(
        &mut self,
        now: UnixSeconds,
        party: &Arc<str>,
        violation: &Violation,
        valid_messages_before: u64,
    ) -> bool {
        let is_new_entry = self.count == 0;
        self.count += 1;
        self.last_seen = self.last_seen.max(now);
        self.example = violation.clone();
        if let Some(record) = self.parties.get_mut(party) {
            record.count += 1;
            return is_new_entry;
        }
        if self.parties.len() >= MAX_PARTIES {
            self.other_parties_count += 1;
            return is_new_entry;
        }
        let record = PartyRecord {
            first_seen: now,
            count: 1,
            valid_messages_before,
        };
        self.parties.insert(party.clone(), record);
        true
    }
}

/// Replaces the list indexes of a place by `*`, since all items of a list are one place of the description.
pub(super) fn generalized_place(place: &str) -> String {
    let is_index = |step: &str| !step.is_empty() && step.bytes().all(|byte| byte.is_ascii_digit());
    place
        .split('/')
        .map(|step| if is_index(step) { "*" } else { step })
        .collect::<Vec<_>>()
        .join("/")
}
