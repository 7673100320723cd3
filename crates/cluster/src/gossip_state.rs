//! Small shared entries: records with one writer each, of which the newest life and version win. Bounded in number, size
//! and age. They spread with the messages that say who is there, and are exchanged after a cut.

use crate::datagram::DIGEST_BUCKETS;
use crate::member_names;
use crate::model::NameHash;
use cairnroad_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most entries that are kept: some for each of as many members as are kept.
pub const MAX_ENTRIES: usize = 4 * crate::MAX_MEMBERS;
/// Most things that one coordinator offers, and most data nodes that it says it doubts.
pub const MAX_OFFERS: usize = 8;
/// See [`MAX_OFFERS`].
pub const MAX_REPORTED_OUTLIERS: usize = 12;
/// How long a word on data nodes counts after it was received_at, in seconds: what was doubted then may be sound now.
pub const OUTLIER_REPORT_TTL: f64 = 15.0;
/// How long entries of one who is not there any more are kept, in seconds: news of its end and its last words cross.
const ABSENT_RETENTION: f64 = 60.0;

/// How long it is kept that somebody left, in seconds after it did: as long as any old word that it is there may live.
const DEPARTURE_RETENTION: f64 = 3_600.0;

/// What a coordinator is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It is not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It sends clients away.
    Draining,
    /// It was told to stop.
    Stopping,
}

/// What a entry says of its writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipValue {
    /// Who it is.
    Description {
        /// Its name, spelt out.
        name: String,
        /// The room that it stands in.
        room: String,
        /// What it offers.
        offers: Vec<String>,
    },
    /// What it is doing.
    Phase(Phase),
    /// The ids of the data nodes that it doubts. Advice only.
    Outliers(Vec<String>),
    /// It has left by its own word.
    Departure {
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
}

impl GossipValue {
    fn kind(&self) -> u8 {
        match self {
            GossipValue::Description { .. } => 0,
            GossipValue::Phase(_) => 1,
            GossipValue::Outliers(_) => 2,
            GossipValue::Departure { .. } => 3,
        }
    }

    /// Whether it keeps to its bounds.
    fn is_within_bounds(&self, writer: NameHash) -> bool {
        let short = |text: &String| text.len() <= member_names::MAX_NAME_BYTES;
        match self {
            GossipValue::Description { name, room, offers } => {
                let bounded = short(room) && offers.len() <= MAX_OFFERS && offers.iter().all(short);
                member_names::is_valid_name(name) && NameHash::of(name) == writer && bounded
            }
            GossipValue::Phase(_) | GossipValue::Departure { .. } => true,
            GossipValue::Outliers(ids) => {
                ids.len() <= MAX_REPORTED_OUTLIERS && ids.iter().all(short)
            }
        }
    }
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// Who wrote it: nobody else may.
    pub writer: NameHash,
    /// In which newest_known.
    pub generation: u64,
    /// Counts up with every word of that newest_known.
    pub version: u32,
    /// What it says.
    pub value: GossipValue,
}

impl GossipEntry {
    /// Which entry it is, whatever it says.
    pub fn key(&self) -> (NameHash, u8) {
        (self.writer, self.value.kind())
    }

    fn precedence(&self) -> (u64, u32) {
        (self.generation, self.version)
    }

    fn digest(&self) -> u64 {
        let mut bytes = [0; 21];
        bytes[..8].copy_from_slice(&self.writer.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.version.to_le_bytes());
        bytes[20] = self.value.kind();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// The end of a word that stands though its writer is gone.
    fn expires_at(&self) -> Option<Time> {
        match self.value {
            GossipValue::Departure { at_ms } => {
                let at = i64::try_from(at_ms)
                    .unwrap_or(i64::MAX)
                    .saturating_mul(1_000);
                Some(Time(at) + DEPARTURE_RETENTION)
            }
            _ => None,
        }
    }

    fn bucket(&self) -> usize {
        (self.writer.0 % DIGEST_BUCKETS as u64) as usize
    }

    /// It stands as long as its writer; others are soon stale, and are not worth an exchange.
    fn is_reconciled(&self) -> bool {
        !matches!(self.value, GossipValue::Outliers(_))
    }
}

struct StoredEntry {
    entry: GossipEntry,
    received_at: Time,
}

/// All entries that one coordinator knows.
#[derive(Default)]
pub struct GossipState {
    stored: BTreeMap<(NameHash, u8), StoredEntry>,
    /// When writers were last there; those that are there now stand at the end of time.
    presence: BTreeMap<NameHash, Time>,
}

impl GossipState {
    /// Takes in a entry. Whether it is news, to be told to others.
    pub fn merge(&mut self, now: Time, entry: GossipEntry) -> bool {
        let newest_known = self.newest_generation(entry.writer);
        let newest = newest_known.unwrap_or(0);
        let known = self
            .stored
            .get(&entry.key())
            .map_or((0, 0), |stored| stored.entry.precedence());
        let over = entry.expires_at().is_some_and(|until| until <= now);
        if over
            || !entry.value.is_within_bounds(entry.writer)
            || entry.generation < newest
            || entry.precedence() <= known
        {
            return false;
        }
        if !self.stored.contains_key(&entry.key()) && self.stored.len() >= MAX_ENTRIES {
            return false;
        }
        if newest_known.is_some_and(|newest| entry.generation > newest) {
            // What an earlier life said is void.
            let earlier: Vec<_> = self
                .stored
                .range((entry.writer, 0)..=(entry.writer, u8::MAX))
                .map(|(key, _)| *key)
                .collect();
            earlier.iter().for_each(|key| drop(self.stored.remove(key)));
        }
        self.presence.entry(entry.writer).or_insert(now);
        self.stored.insert(
            entry.key(),
            StoredEntry {
                entry,
                received_at: now,
            },
        );
        true
    }

