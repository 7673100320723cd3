//! Entries of the gossip state: what a coordinator shares about itself.
//!
//! The order of enum variants and of fields is that of the bytes in a datagram.

use crate::identity::NameHash;
use crate::member_names;
use cairnroad_types::{Seconds, Time};
use serde::{Deserialize, Serialize};

/// Most offers of one coordinator.
pub const MAX_OFFERS: usize = 8;
/// Most outliers that one coordinator reports.
pub const MAX_REPORTED_OUTLIERS: usize = 12;
/// How long a departure is remembered after it happened: as long as stale gossip that the member is alive may live.
const DEPARTURE_RETENTION: Seconds = 3_600.0;

/// Phase of a coordinator's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    /// Not ready yet.
    Starting,
    /// Serving clients.
    Serving,
    /// Sending clients to other coordinators.
    Draining,
    /// Shutting down.
    Stopping,
}

/// What a coordinator says it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDescription {
    /// Its name.
    pub name: String,
    /// The room that it stands in (setting `peers.room`).
    pub room: String,
    /// What it offers to others (setting `peers.offers`).
    pub offers: Vec<String>,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipValue {
    /// Who the writer is.
    Description(MemberDescription),
    /// The writer's phase.
    Phase(MemberPhase),
    /// Ids of the data nodes that the writer's own requests showed to be outliers. Advice only.
    Outliers(Vec<String>),
    /// The writer announced that it leaves.
    Departure {
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
}

/// Which of a writer's entries one is. The numbers go into digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKind {
    /// [`GossipValue::Description`].
    Description = 0,
    /// [`GossipValue::Phase`].
    Phase = 1,
    /// [`GossipValue::Outliers`].
    Outliers = 2,
    /// [`GossipValue::Departure`].
    Departure = 3,
}

impl GossipValue {
    /// The kind of this value.
    pub fn kind(&self) -> EntryKind {
        match self {
            GossipValue::Description(_) => EntryKind::Description,
            GossipValue::Phase(_) => EntryKind::Phase,
            GossipValue::Outliers(_) => EntryKind::Outliers,
            GossipValue::Departure { .. } => EntryKind::Departure,
        }
    }

    /// Whether sizes are within their limits, and a description is of its writer.
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

/// One entry. Only the coordinator named as its writer creates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The hash of the writer's name.
    pub writer: NameHash,
    /// The writer's generation, see [`MemberId`](crate::identity::MemberId).
    pub generation: u64,
    /// Increases with every entry that the writer publishes in this generation.
    pub version: u32,
    /// The content.
    pub value: GossipValue,
}

/// Identifies an entry whatever its version: each writer has one entry of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryKey {
    /// The hash of the writer's name.
    pub writer: NameHash,
    /// The kind of entry.
    pub kind: EntryKind,
}

/// Orders the versions of one entry; the greater one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryVersion {
    generation: u64,
    version: u32,
}

impl GossipEntry {
    /// The key under which this entry is stored.
    pub fn key(&self) -> EntryKey {
        EntryKey {
            writer: self.writer,
            kind: self.value.kind(),
        }
    }

    /// Which version of its key this is.
    pub(crate) fn entry_version(&self) -> EntryVersion {
        EntryVersion {
            generation: self.generation,
            version: self.version,
        }
    }

    /// Whether the entry keeps to the limits of its kind.
    pub(crate) fn is_valid(&self) -> bool {
        self.value.is_valid_for(self.writer)
    }

    /// A digest of key and version; the content follows from both.
    pub(crate) fn digest(&self) -> u64 {
        let mut bytes = [0; 21];
        bytes[..8].copy_from_slice(&self.writer.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.version.to_le_bytes());
        bytes[20] = self.value.kind() as u8;
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// When an entry that outlives its writer expires; `None` for entries that go with their writer.
    pub(crate) fn expires_at(&self) -> Option<Time> {
        let GossipValue::Departure { at_ms } = self.value else {
            return None;
        };
        let micros = i64::try_from(at_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        Some(Time(micros) + DEPARTURE_RETENTION)
    }

    /// Whether anti-entropy exchanges it. Outlier reports go stale before an exchange is worth its datagrams.
    pub(crate) fn is_reconciled(&self) -> bool {
        !matches!(self.value, GossipValue::Outliers(_))
    }
}
