//! Sends changes of the endpoint list to the core.

use crate::messages::{CoreMessage, EndpointEntry, EndpointListUpdate};
use cairnroad_types::ServerState;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of weights in one update. Thousands at once would delay the core's thread.
const MAX_WEIGHTS_PER_UPDATE: usize = 256;
/// Pause between two updates of weights, a few of the core's ticks.
pub(super) const WEIGHT_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// The error when the core's receiver was dropped, because the program ends.
#[derive(Debug)]
pub(super) struct CoreStopped;

/// Sends entries to the core that differ from those sent before.
pub(super) struct Publisher {
    core: mpsc::Sender<CoreMessage>,
    /// The entries that were published, including those whose weights are still pending.
    published: BTreeMap<String, EndpointEntry>,
    /// Entries to be sent of which only the weight changed.
    pending_weights: BTreeMap<String, EndpointEntry>,
}

impl Publisher {
    /// Returns a publisher for a core that knows no endpoint.
    pub(super) fn new(core: mpsc::Sender<CoreMessage>) -> Publisher {
        Publisher {
            core,
            published: BTreeMap::new(),
            pending_weights: BTreeMap::new(),
        }
    }

    /// Returns whether the core's receiver was dropped.
    pub(super) fn is_core_stopped(&self) -> bool {
        self.core.is_closed()
    }

    /// Returns whether weights are still to be sent.
    pub(super) fn has_pending_weights(&self) -> bool {
        !self.pending_weights.is_empty()
    }

    /// Returns the published entry of an endpoint.
    pub(super) fn published(&self, id: &str) -> Option<&EndpointEntry> {
        self.published.get(id)
    }

    /// Sends the entries that differ from the published ones. Endpoints that are added, removed or changed are sent in
    /// one update, so that no request sees a part of it; changed weights follow in small updates.
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
        // A changed entry includes its weight, and a removed one needs none.
        for entry in &changed {
            self.pending_weights.remove(&entry.id);
        }
        self.published = entries;
        if changed.is_empty() && !is_first {
            return Ok(());
        }
        self.send(revision, is_first, changed)
    }

    /// Sends up to [`MAX_WEIGHTS_PER_UPDATE`] of the pending weights.
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
