//! The external ids of recent requests, kept to detect ids that are used twice.

use cairnroad_types::{Seconds, Time};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// An external id and the time at which its request was opened.
struct UsedId {
    opened_at: Time,
    id: Arc<str>,
}

/// The external ids of the requests that were opened within the retention time.
#[derive(Default)]
pub struct RecentExternalIds {
    /// How long an id is remembered, in seconds.
    pub retention: Seconds,
    ids: BTreeSet<Arc<str>>,
    /// The same ids, oldest first.
    by_age: VecDeque<UsedId>,
}

impl RecentExternalIds {
    /// Returns whether a request used this id within the retention time.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Adds an id and removes the ids that are older than the retention time.
    pub fn insert(&mut self, now: Time, id: Arc<str>) {
        self.remove_expired(now);
        self.ids.insert(id.clone());
        self.by_age.push_back(UsedId { opened_at: now, id });
    }

    fn remove_expired(&mut self, now: Time) {
        let retention = self.retention;
        let expired = |used: &mut UsedId| now - used.opened_at > retention;
        while let Some(used) = self.by_age.pop_front_if(expired) {
            self.ids.remove(&used.id);
        }
    }
}
