//! What the core was told of the endpoints, and the updates that bring it up to date.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use crate::messages::{CoreMessage, EndpointEntry, EndpointListUpdate};
use cairnroad_types::ServerState;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// The most weights of one update. Thousands at once would hold the core's thread up.
const MAX_WEIGHTS_PER_UPDATE: usize = 256;
/// The pause between two updates of weights, some of the core's ticks.
pub(super) const WEIGHT_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// The core's receiver is gone: the program ends.
#[derive(Debug)]
pub(super) struct CoreStopped;

/// Sends the core what differs from what it was told before.
pub(super) struct Publisher {
    core: mpsc::Sender<CoreMessage>,
    /// What the core was told, pending weights included.
    published: BTreeMap<String, EndpointEntry>,
    /// Entries of which only the weight changed, still to be sent.
    pending_weights: BTreeMap<String, EndpointEntry>,
}

impl Publisher {
    /// A publisher to a core that knows no endpoint.
    pub(super) fn new(core: mpsc::Sender<CoreMessage>) -> Publisher {
        Publisher {
            core,
            published: BTreeMap::new(),
            pending_weights: BTreeMap::new(),
        }
    }

    /// Whether the core's receiver is gone.
    pub(super) fn is_core_stopped(&self) -> bool {
        self.core.is_closed()
    }

    /// Whether weights are still to be sent.
    pub(super) fn has_pending_weights(&self) -> bool {
        !self.pending_weights.is_empty()
    }

    /// The entry that the core has of an endpoint.
    pub(super) fn published(&self, id: &str) -> Option<&EndpointEntry> {
        self.published.get(id)
    }

    /// Sends what differs from before. Endpoints that come, go or change go out in one update, so that no request sees
    /// half of it; changed weights follow in small ones.
    pub(super) fn publish(
        &mut self,
        revision: u64,
        entries: BTreeMap<String, EndpointEntry>,
    ) -> Result<(), CoreStopped> {
        let is_first = self.published.is_empty();
        let mut changed = Vec::new();
        for (id, entry) in &entries {
            match self.published.get(id) {
                Some(before) if before == entry => {}
                Some(before) if differs_in_weight_only(before, entry) => {
                    self.pending_weights.insert(id.clone(), entry.clone());
                }
                _ => changed.push(entry.clone()),
            }
        }
        let removed = self.published.iter();
        let removed = removed.filter(|(id, _)| !entries.contains_key(*id));
        changed.extend(removed.map(|(_, entry)| EndpointEntry {
            state: ServerState::Removed,
            ..entry.clone()
        }));
        // A changed entry carries its weight, and a removed one needs none.
        for entry in &changed {
            self.pending_weights.remove(&entry.id);
        }
        self.published = entries;
        if changed.is_empty() && !is_first {
            return Ok(());
        }
        self.send(revision, is_first, changed)
    }

    /// Sends some of the pending weights, if there are any.
    pub(super) fn publish_pending_weights(&mut self, revision: u64) -> Result<(), CoreStopped> {
        let mut entries = Vec::new();
        while entries.len() < MAX_WEIGHTS_PER_UPDATE {
            let Some((_, entry)) = self.pending_weights.pop_first() else {
                break;
            };
            entries.push(entry);
        }
        if entries.is_empty() {
            return Ok(());
        }
        self.send(revision, false, entries)
    }

    fn send(
        &self,
        revision: u64,
        complete: bool,
        rows: Vec<EndpointEntry>,
    ) -> Result<(), CoreStopped> {
        let update = EndpointListUpdate {
            revision,
            is_snapshot: complete,
            entries: rows,
        };
        self.core
            .blocking_send(CoreMessage::Endpoints(update))
            .map_err(|_| CoreStopped)
    }
}

fn differs_in_weight_only(before: &EndpointEntry, after: &EndpointEntry) -> bool {
    let reweighted = EndpointEntry {
        weight: before.weight,
        ..after.clone()
    };
    *before == reweighted
}
