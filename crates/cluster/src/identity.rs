//! Identities of coordinators: the hash of a name, and one process that runs under it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// xxh3 hash of a coordinator's name, which stands for the name in datagrams.
///
/// The name itself is in the member's [`MemberDescription`](crate::gossip_state::MemberDescription).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Wildcard that stands for the receiver of a query, whatever its name.
    pub const ANY: NameHash = NameHash(0);

    /// Returns the hash of a name.
    pub fn of(name: &str) -> NameHash {
        NameHash(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Identity of one process of a coordinator. Of two processes under one name, the later one holds the name.
///
/// The encoding in datagrams follows the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The hash of the coordinator's name.
    pub name: NameHash,
    /// Start time of the process in Unix milliseconds. Raised above another process's generation if that process was
    /// known under the same name with a later one but has ended, and by one when `rejoins` can't be incremented.
    pub generation: u64,
    /// Number of times this process rejoined after other members had declared it failed.
    pub rejoins: u16,
    /// Address at which the process receives datagrams.
    pub address: SocketAddr,
}

impl MemberId {
    /// Returns whether this identity, rather than `other`, holds the name that the two share.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        (self.generation, self.rejoins, self.address)
            > (other.generation, other.rejoins, other.address)
    }

    /// Returns whether the two identities belong to different processes, not to two rejoins of one process.
    pub fn is_another_process(&self, other: &MemberId) -> bool {
        (self.generation, self.address) != (other.generation, other.address)
    }

    /// Returns this member's contribution to the digest of a view; equal for equal name, generation and rejoins.
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
