//! The gossip state: small shared entries, each with a single writer. The newest generation and version of an entry
//! win.
//!
//! The entries are bounded in number, size and age. They spread with the membership messages, and digests reconcile
//! them after a partition.

use crate::gossip_entry::{EntryKey, EntryKind, GossipEntry};
use crate::identity::NameHash;
use crate::view::MAX_MEMBERS;
use cairnroad_types::{Seconds, Time};
use std::collections::BTreeMap;

pub use crate::gossip_entry::{
    GossipValue, MemberDescription, MemberPhase, MAX_OFFERS, MAX_REPORTED_OUTLIERS,
};

/// Maximum number of stored entries: one of each of the four kinds for every tracked member.
pub const MAX_ENTRIES: usize = 4 * MAX_MEMBERS;
/// How long an outlier report counts after it was received, in seconds; the data node may have recovered since.
pub const OUTLIER_REPORT_TTL: Seconds = 15.0;
/// How long entries of an absent writer are kept, in seconds: the report that it is gone and its last entries may
/// arrive in any order.
const ABSENT_RETENTION: Seconds = 60.0;
/// Number of buckets, by writer, into which entries are grouped for the digests of anti-entropy.
pub(crate) const DIGEST_BUCKETS: usize = 32;

/// One digest per bucket of writers.
pub(crate) type Digests = [u64; DIGEST_BUCKETS];

struct StoredEntry {
    entry: GossipEntry,
    received_at: Time,
}

/// Whether a writer is a live member, and otherwise since when it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Present,
    AbsentSince(Time),
}

/// All gossip entries that one coordinator knows.
#[derive(Default)]
pub struct GossipState {
    entries: BTreeMap<EntryKey, StoredEntry>,
    presence: BTreeMap<NameHash, Presence>,
}

impl GossipState {
    /// Stores an entry if it is valid and newer than the stored one. Returns whether it was stored, so that the caller
    /// passes only new entries on to other members.
    pub fn merge(&mut self, now: Time, entry: GossipEntry) -> bool {
        let key = entry.key();
        if !self.accepts(now, &entry) {
            return false;
        }
        if !self.entries.contains_key(&key) && self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        if self
            .newest_generation(entry.writer)
            .is_some_and(|newest| entry.generation > newest)
        {
            self.remove_writer(entry.writer);
        }
        self.presence
            .entry(entry.writer)
            .or_insert(Presence::AbsentSince(now));
        let stored = StoredEntry {
            entry,
            received_at: now,
        };
        self.entries.insert(key, stored);
        true
    }

    /// Returns whether an entry is valid, has not expired and is newer than the stored one.
    fn accepts(&self, now: Time, entry: &GossipEntry) -> bool {
        let has_expired = entry.expires_at().is_some_and(|expiry| expiry <= now);
        if has_expired || !entry.is_valid() {
            return false;
        }
        let newest_generation = self.newest_generation(entry.writer).unwrap_or(0);
        let stored_version = self
            .entries
            .get(&entry.key())
            .map(|stored| stored.entry.entry_version())
            .unwrap_or_default();
        entry.generation >= newest_generation && entry.entry_version() > stored_version
    }

    fn entries_of(&self, writer: NameHash) -> impl Iterator<Item = (&EntryKey, &StoredEntry)> {
        let first = EntryKey {
            writer,
            kind: EntryKind::Description,
        };
        let last = EntryKey {
            writer,
            kind: EntryKind::Departure,
        };
        self.entries.range(first..=last)
    }

    /// Returns the newest generation of a writer of which an entry is stored.
    fn newest_generation(&self, writer: NameHash) -> Option<u64> {
        self.entries_of(writer)
            .map(|(_, stored)| stored.entry.generation)
            .max()
    }

    /// Removes all entries of a writer: they are invalid once a later generation of the writer publishes.
    fn remove_writer(&mut self, writer: NameHash) {
        let keys: Vec<EntryKey> = self.entries_of(writer).map(|(key, _)| *key).collect();
        for key in keys {
            self.entries.remove(&key);
        }
    }

    /// Marks a writer as a live member.
    pub fn mark_present(&mut self, writer: NameHash) {
        self.presence.insert(writer, Presence::Present);
    }

