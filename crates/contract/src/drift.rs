//! The drift ledger: which interfaces depart from their descriptions, where, since when, and on whose side. Bounded
//! whatever comes; free of I/O and clock.

use crate::conformance::{Violation, ViolationKind};
use crate::schema::Direction;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// The most entries.
pub const MAX_ENTRIES: usize = 512;
/// The most entries of one interface and operation. Members' names that a sender makes up are places of their own and
/// would push all else out; beyond this bound they share one entry.
pub const MAX_ENTRIES_PER_OPERATION: usize = 32;
/// The most parties that an entry or an operation tells apart.
pub const MAX_PARTIES: usize = 128;
/// The most operations that checks are counted for.
const MAX_OPERATIONS: usize = 1024;
/// An entry that has not come up for so long is dropped, in seconds: what was mended should leave the list within a
/// shift, and what comes up once an hour should stay on it.
pub const RETENTION_SECONDS: f64 = 2.0 * 3600.0;
/// What stands for the places beyond [`MAX_ENTRIES_PER_OPERATION`].
const OTHER_PLACES: &str = "(other places)";

/// Whose traffic it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Interface {
    /// Clients of the platform's protocol.
    Platform,
    /// Clients of the query API.
    Query,
    /// Servers, whichever wire they speak.
    Servers,
    /// The agent that tells the list of servers.
    Discovery,
}

impl fmt::Display for Interface {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Interface::Platform => "platform",
            Interface::Query => "query",
            Interface::Servers => "servers",
            Interface::Discovery => "discovery",
        })
    }
}

/// One message that was held against its description.
#[derive(Clone, Debug)]
pub struct Observation<'o> {
    /// Whose traffic it is.
    pub interface: Interface,
    /// Who sent it: a server's id, or the kind of party where they can't be told apart.
    pub party: &'o Arc<str>,
    /// The operation's name.
    pub operation: &'o Arc<str>,
    /// Which way it went.
    pub direction: Direction,
    /// What departs in it.
    pub violations: &'o [Violation],
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObservedOperation {
    interface: Interface,
    operation: Arc<str>,
    direction: Direction,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    operation: ObservedOperation,
    place: String,
    kind: ViolationKind,
}

/// What is counted of a party.
#[derive(Clone, Copy, Debug)]
struct PartyRecord {
    first: f64,
    last: f64,
    count: u64,
    /// Messages of the party that kept to the description before the first that did not.
    good_before: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    first: f64,
    last: f64,
    count: u64,
    example: Violation,
    parties: BTreeMap<Arc<str>, PartyRecord>,
    /// Departures of parties that found no room.
    others: u64,
}

#[derive(Clone, Debug, Default)]
struct OperationCounts {
    count: u64,
    by: BTreeMap<Arc<str>, u64>,
}

/// A server as membership tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownServer {
    /// Its id.
    pub id: Arc<str>,
    /// When it started, in Unix seconds; `None`: long ago.
    pub started: Option<f64>,
}

/// An entry as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DriftEntry {
    /// Whose traffic it is.
    pub interface: Interface,
    /// The operation's name.
    pub operation: String,
    /// Which way it went.
    pub direction: Direction,
    /// Where in the message; list items are `*`.
    pub place: String,
    /// How it departs.
    pub kind: ViolationKind,
    /// Unix seconds of the first and the last one.
    pub first: f64,
    /// See `first`.
    pub last: f64,
    /// Messages that depart here.
    pub count: u64,
    /// `count` as a share of the messages of this operation and direction that were looked at.
    pub share: f64,
    /// The last one that was seen.
    pub example: Violation,
    /// Who sends it, and how often; the first to begin stands first.
    pub parties: Vec<(String, u64)>,
    /// How many of the parties whose messages were looked at send it, and of how many.
    pub of: (usize, usize),
    /// The row as a sentence.
    pub summary: String,
}

/// See the module's page.
#[derive(Clone, Debug, Default)]
pub struct DriftTracker {
    entries: BTreeMap<EntryKey, Entry>,
    checked: BTreeMap<ObservedOperation, OperationCounts>,
    servers: BTreeMap<Arc<str>, Option<f64>>,
    /// Messages looked at, and those of them that depart.
    pub messages: u64,
    /// See `messages`.
    pub departing: u64,
    /// Entries that were dropped for want of room.
    pub dropped: u64,
}

