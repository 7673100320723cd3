//! The data nodes that operators suspended for maintenance.
//!
//! A suspension overrides the endpoint list until the node is resumed. A resumed node counts as just started, since
//! it was restarted at some time during the suspension.

use cairnroad_types::{Seconds, ServerState, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Upper limit on data nodes that are suspended or were recently resumed.
pub const MAX_SUSPENSIONS: usize = 512;
/// Upper limit on remembered ids, which distinguish a wrong id from that of a node that is no longer listed. It is
/// needed because nodes are replaced under new ids over time.
const MAX_KNOWN_NODES: usize = 16_384;

/// The suspension of one data node, in the form that is stored for other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspension {
    /// When the node was suspended, in microseconds of Unix time.
    #[serde(rename = "since_us")]
    pub suspended_at_us: i64,
    /// When the node was resumed, in microseconds of Unix time; `None` while it is suspended.
    #[serde(rename = "back_us")]
    pub resumed_at_us: Option<i64>,
}

impl Suspension {
    fn is_active(&self) -> bool {
        self.resumed_at_us.is_none()
    }
}

/// All suspensions, and the ids of the data nodes that were ever listed.
#[derive(Debug, Default)]
pub struct Suspensions {
    by_node: BTreeMap<String, Suspension>,
    known_nodes: BTreeSet<String>,
    /// The ids in `known_nodes`, in the order in which they were first listed.
    known_order: VecDeque<String>,
}

impl Suspensions {
    /// Records that an endpoint list names a data node. Beyond the limit, the id that was listed first is forgotten.
    pub fn record_listed(&mut self, id: &str) {
        if self.known_nodes.contains(id) {
            return;
        }
        if self.known_order.len() >= MAX_KNOWN_NODES {
            if let Some(oldest) = self.known_order.pop_front() {
                self.known_nodes.remove(&oldest);
            }
        }
        self.known_nodes.insert(id.into());
        self.known_order.push_back(id.into());
    }

    /// Returns whether a data node was ever listed or suspended, as far as this process remembers.
    pub fn is_known(&self, id: &str) -> bool {
        self.known_nodes.contains(id) || self.by_node.contains_key(id)
    }

    /// Returns whether a suspension of this data node is within the limit.
    pub fn has_capacity_for(&self, id: &str) -> bool {
        self.by_node.len() < MAX_SUSPENSIONS || self.by_node.contains_key(id)
    }

    /// Returns the suspension that results from a request to suspend a data node. A repeated request changes nothing.
    ///
    /// [`Suspensions::apply`] puts it into force.
    pub fn plan_suspension(&self, id: &str, now: Time) -> Suspension {
        match self.by_node.get(id) {
            Some(suspension) if suspension.is_active() => *suspension,
            _ => Suspension {
                suspended_at_us: now.0,
                resumed_at_us: None,
            },
        }
    }

    /// Returns the suspension that results from a request to resume a data node; `None` if the node is not suspended.
    ///
    /// [`Suspensions::apply`] puts it into force.
    pub fn plan_resumption(&self, id: &str, now: Time) -> Option<Suspension> {
        let suspension = self
            .by_node
            .get(id)
            .filter(|suspension| suspension.is_active())?;
        Some(Suspension {
            resumed_at_us: Some(now.0),
            ..*suspension
        })
    }

    /// Puts a suspension, or its end, into force. Returns whether anything changed.
    pub fn apply(&mut self, id: &str, suspension: Suspension) -> bool {
        if !self.has_capacity_for(id) {
            return false;
        }
        let previous = self.by_node.insert(id.into(), suspension);
        previous != Some(suspension)
    }

    /// Replaces all suspensions by the stored ones, which another process may have changed. Returns the ids that
    /// changed.
    ///
    /// A suspension that is no longer stored was resumed long ago and is removed here too.
    pub fn synchronize(&mut self, stored: &BTreeMap<String, Suspension>) -> Vec<String> {
        let mut changed: Vec<String> = self
            .by_node
            .keys()
            .filter(|id| !stored.contains_key(*id))
            .cloned()
            .collect();
        for id in &changed {
            self.by_node.remove(id);
        }
        for (id, suspension) in stored {
            if self.apply(id, *suspension) {
                changed.push(id.clone());
            }
        }
        changed
    }

    /// Removes the suspensions of data nodes that were resumed longer ago than a slow start takes. Returns their ids.
    pub fn remove_expired(&mut self, now: Time, slow_start_duration: Seconds) -> Vec<String> {
        let is_expired = |suspension: &Suspension| {
            suspension
                .resumed_at_us
                .is_some_and(|resumed_at| now - Time(resumed_at) > slow_start_duration)
        };
        let expired: Vec<String> = self
            .by_node
            .iter()
            .filter(|(_, suspension)| is_expired(suspension))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.by_node.remove(id);
        }
        expired
    }

    /// Returns the effective state and start time of a data node, given its listed ones.
    ///
    /// A suspended node that is listed as ready drains. A resumed node counts as started at its resumption, unless the
    /// list states a start time after the suspension.
    pub fn effective_state(
        &self,
        id: &str,
        listed_state: ServerState,
        listed_start: Option<Time>,
    ) -> (ServerState, Option<Time>) {
        let Some(suspension) = self.by_node.get(id) else {
            return (listed_state, listed_start);
        };
        if listed_state != ServerState::Ready {
            return (listed_state, listed_start);
        }
        let Some(resumed_at) = suspension.resumed_at_us else {
            return (ServerState::Draining, listed_start);
        };
        let start_since_suspension =
            listed_start.filter(|start| *start > Time(suspension.suspended_at_us));
        let started_at = start_since_suspension.unwrap_or(Time(resumed_at));
        (ServerState::Ready, Some(started_at))
    }
}

#[cfg(test)]
mod tests;