    /// The newest life of a writer of which there is a entry.
    fn newest_generation(&self, writer: NameHash) -> Option<u64> {
        let of_writer = self.stored.range((writer, 0)..=(writer, u8::MAX));
        of_writer.map(|(_, stored)| stored.entry.generation).max()
    }

    /// A writer is there from now on, or was up to now.
    pub fn mark_presence(&mut self, now: Time, writer: NameHash, there: bool) {
        self.presence
            .insert(writer, if there { Time(i64::MAX) } else { now });
    }

    /// Forgets the entries of those who have been gone for long.
    pub fn remove_expired(&mut self, now: Time) {
        let over = |at: &Time| *at < now && now - *at > ABSENT_RETENTION;
        self.presence.retain(|_, at| !over(at));
        let presence = &self.presence;
        self.stored
            .retain(|(writer, _), stored| match stored.entry.expires_at() {
                Some(until) => until > now,
                None => presence.contains_key(writer),
            });
    }

    /// What a writer says of itself: its name, room and offers.
    pub fn description(&self, writer: NameHash) -> Option<(&str, &str, &[String])> {
        match &self.stored.get(&(writer, 0))?.entry.value {
            GossipValue::Description { name, room, offers } => Some((name, room, offers)),
            _ => None,
        }
    }

    /// What a life of a writer was last doing.
    pub fn phase(&self, writer: NameHash, generation: u64) -> Option<Phase> {
        let stored = self
            .stored
            .get(&(writer, 1))
            .filter(|stored| stored.entry.generation == generation)?;
        match stored.entry.value {
            GossipValue::Phase(phase) => Some(phase),
            _ => None,
        }
    }

    /// The data nodes that others doubt, and how many do: fresh words of writers that are there.
    pub fn outlier_reports(&self, now: Time, own: NameHash) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for ((writer, _), stored) in &self.stored {
            let fresh = now - stored.received_at <= OUTLIER_REPORT_TTL
                && self.is_live(*writer)
                && *writer != own;
            if let (GossipValue::Outliers(ids), true) = (&stored.entry.value, fresh) {
                for id in ids {
                    *counts.entry(id.as_str()).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Whether a life of a writer, or a later one under its name, has left by its own word.
    pub fn has_left(&self, writer: NameHash, generation: u64) -> bool {
        self.stored
            .get(&(writer, 3))
            .is_some_and(|stored| stored.entry.generation >= generation)
    }

    fn is_live(&self, writer: NameHash) -> bool {
        self.presence.get(&writer) == Some(&Time(i64::MAX))
    }

    /// Sums of all lasting entries of those who are there: equal where the same entries are known.
    pub(crate) fn digests(&self) -> [u64; DIGEST_BUCKETS] {
        let mut digests = [0; DIGEST_BUCKETS];
        for entry in self.reconciled_entries() {
            digests[entry.bucket()] ^= entry.digest();
        }
        digests
    }

    /// The entries in those buckets whose digests differ.
    pub(crate) fn entries_differing_from(
        &self,
        others: &[u64; DIGEST_BUCKETS],
    ) -> Vec<GossipEntry> {
        let own = self.digests();
        self.reconciled_entries()
            .filter(|entry| own[entry.bucket()] != others[entry.bucket()])
            .cloned()
            .collect()
    }

    fn reconciled_entries(&self) -> impl Iterator<Item = &GossipEntry> {
        let entries = self
            .stored
            .iter()
            .map(|((writer, _), stored)| (writer, &stored.entry));
        let lasts = |writer: &NameHash, entry: &GossipEntry| {
            entry.expires_at().is_some() || entry.is_reconciled() && self.is_live(*writer)
        };
        entries
            .filter(move |(writer, entry)| lasts(writer, entry))
            .map(|(_, entry)| entry)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }
}

#[cfg(test)]
mod tests;