/// A place with its lists' numbers left out: each item of a list is the same place of the description.
fn place_of(place: &str) -> String {
    let number = |step: &&str| !step.is_empty() && step.bytes().all(|b| b.is_ascii_digit());
    place
        .split('/')
        .map(|step| if number(&step) { "*" } else { step })
        .collect::<Vec<_>>()
        .join("/")
}

impl DriftTracker {
    /// Notes one message. Returns whether it shows something new: an entry, or a party of one.
    pub fn record(&mut self, now: f64, observation: &Observation) -> bool {
        self.messages += 1;
        let operation = ObservedOperation {
            interface: observation.interface,
            operation: observation.operation.clone(),
            direction: observation.direction,
        };
        let room = self.checked.len() < MAX_OPERATIONS;
        let mut good_before = 0;
        if room || self.checked.contains_key(&operation) {
            let checked = self.checked.entry(operation.clone()).or_default();
            checked.count += 1;
            if checked.by.len() < MAX_PARTIES || checked.by.contains_key(observation.party) {
                let count = checked.by.entry(observation.party.clone()).or_default();
                good_before = *count;
                *count += 1;
            }
        }
        if observation.violations.is_empty() {
            return false;
        }
        self.departing += 1;
        let mut new = false;
        // A message counts once for each place, however many items of a list depart there.
        let mut places = BTreeSet::new();
        for departure in observation.violations {
            let place = place_of(&departure.place);
            if places.insert((place.clone(), departure.kind)) {
                let key = EntryKey {
                    operation: operation.clone(),
                    place,
                    kind: departure.kind,
                };
                new |= self.enter(now, key, observation.party, departure, good_before);
            }
        }
        new
    }

