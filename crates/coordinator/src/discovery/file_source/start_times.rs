//! Tracks when endpoints started, for their slow start.

use cairnroad_endpoint_files::endpoint_set::EndpointSet;
use cairnroad_endpoint_files::timestamp::UnixSeconds;
use std::collections::BTreeMap;

/// The start times of the endpoints of the set in force. `None` means long ago.
#[derive(Default)]
pub(super) struct StartTimes {
    /// Whether any set has come into force.
    has_set: bool,
    by_id: BTreeMap<String, Option<UnixSeconds>>,
}

impl StartTimes {
    /// Takes over the start times of a stored set. Endpoints without one are assumed to have started long ago.
    pub(super) fn restore(&mut self, endpoint_set: &EndpointSet) {
        self.has_set = true;
        for (id, endpoint) in &endpoint_set.endpoints {
            self.by_id.insert(id.clone(), endpoint.started);
        }
    }

    /// Updates the start times for a new set. A stated time takes precedence; otherwise, endpoints of the first set are
    /// assumed to have started long ago, and endpoints that are added later to have started now.
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

    /// Returns when an endpoint started; `None` if it started long ago.
    pub(super) fn get(&self, id: &str) -> Option<UnixSeconds> {
        self.by_id.get(id).copied().flatten()
    }
}
