//! The endpoint list that the connection pool and the router see: discovery's updates, overridden by the operators'
//! suspensions.

use super::Core;
use crate::discovery;
use crate::messages::{EndpointEntry, EndpointListUpdate};
use crate::observability::metrics::Counter;
use crate::pipeline::timer::Timer;
use cairnroad_types::{Event, Seconds, ServerId, Time};

/// Interval at which the stored suspensions, which another process may have changed, are read, in seconds. A suspended
/// server must receive no new work 0.25 s after its suspension; the interval is well below that.
const SUSPENSION_POLL_INTERVAL: Seconds = 0.05;

impl Core {
    /// Applies an update of the endpoint list. `cached` states that the list was stored by an earlier process.
    pub(super) fn on_endpoint_update(&mut self, update: &EndpointListUpdate, cached: bool) {
        self.contracts
            .on_endpoint_update(&update.entries, update.is_snapshot);
        if !update.entries.is_empty() {
            self.metrics.increment(if update.is_snapshot {
                Counter::EndpointSnapshots
            } else {
                Counter::EndpointDeltas
            });
        }
        let mut entries = self.directory.assign_ids(update);
        if self.suspension_store.is_some() {
            for (_, entry) in &entries {
                self.suspensions.record_listed(&entry.id);
            }
        }
        self.publish_endpoints(&mut entries, update.is_snapshot, cached);
        self.has_fresh_list |= !cached;
    }

    /// Applies the suspensions to the entries and passes the entries to the connection pool and the router.
    fn publish_endpoints(
        &mut self,
        entries: &mut [(ServerId, EndpointEntry)],
        is_snapshot: bool,
        cached: bool,
    ) {
        for (_, entry) in &mut *entries {
            (entry.state, entry.ready_at) =
                self.suspensions
                    .effective_state(&entry.id, entry.state, entry.ready_at);
        }
        self.pool.on_endpoint_list(entries, is_snapshot);
        let update = discovery::endpoint_update(entries, is_snapshot, cached);
        self.router.push(Event::Endpoints(update));
    }

    /// Publishes the entries of these servers again after their suspensions have changed.
    pub(super) fn republish_endpoints(&mut self, ids: &[String]) {
        let listed = ids.iter().filter_map(|id| self.directory.get(id));
        let mut entries: Vec<_> = listed.collect();
        self.publish_endpoints(&mut entries, false, false);
    }

    /// Removes expired suspensions, and applies the suspensions and resumptions that another process of this
    /// coordinator stored.
    pub(super) fn poll_suspensions(&mut self, now: Time) {
        let Some(store) = &mut self.suspension_store else {
            return;
        };
        for id in self
            .suspensions
            .remove_expired(now, self.slow_start_duration)
        {
            store.remove(&id);
        }
        if let Some(stored) = store.load_all() {
            let changed = self.suspensions.synchronize(&stored);
            if !changed.is_empty() {
                tracing::info!(
                    servers = changed.join(", "),
                    "suspensions changed by another process"
                );
                self.republish_endpoints(&changed);
            }
        }
        self.timers
            .insert(now + SUSPENSION_POLL_INTERVAL, Timer::SuspensionPoll);
    }
}
