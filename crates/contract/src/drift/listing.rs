//! Lists the entries for operators, with counts, shares and a one-sentence summary.

use super::entry::{Entry, EntryKey, PartyRecord};
use super::tracker::{DriftTracker, Observation};
use super::{Interface, UnixSeconds};
use crate::conformance::{Violation, ViolationKind};
use crate::schema::Direction;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The largest number of servers that a summary names.
const MAX_NAMED_SERVERS: usize = 4;

/// One entry of the drift report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DriftEntry {
    /// The interface that the entry belongs to.
    pub interface: Interface,
    /// The name of the operation.
    pub operation: String,
    /// The direction of the messages.
    pub direction: Direction,
    /// The place in the message; `*` stands for any item of a list.
    pub place: String,
    /// The rule that is violated.
    pub kind: ViolationKind,
    /// The time of the first violation.
    #[serde(rename = "first")]
    pub first_seen: UnixSeconds,
    /// The time of the last violation.
    #[serde(rename = "last")]
    pub last_seen: UnixSeconds,
    /// The number of messages with this violation.
    pub count: u64,
    /// `count` as a share of the checked messages of this operation and direction, from 0 to 1.
    pub share: f64,
    /// The most recent violation.
    pub example: Violation,
    /// The parties that cause the violation, ordered by their first violation.
    pub parties: Vec<PartyCount>,
    /// The number of parties that cause the violation, and of those whose messages were checked.
    #[serde(rename = "of")]
    pub party_counts: PartyCounts,
    /// A summary of the entry in one sentence.
    pub summary: String,
}

/// The number of violations of one party. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, u64)")]
pub struct PartyCount {
    /// The party: a server's id, or a kind of party.
    pub party: String,
    /// The number of the party's messages with the violation.
    pub count: u64,
}

/// The number of parties that cause a violation, and of those that were checked. Serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct PartyCounts {
    /// The number of parties that cause the violation.
    pub violating: usize,
    /// The number of parties whose messages were checked.
    pub checked: usize,
}

/// The parties of an entry, ordered by their first violation.
type Parties<'e> = [(&'e Arc<str>, &'e PartyRecord)];

impl From<PartyCount> for (String, u64) {
    fn from(count: PartyCount) -> Self {
        (count.party, count.count)
    }
}

impl From<PartyCounts> for (usize, usize) {
    fn from(counts: PartyCounts) -> Self {
        (counts.violating, counts.checked)
    }
}

impl DriftTracker {
    /// Returns all entries, ordered from the most recent violation to the oldest.
    pub fn rows(&self) -> Vec<DriftEntry> {
        let mut rows: Vec<DriftEntry> = self
            .entries
            .iter()
            .map(|(key, entry)| self.row(key, entry))
            .collect();
        rows.sort_by(|a, b| b.last_seen.total_cmp(&a.last_seen));
        rows
    }

    /// Summarizes the entry of a violation that was just recorded in one sentence.
    pub fn summary(&self, observation: &Observation, violation: &Violation) -> Option<String> {
        let (key, entry) = self.entry_of(observation, violation)?;
        Some(self.row(&key, entry).summary)
    }

    fn row(&self, key: &EntryKey, entry: &Entry) -> DriftEntry {
        let counts = self.operations.get(&key.operation);
        let checked_messages = counts.map_or(0, |counts| counts.messages).max(entry.count);
        let checked_parties = counts.map_or(0, |counts| counts.by_party.len());
        let mut parties: Vec<(&Arc<str>, &PartyRecord)> = entry.parties.iter().collect();
        parties.sort_by(|a, b| a.1.first_seen.total_cmp(&b.1.first_seen));
        let party_counts = PartyCounts {
            violating: parties.len(),
            checked: checked_parties.max(parties.len()),
        };
        DriftEntry {
            interface: key.operation.interface,
            operation: key.operation.operation.to_string(),
            direction: key.operation.direction,
            place: key.place.clone(),
            kind: key.kind,
            first_seen: entry.first_seen,
            last_seen: entry.last_seen,
            count: entry.count,
            share: entry.count as f64 / checked_messages.max(1) as f64,
            example: entry.example.clone(),
            party_counts,
            summary: self.sentence(key, entry, &parties, party_counts),
            parties: parties
                .into_iter()
                .map(|(party, record)| PartyCount {
                    party: party.to_string(),
                    count: record.count,
                })
                .collect(),
        }
    }

    fn sentence(
        &self,
        key: &EntryKey,
        entry: &Entry,
        parties: &Parties,
        counts: PartyCounts,
    ) -> String {
        let operation = &key.operation.operation;
        let example = &entry.example;
        let violation = format!(
            "{operation}, {}: wanted {}, found {}",
            key.place, example.expected, example.found
        );
        let since = clock(entry.first_seen);
        let interface = key.operation.interface;
        if interface != Interface::Servers {
            let count = entry.count;
            return format!("{interface}: {violation} ({count} times since {since})");
        }
        // Valid messages before the first violation indicate that the server changed while in service.
        let began = parties
            .iter()
            .all(|(_, record)| record.valid_messages_before > 0);
        let verb = if began { "began to depart" } else { "depart" };
        let newer = if self.are_newest_servers(parties) {
            ", all of them newer than the rest"
        } else {
            ""
        };
        format!(
            "{} of {} servers ({}) {verb} at {since}{newer}: {violation}",
            counts.violating,
            counts.checked,
            server_names(parties)
        )
    }

    /// Returns whether all of these servers started after all other servers, which makes a new version the likely
    /// cause.
    fn are_newest_servers(&self, parties: &Parties) -> bool {
        let violating: BTreeSet<&Arc<str>> = parties.iter().map(|(party, _)| *party).collect();
        let started = |id: &Arc<str>| self.server_starts.get(id).copied().flatten();
        let oldest = violating
            .iter()
            .map(|id| started(id))
            .try_fold(f64::MAX, |oldest, start| Some(oldest.min(start?)));
        let Some(oldest) = oldest else {
            return false;
        };
        let others: Vec<_> = self
            .server_starts
            .keys()
            .filter(|id| !violating.contains(id))
            .collect();
        // A server without a start time started long ago.
        let others_are_older = others
            .iter()
            .all(|id| started(id).unwrap_or(f64::MIN) < oldest);
        !others.is_empty() && !violating.is_empty() && others_are_older
    }
}

fn server_names(parties: &Parties) -> String {
    let names: Vec<&str> = parties
        .iter()
        .take(MAX_NAMED_SERVERS)
        .map(|(party, _)| party.as_ref())
        .collect();
    let names = names.join(", ");
    match parties.len().checked_sub(MAX_NAMED_SERVERS) {
        Some(more) if more > 0 => format!("{names} and {more} more"),
        _ => names,
    }
}

/// Formats the time of day of a timestamp, in UTC.
pub fn clock(at: UnixSeconds) -> String {
    let seconds = at.max(0.0) as u64 % 86_400;
    format!(
        "{:02}:{:02}:{:02} UTC",
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60
    )
}