    fn enter(
        &mut self,
        now: f64,
        mut key: EntryKey,
        party: &Arc<str>,
        departure: &Violation,
        good_before: u64,
    ) -> bool {
        if !self.entries.contains_key(&key) {
            if self
                .entries
                .keys()
                .filter(|known| known.operation == key.operation)
                .count()
                >= MAX_ENTRIES_PER_OPERATION
            {
                key.place = OTHER_PLACES.into();
            }
            if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&key) {
                let oldest = self
                    .entries
                    .iter()
                    .min_by(|a, b| a.1.last.total_cmp(&b.1.last));
                if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                    self.entries.remove(&oldest);
                    self.dropped += 1;
                }
            }
        }
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            first: now,
            last: now,
            count: 0,
            example: departure.clone(),
            parties: BTreeMap::new(),
            others: 0,
        });
        let new = entry.count == 0;
        entry.count += 1;
        entry.last = entry.last.max(now);
        entry.example = departure.clone();
        if let Some(span) = entry.parties.get_mut(party) {
            span.last = now;
            span.count += 1;
            return new;
        }
        if entry.parties.len() >= MAX_PARTIES {
            entry.others += 1;
            return new;
        }
        entry.parties.insert(
            party.clone(),
            PartyRecord {
                first: now,
                last: now,
                count: 1,
                good_before,
            },
        );
        true
    }

    /// Takes in the list of servers. One that is not on it was replaced and is forgotten: what only it did leaves the
    /// ledger with it.
    pub fn update_servers(&mut self, list: &[KnownServer]) {
        self.servers = list
            .iter()
            .map(|server| (server.id.clone(), server.started))
            .collect();
        let servers = &self.servers;
        for (operation, checked) in &mut self.checked {
            if operation.interface == Interface::Servers {
                checked.by.retain(|party, _| servers.contains_key(party));
            }
        }
        self.entries.retain(|key, entry| {
            if key.operation.interface == Interface::Servers {
                entry.parties.retain(|party, _| servers.contains_key(party));
            }
            !entry.parties.is_empty() || entry.others > 0
        });
    }

    /// Drops what has not come up for long.
    pub fn expire(&mut self, now: f64) {
        self.entries
            .retain(|_, entry| now - entry.last <= RETENTION_SECONDS);
    }

    /// Drops all of an interface: its description is another one now.
    pub fn remove(&mut self, interface: Interface) {
        self.entries
            .retain(|key, _| key.operation.interface != interface);
        self.checked
            .retain(|operation, _| operation.interface != interface);
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing departs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries, the latest first.
    pub fn rows(&self) -> Vec<DriftEntry> {
        let mut rows: Vec<DriftEntry> = self
            .entries
            .iter()
            .map(|(key, entry)| self.row(key, entry))
            .collect();
        rows.sort_by(|a, b| b.last.total_cmp(&a.last));
        rows
    }

    /// The entry of a departure that was just noted, in one sentence.
    pub fn summary(&self, observation: &Observation, departure: &Violation) -> Option<String> {
        let operation = ObservedOperation {
            interface: observation.interface,
            operation: observation.operation.clone(),
            direction: observation.direction,
        };
        let mut key = EntryKey {
            operation,
            place: place_of(&departure.place),
            kind: departure.kind,
        };
        if !self.entries.contains_key(&key) {
            key.place = OTHER_PLACES.into();
        }
        self.entries
            .get(&key)
            .map(|entry| self.row(&key, entry).summary)
    }

    fn row(&self, key: &EntryKey, entry: &Entry) -> DriftEntry {
        let checked = self.checked.get(&key.operation);
        let looked_at = checked
            .map_or(entry.count, |checked| checked.count)
            .max(entry.count);
        let mut parties: Vec<(&Arc<str>, &PartyRecord)> = entry.parties.iter().collect();
        parties.sort_by(|a, b| a.1.first.total_cmp(&b.1.first));
        let all = checked
            .map_or(parties.len(), |checked| checked.by.len())
            .max(parties.len());
        DriftEntry {
            interface: key.operation.interface,
            operation: key.operation.operation.to_string(),
            direction: key.operation.direction,
            place: key.place.clone(),
            kind: key.kind,
            first: entry.first,
            last: entry.last,
            count: entry.count,
            share: entry.count as f64 / looked_at.max(1) as f64,
            example: entry.example.clone(),
            of: (parties.len(), all),
            summary: self.sentence(key, entry, &parties, all),
            parties: parties
                .into_iter()
                .map(|(party, span)| (party.to_string(), span.count))
                .collect(),
        }
    }

    fn sentence(
        &self,
        key: &EntryKey,
        entry: &Entry,
        parties: &[(&Arc<str>, &PartyRecord)],
        all: usize,
    ) -> String {
        let example = &entry.example;
        let what = format!(
            "{}, {}: wanted {}, found {}",
            key.operation.operation, key.place, example.expected, example.found
        );
        if key.operation.interface != Interface::Servers {
            return format!(
                "{}: {what} ({} times since {})",
                key.operation.interface,
                entry.count,
                clock(entry.first)
            );
        }
        const NAMED: usize = 4;
        let names: Vec<&str> = parties
            .iter()
            .take(NAMED)
            .map(|(party, _)| party.as_ref())
            .collect();
        let names = match parties.len() > NAMED {
            true => format!("{} and {} more", names.join(", "), parties.len() - NAMED),
            false => names.join(", "),
        };
        // A change in service: they kept to the description before.
        let began = parties.iter().all(|(_, span)| span.good_before > 0);
        let verb = if began { "began to depart" } else { "depart" };
        let newer = if self.newer(parties) {
            ", all of them newer than the rest"
        } else {
            ""
        };
        format!(
            "{} of {all} servers ({names}) {verb} at {}{newer}: {what}",
            parties.len(),
            clock(entry.first)
        )
    }

    /// Whether those that depart all started after all that do not.
    fn newer(&self, parties: &[(&Arc<str>, &PartyRecord)]) -> bool {
        let departing: BTreeSet<&Arc<str>> = parties.iter().map(|(party, _)| *party).collect();
        let started = |id: &Arc<str>| self.servers.get(id).copied().flatten();
        let Some(oldest) = departing
            .iter()
            .map(|id| started(id))
            .try_fold(f64::MAX, |least, at| Some(least.min(at?)))
        else {
            return false;
        };
        let rest: Vec<_> = self
            .servers
            .keys()
            .filter(|id| !departing.contains(id))
            .collect();
        // A server without a start time started long ago.
        !rest.is_empty()
            && !departing.is_empty()
            && rest
                .iter()
                .all(|id| started(id).unwrap_or(f64::MIN) < oldest)
    }
}

/// The time of day of a moment in Unix seconds, in UTC.
pub fn clock(at: f64) -> String {
    let secs = at.max(0.0) as u64 % 86_400;
    format!(
        "{:02}:{:02}:{:02} UTC",
        secs / 3600,
        secs / 60 % 60,
        secs % 60
    )
}

#[cfg(test)]
mod tests;
