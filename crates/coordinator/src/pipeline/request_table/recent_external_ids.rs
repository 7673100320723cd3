//! The external ids of recent requests, kept to detect ids that are used twice.

use cairnroad_types::{Seconds, Time};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// A hash of an external id. Its seed differs in each process, so that clients can't choose ids with the same hash.
type IdHash = u64;

/// A used id and the time at which its request was opened.
struct UsedId {
    opened_at: Time,
    id: IdHash,
}

/// The external ids of the requests that were opened within the retention time. Clients choose them, so their number is
/// limited, and only their hashes are kept.
#[derive(Default)]
pub struct RecentExternalIds {
    /// How long an id is remembered, in seconds.
    pub retention: Seconds,
    /// Maximum number of remembered ids.
    capacity: usize,
    hasher: RandomState,
    /// When the latest request with each id was opened.
    opened_at: BTreeMap<IdHash, Time>,
    /// The same ids, oldest first.
    by_age: VecDeque<UsedId>,
}

impl RecentExternalIds {
    /// Creates an empty table of up to `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        RecentExternalIds {
            capacity,
            ..RecentExternalIds::default()
        }
    }

    /// Returns whether a request used this id within the retention time.
    pub fn contains(&self, now: Time, id: &str) -> bool {
        let opened_at = self.opened_at.get(&self.hasher.hash_one(id));
        opened_at.is_some_and(|&opened_at| now - opened_at <= self.retention)
    }

    /// Returns whether another id can be remembered.
    pub fn has_room(&mut self, now: Time) -> bool {
        self.remove_expired(now);
        self.by_age.len() < self.capacity
    }

    /// Adds an id and removes the ids that are older than the retention time.
    pub fn insert(&mut self, now: Time, id: &str) {
        self.remove_expired(now);
        let id = self.hasher.hash_one(id);
        self.opened_at.insert(id, now);
        self.by_age.push_back(UsedId { opened_at: now, id });
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
