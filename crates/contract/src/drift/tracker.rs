//! Counts checked messages and their violations, within bounds.

use super::entry::{generalized_place, Entry, EntryKey, ObservedOperation};
use super::{
    Interface, UnixSeconds, MAX_ENTRIES, MAX_ENTRIES_PER_OPERATION, MAX_OPERATIONS, MAX_PARTIES,
    OTHER_PLACES, RETENTION_SECONDS,
};
use crate::conformance::Violation;
use crate::schema::Direction;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One message that was checked.
#[derive(Clone, Debug)]
pub struct Observation<'o> {
    /// The interface that the message belongs to.
    pub interface: Interface,
    /// The sender: a server's id, or the kind of party if individual senders are not known.
    pub party: &'o Arc<str>,
    /// The name of the operation.
    pub operation: &'o Arc<str>,
    /// The direction of the message.
    pub direction: Direction,
    /// The violations of the message.
    pub violations: &'o [Violation],
}

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownServer {
    /// The server's id.
    pub id: Arc<str>,
    /// The time at which the server started, in seconds since the Unix epoch; `None` if the server started long ago.
    pub started: Option<f64>,
}

/// The numbers of checked messages of one operation.
#[derive(Clone, Debug, Default)]
pub(super) struct OperationCounts {
    pub(super) messages: u64,
    pub(super) by_party: BTreeMap<Arc<str>, u64>,
}

/// Counts of checked messages and of their violations; see the [module](super).
#[derive(Clone, Debug, Default)]
pub struct DriftTracker {
    pub(super) entries: BTreeMap<EntryKey, Entry>,
    pub(super) operations: BTreeMap<ObservedOperation, OperationCounts>,
    pub(super) server_starts: BTreeMap<Arc<str>, Option<UnixSeconds>>,
    /// The number of messages checked.
    pub messages: u64,
    /// The number of messages with at least one violation.
    pub violating_messages: u64,
    /// The number of entries evicted to keep within [`MAX_ENTRIES`].
    pub evicted_entries: u64,
}

impl OperationCounts {
    /// Counts a message of a party. Returns the number of the party's messages that were counted before.
    fn count(&mut self, party: &Arc<str>) -> u64 {
        self.messages += 1;
        if self.by_party.len() >= MAX_PARTIES && !self.by_party.contains_key(party) {
            return 0;
        }
        let count = self.by_party.entry(party.clone()).or_default();
        let before = *count;
        *count += 1;
        before
    }
}

impl DriftTracker {
    /// Counts one message. Returns whether the message added an entry, or a party to an existing entry.
    pub fn record(&mut self, now: UnixSeconds, observation: &Observation) -> bool {
        self.messages += 1;
        let operation = observed_operation(observation);
        let valid_messages_before = self.count_message(&operation, observation.party);
        if observation.violations.is_empty() {
            return false;
        }
        self.violating_messages += 1;
        let mut is_new = false;
        // A message counts once for each place, no matter how many items of a list violate the description there.
        let mut places = BTreeSet::new();
        for violation in observation.violations {
            let place = generalized_place(&violation.place);
            if !places.insert((place.clone(), violation.kind)) {
                continue;
            }
            let key = self.key_within_bounds(EntryKey {
                operation: operation.clone(),
                place,
                kind: violation.kind,
            });
            let entry = self
                .entries
                .entry(key)
                .or_insert_with(|| Entry::new(now, violation));
            is_new |= entry.record(now, observation.party, violation, valid_messages_before);
        }
        is_new
    }

    /// Returns the number of the party's messages that were counted before; 0 for an operation beyond
    /// [`MAX_OPERATIONS`].
    fn count_message(&mut self, operation: &ObservedOperation, party: &Arc<str>) -> u64 {
        if self.operations.len() >= MAX_OPERATIONS && !self.operations.contains_key(operation) {
            return 0;
        }
        self.operations
            .entry(operation.clone())
            .or_default()
            .count(party)
    }

    /// Returns the key that a violation is counted under. Evicts the oldest entry if there is no room for another one.
    fn key_within_bounds(&mut self, mut key: EntryKey) -> EntryKey {
        if self.entries.contains_key(&key) {
            return key;
        }
        let entries_of_operation = self
            .entries
            .keys()
            .filter(|known| known.operation == key.operation)
            .count();
        if entries_of_operation >= MAX_ENTRIES_PER_OPERATION {
            key.place = OTHER_PLACES.into();
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&key) {
            self.evict_oldest();
        }
        key
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by(|a, b| a.1.last_seen.total_cmp(&b.1.last_seen))
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.entries.remove(&key);
            self.evicted_entries += 1;
        }
    }

    /// Applies a new endpoint list. The counts of servers that are not on the list are removed, and so are the entries
    /// that only those servers caused.
    pub fn update_servers(&mut self, list: &[KnownServer]) {
        self.server_starts = list
            .iter()
            .map(|server| (server.id.clone(), server.started))
            .collect();
        let servers = &self.server_starts;
        for (operation, counts) in &mut self.operations {
            if operation.interface == Interface::Servers {
                counts
                    .by_party
                    .retain(|party, _| servers.contains_key(party));
            }
        }
        self.entries.retain(|key, entry| {
            if key.operation.interface == Interface::Servers {
                entry.parties.retain(|party, _| servers.contains_key(party));
            }
            !entry.parties.is_empty() || entry.other_parties_count > 0
        });
    }

    /// Removes the entries without a violation in the last [`RETENTION_SECONDS`].
    pub fn expire(&mut self, now: UnixSeconds) {
        self.entries
            .retain(|_, entry| now - entry.last_seen <= RETENTION_SECONDS);
    }

    /// Removes all counts of an interface whose description was replaced.
    pub fn remove(&mut self, interface: Interface) {
        self.entries
            .retain(|key, _| key.operation.interface != interface);
        self.operations
            .retain(|operation, _| operation.interface != interface);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the key and entry that a violation was counted under.
    pub(super) fn entry_of(
        &self,
        observation: &Observation,
        violation: &Violation,
    ) -> Option<(EntryKey, &Entry)> {
        let mut key = EntryKey {
            operation: observed_operation(observation),
            place: generalized_place(&violation.place),
            kind: violation.kind,
        };
        if !self.entries.contains_key(&key) {
            key.place = OTHER_PLACES.into();
        }
        let entry = self.entries.get(&key)?;
        Some((key, entry))
    }
}

fn observed_operation(observation: &Observation) -> ObservedOperation {
    ObservedOperation {
        interface: observation.interface,
        operation: observation.operation.clone(),
        direction: observation.direction,
    }
}
