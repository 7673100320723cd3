//! Entries of the gossip state, by which coordinators share information about themselves.
//!
//! The encoding in datagrams follows the order of enum variants and fields, so reordering them breaks compatibility.

use crate::identity::NameHash;
use crate::member_names;
use cairnroad_types::{Seconds, Time};
use serde::{Deserialize, Serialize};

/// Maximum number of offers of one coordinator.
pub const MAX_OFFERS: usize = 8;
/// Maximum number of outliers that one coordinator reports.
pub const MAX_REPORTED_OUTLIERS: usize = 12;
/// How long a departure is remembered after it happened, in seconds: stale gossip that the member is alive may
/// circulate for that long.
const DEPARTURE_RETENTION: Seconds = 3_600.0;

/// Phase of a coordinator's life cycle, as published to the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    /// Not ready to serve clients yet.
    Starting,
    /// Serving clients.
    Serving,
    /// Moving clients to other coordinators; requests are still answered.
    Draining,
    /// Shutting down.
    Stopping,
}

/// A coordinator's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDescription {
    /// The coordinator's name; its hash is the entry's writer.
    pub name: String,
    /// The room that the coordinator is located in (setting `peers.room`).
    pub room: String,
    /// What the coordinator offers to other members (setting `peers.offers`), at most [`MAX_OFFERS`] texts.
    pub offers: Vec<String>,
}

/// The value of a gossip entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipValue {
    /// The writer's description of itself.
    Description(MemberDescription),
    /// The writer's current phase.
    Phase(MemberPhase),
    /// Ids of the data nodes that are outliers according to the writer's own requests. Advice only.
    Outliers(Vec<String>),
    /// The writer's announcement that it leaves the cluster.
    Departure {
        /// Time of the announcement in Unix milliseconds, by the writer's clock.
        at_ms: u64,
    },
}

/// The kind of a gossip entry. The discriminants are part of the digests that members compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKind {
    /// Kind of a [`GossipValue::Description`].
    Description = 0,
    /// Kind of a [`GossipValue::Phase`].
    Phase = 1,
    /// Kind of a [`GossipValue::Outliers`].
    Outliers = 2,
    /// Kind of a [`GossipValue::Departure`].
    Departure = 3,
}

impl GossipValue {
    /// Returns the kind of this value.
    pub fn kind(&self) -> EntryKind {
        match self {
            GossipValue::Description(_) => EntryKind::Description,
            GossipValue::Phase(_) => EntryKind::Phase,
            GossipValue::Outliers(_) => EntryKind::Outliers,
            GossipValue::Departure { .. } => EntryKind::Departure,
        }
    }

    /// Returns whether all sizes are within their limits and a description names its own writer.
    fn is_valid_for(&self, writer: NameHash) -> bool {
        let is_short = |text: &String| text.len() <= member_names::MAX_NAME_BYTES;
        match self {
            GossipValue::Description(description) => {
                let MemberDescription { name, room, offers } = description;
                let is_bounded =
                    is_short(room) && offers.len() <= MAX_OFFERS && offers.iter().all(is_short);
                member_names::is_valid_name(name) && NameHash::of(name) == writer && is_bounded
            }
            GossipValue::Phase(_) | GossipValue::Departure { .. } => true,
            GossipValue::Outliers(ids) => {
                ids.len() <= MAX_REPORTED_OUTLIERS && ids.iter().all(is_short)
            }
        }
    }
}

/// A gossip entry. Only the coordinator identified by `writer` creates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The hash of the writer's name.
    pub writer: NameHash,
    /// The writer's generation, see [`MemberId::generation`](crate::identity::MemberId::generation).
    pub generation: u64,
    /// Increases with every entry that the writer publishes in this generation, whatever its kind.
    pub version: u32,
    /// The published information, which also determines the kind of the entry.
    pub value: GossipValue,
}

/// Identifies an entry regardless of its version: each writer has at most one entry of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryKey {
    /// The hash of the writer's name.
    pub writer: NameHash,
    /// The kind of the entry.
    pub kind: EntryKind,
}

/// Version of an entry; of two versions under one key, the greater one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryVersion {
    generation: u64,
    version: u32,
}

impl GossipEntry {
    /// Returns the key under which this entry is stored.
    pub fn key(&self) -> EntryKey {
        EntryKey {
            writer: self.writer,
            kind: self.value.kind(),
        }
    }

    /// Returns the version by which this entry is compared with others under the same key.
    pub(crate) fn entry_version(&self) -> EntryVersion {
        EntryVersion {
            generation: self.generation,
            version: self.version,
        }
    }

    /// Returns whether the entry keeps to the limits of its kind.
    pub(crate) fn is_valid(&self) -> bool {
        self.value.is_valid_for(self.writer)
    }

    /// Returns a digest of key and version. The value is left out because key and version determine it.
    pub(crate) fn digest(&self) -> u64 {
        let mut bytes = [0; 21];
        bytes[..8].copy_from_slice(&self.writer.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.version.to_le_bytes());
        bytes[20] = self.value.kind() as u8;
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// Returns when an entry that outlives its writer expires; `None` for entries that are removed with their writer.
    pub(crate) fn expires_at(&self) -> Option<Time> {
        let GossipValue::Departure { at_ms } = self.value else {
            return None;
        };
        let micros = i64::try_from(at_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        Some(Time(micros) + DEPARTURE_RETENTION)
    }

    /// Returns whether anti-entropy exchanges the entry. Outlier reports are left out because they go stale before an
    /// exchange would be worth its datagrams.
    pub(crate) fn uses_anti_entropy(&self) -> bool {
        !matches!(self.value, GossipValue::Outliers(_))
    }
}
