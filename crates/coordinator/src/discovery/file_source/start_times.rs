//! When endpoints started, for their slow start.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_endpoint_files::endpoint_set::EndpointSet;
use cairnroad_endpoint_files::timestamp::UnixSeconds;
use std::collections::BTreeMap;

/// The start times of the endpoints of the set in force. `None` is long ago.
#[derive(Default)]
pub(super) struct StartTimes {
    /// Whether any set was in force.
    has_set: bool,
    by_id: BTreeMap<String, Option<UnixSeconds>>,
}

impl StartTimes {
    /// Takes over the times of a stored set. Endpoints without one are taken to have started long ago.
    pub(super) fn restore(&mut self, endpoint_set: &EndpointSet) {
        self.has_set = true;
        for (id, endpoint) in &endpoint_set.endpoints {
            self.by_id.insert(id.clone(), endpoint.started);
        }
    }

    /// Follows a new set. Endpoints of the first set are taken to have started long ago, those that join later now;
    /// a stated time wins.
    pub(super) fn update(&mut self, endpoint_set: &EndpointSet, now: UnixSeconds) {
        let assumed = self.has_set.then_some(now);
        self.has_set = true;
        for (id, endpoint) in &endpoint_set.endpoints {
            let started = self.by_id.entry(id.clone()).or_insert(assumed);
            *started = endpoint.started.or(*started);
        }
        self.by_id
            .retain(|id, _| endpoint_set.endpoints.contains_key(id));
    }

    /// When an endpoint started.
    pub(super) fn get(&self, id: &str) -> Option<UnixSeconds> {
        self.by_id.get(id).copied().flatten()
    }
}
