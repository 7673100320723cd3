//! The external ids of requests: none is accepted twice, neither by this process nor, while one process replaces another,
//! by both.

mod recent;
mod shared;

use cairnroad_types::{Seconds, Time};
use recent::{hash, RecentIds};
use shared::ForeignId;
pub use shared::SharedIds;

/// The external ids that were used recently.
pub struct ExternalIds {
    recent: RecentIds,
    /// The ids that the other process of an upgrade uses; `None` if no other process takes requests.
    shared: Option<SharedIds>,
}

impl ExternalIds {
    /// Creates an empty table of up to `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        ExternalIds {
            recent: RecentIds::new(capacity),
            shared: None,
        }
    }

    /// Sets how long an id is remembered, in seconds.
    pub fn set_retention(&mut self, retention: Seconds) {
        self.recent.retention = retention;
    }

    /// Shares the ids with the other process of an upgrade from now on.
    pub fn share(&mut self, shared: SharedIds) {
        self.shared = Some(shared);
    }

    /// Adds the ids that the other process has taken since the last call.
    pub fn learn(&mut self, now: Time) {
        let foreign = self.shared.as_mut().map(|shared| shared.read_new(now));
        match foreign {
            Some(Ok(foreign)) => self.insert(&foreign),
            Some(Err(error)) => self.stop_sharing(&error),
            None => {}
        }
    }

    /// Returns whether a request used this id within the retention time.
    pub fn is_recent(&self, now: Time, external_id: &str) -> bool {
        self.recent.contains(now, hash(external_id))
    }

    /// Returns whether another id can be remembered.
    pub fn has_room(&mut self, now: Time) -> bool {
        self.recent.has_room(now)
    }

    /// Takes an id for a request that is opened. Returns false if the other process has taken it at the same time.
    pub fn take(&mut self, now: Time, external_id: &str) -> bool {
        let id = hash(external_id);
        self.recent.insert(now, id);
        let taken = self.shared.as_mut().map(|shared| shared.take(now, id));
        match taken {
            Some(Ok(taken)) => {
                self.insert(&taken.foreign);
                taken.is_first
            }
            Some(Err(error)) => {
                self.stop_sharing(&error);
                true
            }
            None => true,
        }
    }

    fn insert(&mut self, foreign: &[ForeignId]) {
        for foreign in foreign {
            self.recent.insert(foreign.opened_at, foreign.id);
        }
    }

    fn stop_sharing(&mut self, error: &std::io::Error) {
        self.shared = None;
        tracing::error!(
            %error,
            help = "check free space and permissions of TMPDIR; until the next start, an id that the other process has \
                taken is not recognized",
            "request ids are no longer shared"
        );
    }
}
