//! The names of recent requests, to recognize a name that is used twice.

use cairnroad_types::{Seconds, Time};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// A name and when its request was opened.
struct UsedName {
    opened_at: Time,
    name: Arc<str>,
}

/// The names used within the retention time.
#[derive(Default)]
pub struct RecentNames {
    /// How long a name is remembered, in seconds.
    pub retention: Seconds,
    names: BTreeSet<Arc<str>>,
    /// The same names, the oldest first.
    by_age: VecDeque<UsedName>,
}

impl RecentNames {
    /// Whether a request used this name recently.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Remembers a name and forgets those older than the retention time.
    pub fn insert(&mut self, now: Time, name: Arc<str>) {
        self.forget_expired(now);
        self.names.insert(name.clone());
        self.by_age.push_back(UsedName {
            opened_at: now,
            name,
        });
    }

    fn forget_expired(&mut self, now: Time) {
        let retention = self.retention;
        let expired = |used: &mut UsedName| now - used.opened_at > retention;
        while let Some(used) = self.by_age.pop_front_if(expired) {
            self.names.remove(&used.name);
        }
    }
}
