//! Identities of coordinators: the hash of a name, and one process that bears it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A coordinator's name as it travels: the xxh3 hash of its text.
///
/// The text itself is in the member's [`MemberDescription`](crate::gossip_state::MemberDescription).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Stands for whoever receives a query, whatever its name.
    pub const ANY: NameHash = NameHash(0);

    /// The hash of a name.
    pub fn of(text: &str) -> NameHash {
        NameHash(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

/// One process of a coordinator. Of two processes under one name the later one holds the name.
///
/// The order of the fields is that of the bytes in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The hash of its name.
    pub name: NameHash,
    /// Start of the process in Unix milliseconds, or a later number if it met a process with a later one.
    pub generation: u64,
    /// How often this process rejoined after other members had declared it failed.
    pub rejoins: u16,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

impl MemberId {
    /// Whether this identity holds the name that both bear.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        (self.generation, self.rejoins, self.address)
            > (other.generation, other.rejoins, other.address)
    }

    /// Whether the two are different processes, not two rejoins of one.
    pub fn is_another_process(&self, other: &MemberId) -> bool {
        (self.generation, self.address) != (other.generation, other.address)
    }

    /// This member's share of a view's digest. Equal for equal name, generation and rejoins.
    pub(crate) fn digest(&self) -> u64 {
        let mut bytes = [0; 18];
        bytes[..8].copy_from_slice(&self.name.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..].copy_from_slice(&self.rejoins.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

#[cfg(test)]
mod tests;