    /// Marks a writer as no longer live. The retention time of its entries starts now.
    pub fn mark_absent(&mut self, now: Time, writer: NameHash) {
        self.presence.insert(writer, Presence::AbsentSince(now));
    }

    /// Removes expired entries, and entries of writers that have been absent for longer than the retention time.
    pub fn remove_expired(&mut self, now: Time) {
        self.presence.retain(|_, presence| match presence {
            Presence::Present => true,
            Presence::AbsentSince(since) => now - *since <= ABSENT_RETENTION,
        });
        let presence = &self.presence;
        self.entries
            .retain(|key, stored| match stored.entry.expires_at() {
                Some(expiry) => expiry > now,
                None => presence.contains_key(&key.writer),
            });
    }

    fn value(&self, writer: NameHash, kind: EntryKind) -> Option<&GossipValue> {
        let stored = self.entries.get(&EntryKey { writer, kind })?;
        Some(&stored.entry.value)
    }

    /// Returns a writer's description of itself.
    pub fn description(&self, writer: NameHash) -> Option<&MemberDescription> {
        match self.value(writer, EntryKind::Description)? {
            GossipValue::Description(description) => Some(description),
            _ => None,
        }
    }

    /// Returns a writer's name, if its description has arrived.
    pub fn name(&self, writer: NameHash) -> Option<String> {
        Some(self.description(writer)?.name.clone())
    }

    /// Returns the last phase that this generation of a writer published.
    pub fn phase(&self, writer: NameHash, generation: u64) -> Option<MemberPhase> {
        let kind = EntryKind::Phase;
        let entry = &self.entries.get(&EntryKey { writer, kind })?.entry;
        match entry.value {
            GossipValue::Phase(phase) if entry.generation == generation => Some(phase),
            _ => None,
        }
    }

    /// Returns, for each data node that other live members report as an outlier, the number of those members. Reports
    /// older than [`OUTLIER_REPORT_TTL`] don't count.
    pub fn outlier_reports(&self, now: Time, local: NameHash) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for (key, stored) in &self.entries {
            let GossipValue::Outliers(servers) = &stored.entry.value else {
                continue;
            };
            let is_fresh = now - stored.received_at <= OUTLIER_REPORT_TTL;
            if !is_fresh || !self.is_present(key.writer) || key.writer == local {
                continue;
            }
            for server in servers {
                *counts.entry(server.as_str()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns whether this generation of a writer, or a later one, announced that it leaves.
    pub fn has_left(&self, writer: NameHash, generation: u64) -> bool {
        let kind = EntryKind::Departure;
        self.entries
            .get(&EntryKey { writer, kind })
            .is_some_and(|stored| stored.entry.generation >= generation)
    }

    fn is_present(&self, writer: NameHash) -> bool {
        self.presence.get(&writer) == Some(&Presence::Present)
    }

    /// Returns the digests of all reconciled entries by bucket of writers. Members that store the same entries have
    /// equal digests.
    pub(crate) fn digests(&self) -> Digests {
        let mut digests = [0; DIGEST_BUCKETS];
        for entry in self.reconciled_entries() {
            digests[digest_bucket(entry.writer)] ^= entry.digest();
        }
        digests
    }

    /// Returns the entries in the buckets whose digests differ from those of another member.
    pub(crate) fn entries_differing_from(&self, peer_digests: &Digests) -> Vec<GossipEntry> {
        let own_digests = self.digests();
        self.reconciled_entries()
            .filter(|entry| {
                let bucket = digest_bucket(entry.writer);
                own_digests[bucket] != peer_digests[bucket]
            })
            .cloned()
            .collect()
    }

    /// Returns the entries that anti-entropy compares: those that outlive their writer, and those of live members
    /// except outlier reports.
    fn reconciled_entries(&self) -> impl Iterator<Item = &GossipEntry> {
        self.entries
            .values()
            .map(|stored| &stored.entry)
            .filter(|entry| {
                let outlives_writer = entry.expires_at().is_some();
                outlives_writer || entry.uses_anti_entropy() && self.is_present(entry.writer)
            })
    }

    /// Returns the number of stored entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries are stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the index of the digest bucket that a writer belongs to.
fn digest_bucket(writer: NameHash) -> usize {
    (writer.0 % DIGEST_BUCKETS as u64) as usize
}

#[cfg(test)]
mod tests;
