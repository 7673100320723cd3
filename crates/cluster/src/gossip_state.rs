//! The gossip state: small shared entries, each with one writer, of which the newest generation and version win.
//!
//! Bounded in number, size and age. Entries spread with the membership messages and are reconciled by digests after a
//! partition.

use crate::gossip_entry::{EntryKey, EntryKind, GossipEntry};
use crate::identity::NameHash;
use crate::view::MAX_MEMBERS;
use cairnroad_types::{Seconds, Time};
use std::collections::BTreeMap;

pub use crate::gossip_entry::{
    GossipValue, MemberDescription, MemberPhase, MAX_OFFERS, MAX_REPORTED_OUTLIERS,
};

/// Most entries that are stored: one of each kind for every tracked member.
pub const MAX_ENTRIES: usize = 4 * MAX_MEMBERS;
/// How long an outlier report counts after it was received: the data node may have recovered since.
pub const OUTLIER_REPORT_TTL: Seconds = 15.0;
/// How long entries of an absent writer are kept: news of its end and its last entries may arrive in any order.
const ABSENT_RETENTION: Seconds = 60.0;
/// Into how many buckets, by writer, entries are digested for anti-entropy.
pub(crate) const DIGEST_BUCKETS: usize = 32;

/// One digest a bucket of writers.
pub(crate) type Digests = [u64; DIGEST_BUCKETS];

struct StoredEntry {
    entry: GossipEntry,
    received_at: Time,
}

/// Whether a writer is a live member.
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
    /// Stores an entry if it is newer than what is known. Returns whether it was, so that it is passed on.
    pub fn merge(&mut self, now: Time, entry: GossipEntry) -> bool {
        let key = entry.key();
        if !self.is_news(now, &entry) {
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

    fn is_news(&self, now: Time, entry: &GossipEntry) -> bool {
        let has_expired = entry.expires_at().is_some_and(|expiry| expiry <= now);
        if has_expired || !entry.is_valid() {
            return false;
        }
        let newest_generation = self.newest_generation(entry.writer).unwrap_or(0);
        let known = self
            .entries
            .get(&entry.key())
            .map(|stored| stored.entry.entry_version())
            .unwrap_or_default();
        entry.generation >= newest_generation && entry.entry_version() > known
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

    /// The newest generation of a writer that has published anything known here.
    fn newest_generation(&self, writer: NameHash) -> Option<u64> {
        self.entries_of(writer)
            .map(|(_, stored)| stored.entry.generation)
            .max()
    }

    /// Removes what an earlier generation of a writer published: it is void.
    fn remove_writer(&mut self, writer: NameHash) {
        let keys: Vec<EntryKey> = self.entries_of(writer).map(|(key, _)| *key).collect();
        for key in keys {
            self.entries.remove(&key);
        }
    }

    /// Notes that a writer is a live member.
    pub fn mark_present(&mut self, writer: NameHash) {
        self.presence.insert(writer, Presence::Present);
    }

    /// Notes that a writer is no live member any more; its entries expire from now on.
    pub fn mark_absent(&mut self, now: Time, writer: NameHash) {
        self.presence.insert(writer, Presence::AbsentSince(now));
    }

    /// Removes entries of writers that have been absent for long.
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

    /// A writer's description of itself.
    pub fn description(&self, writer: NameHash) -> Option<&MemberDescription> {
        match self.value(writer, EntryKind::Description)? {
            GossipValue::Description(description) => Some(description),
            _ => None,
        }
    }

    /// A writer's name, if its description has arrived.
    pub fn name(&self, writer: NameHash) -> Option<String> {
        Some(self.description(writer)?.name.clone())
    }

    /// The last phase that this generation of a writer published.
    pub fn phase(&self, writer: NameHash, generation: u64) -> Option<MemberPhase> {
        let kind = EntryKind::Phase;
        let entry = &self.entries.get(&EntryKey { writer, kind })?.entry;
        match entry.value {
            GossipValue::Phase(phase) if entry.generation == generation => Some(phase),
            _ => None,
        }
    }

    /// For each data node that other live members report as an outlier, how many do. Old reports don't count.
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

    /// Whether this generation of a writer, or a later one, announced that it leaves.
    pub fn has_left(&self, writer: NameHash, generation: u64) -> bool {
        let kind = EntryKind::Departure;
        self.entries
            .get(&EntryKey { writer, kind })
            .is_some_and(|stored| stored.entry.generation >= generation)
    }

    fn is_present(&self, writer: NameHash) -> bool {
        self.presence.get(&writer) == Some(&Presence::Present)
    }

    /// Digests of all reconciled entries by bucket of writers: equal where the same entries are known.
    pub(crate) fn digests(&self) -> Digests {
        let mut digests = [0; DIGEST_BUCKETS];
        for entry in self.reconciled_entries() {
            digests[bucket(entry.writer)] ^= entry.digest();
        }
        digests
    }

    /// The entries in those buckets whose digests differ from another coordinator's.
    pub(crate) fn entries_differing_from(&self, others: &Digests) -> Vec<GossipEntry> {
        let own = self.digests();
        self.reconciled_entries()
            .filter(|entry| {
                let bucket = bucket(entry.writer);
                own[bucket] != others[bucket]
            })
            .cloned()
            .collect()
    }

    /// What anti-entropy compares: entries that outlive their writer, and lasting ones of live members.
    fn reconciled_entries(&self) -> impl Iterator<Item = &GossipEntry> {
        self.entries
            .values()
            .map(|stored| &stored.entry)
            .filter(|entry| {
                let outlives_writer = entry.expires_at().is_some();
                outlives_writer || entry.is_reconciled() && self.is_present(entry.writer)
            })
    }

    /// The number of stored entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn bucket(writer: NameHash) -> usize {
    (writer.0 % DIGEST_BUCKETS as u64) as usize
}

#[cfg(test)]
mod tests;
