//! The external ids of recent requests, kept to detect ids that are used twice.

use cairnroad_types::{Seconds, Time};
use std::collections::{BTreeMap, VecDeque};

/// A hash of an external id.
pub type IdHash = u64;

/// Offset basis and prime of FNV-1a with 64 bits. Both processes of an upgrade must hash alike, whatever built them.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the hash of an external id.
pub fn hash(id: &str) -> IdHash {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    id.bytes().fold(FNV_OFFSET_BASIS, mix)
}

/// A used id and the time at which its request was opened.
struct UsedId {
    opened_at: Time,
    id: IdHash,
}

/// The external ids of the requests that were opened within the retention time. Clients choose them, so their number is
/// limited, and only their hashes are kept.
#[derive(Default)]
pub struct RecentIds {
    /// How long an id is remembered, in seconds.
    pub retention: Seconds,
    /// Maximum number of remembered ids.
    capacity: usize,
    /// When the latest request with each id was opened.
    opened_at: BTreeMap<IdHash, Time>,
    /// The same ids, oldest first.
    by_age: VecDeque<UsedId>,
}

impl RecentIds {
    /// Creates an empty table of up to `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        RecentIds {
            capacity,
            ..RecentIds::default()
        }
    }

    /// Returns whether a request used this id within the retention time.
    pub fn contains(&self, now: Time, id: IdHash) -> bool {
        let opened_at = self.opened_at.get(&id);
        opened_at.is_some_and(|&opened_at| now - opened_at <= self.retention)
    }

    /// Returns whether another id can be remembered.
    pub fn has_room(&mut self, now: Time) -> bool {
        self.remove_expired(now);
        self.by_age.len() < self.capacity
    }

    /// Adds the id of a request that was opened at `opened_at`.
    pub fn insert(&mut self, opened_at: Time, id: IdHash) {
        self.opened_at.insert(id, opened_at);
        self.by_age.push_back(UsedId { opened_at, id });
    }

    fn remove_expired(&mut self, now: Time) {
        let retention = self.retention;
        let expired = |used: &mut UsedId| now - used.opened_at > retention;
        while let Some(used) = self.by_age.pop_front_if(expired) {
            self.opened_at.remove(&used.id);
        }
    }
}

#[cfg(test)]
mod tests;
