//! Which data nodes operators leave out. A suspension holds whatever the list says, until the call back; after it the node
//! counts as started anew, for it was restarted at some moment in between.

use cairnroad_types::{ServerState, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most data nodes that are left out or just back.
pub const MAX_SUSPENSIONS: usize = 512;
/// Ids once listed that are remembered, to tell a wrong id from one that is gone. On a long day nodes are replaced
/// under new ids without end.
const MAX_KNOWN_NODES: usize = 16_384;

/// One data node's maintenance, as it is kept for the next process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspension {
    /// When it was suspended, in microseconds of Unix time.
    #[serde(rename = "since_us")]
    pub suspended_at_us: i64,
    /// When it was called back; `null` while it is left out.
    #[serde(rename = "back_us")]
    pub resumed_at_us: Option<i64>,
}

impl Suspension {
    fn is_active(&self) -> bool {
        self.resumed_at_us.is_none()
    }
}

/// All suspensions, and which ids were ever listed.
#[derive(Debug, Default)]
pub struct Suspensions {
    suspensions: BTreeMap<String, Suspension>,
    seen: BTreeSet<String>,
    order: VecDeque<String>,
}

impl Suspensions {
    /// Notes that the list names a data node.
    pub fn record_listed(&mut self, id: &str) {
        if self.seen.contains(id) {
            return;
        }
        if self.order.len() >= MAX_KNOWN_NODES {
            if let Some(oldest) = self.order.pop_front() {
                self.seen.remove(&oldest);
            }
        }
        self.seen.insert(id.into());
        self.order.push_back(id.into());
    }

    /// Whether a data node was ever listed, as far as this process knows.
    pub fn is_known(&self, id: &str) -> bool {
        self.seen.contains(id) || self.suspensions.contains_key(id)
    }

    /// Whether another suspension finds room.
    pub fn has_capacity_for(&self, id: &str) -> bool {
        self.suspensions.len() < MAX_SUSPENSIONS || self.suspensions.contains_key(id)
    }

    /// The suspension that a call to suspend leaves in force. A repeated call changes nothing.
    pub fn suspension_of(&self, id: &str, now: Time) -> Suspension {
        match self.suspensions.get(id) {
            Some(suspension) if suspension.is_active() => *suspension,
            _ => Suspension {
                suspended_at_us: now.0,
                resumed_at_us: None,
            },
        }
    }

    /// What a call back leaves, if the data node was left out.
    pub fn resumption_of(&self, id: &str, now: Time) -> Option<Suspension> {
        let suspension = self
            .suspensions
            .get(id)
            .filter(|suspension| suspension.is_active())?;
        Some(Suspension {
            resumed_at_us: Some(now.0),
            ..*suspension
        })
    }

    /// Puts a suspension, or its end, into force. Whether that changes anything.
    pub fn apply(&mut self, id: &str, suspension: Suspension) -> bool {
        self.has_capacity_for(id)
            && self.suspensions.insert(id.into(), suspension) != Some(suspension)
    }

    /// Takes in all that is kept, which another process may have changed. Returns the ids that changed. One that is
    /// kept no more was called back long ago.
    pub fn synchronize(&mut self, kept: &BTreeMap<String, Suspension>) -> Vec<String> {
        let dropped = self
            .suspensions
            .keys()
            .filter(|id| !kept.contains_key(*id))
            .cloned();
        let mut changed: Vec<String> = dropped.collect();
        for id in &changed {
            self.suspensions.remove(id);
        }
        for (id, suspension) in kept {
            if self.apply(id, *suspension) {
                changed.push(id.clone());
            }
        }
        changed
    }

    /// Ends the memory of those that were called back so long ago that they are warm; their ids.
    pub fn remove_expired(&mut self, now: Time, warm_up: f64) -> Vec<String> {
        let warm = |suspension: &Suspension| {
            suspension
                .resumed_at_us
                .is_some_and(|at| now - Time(at) > warm_up)
        };
        let over: Vec<String> = self
            .suspensions
            .iter()
            .filter(|(_, suspension)| warm(suspension))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.suspensions.remove(id);
        }
        over
    }

    /// What the decisions are told of a data node that the list calls so and that started then.
    pub fn effective_state(
        &self,
        id: &str,
        state: ServerState,
        started: Option<Time>,
    ) -> (ServerState, Option<Time>) {
        let Some(suspension) = self.suspensions.get(id) else {
            return (state, started);
        };
        match (suspension.resumed_at_us, state) {
            (None, ServerState::Ready) => (ServerState::Draining, started),
            (Some(back), ServerState::Ready) => {
                // A start that the list tells of since then is the true one.
                let told = started.filter(|at| *at > Time(suspension.suspended_at_us));
                (state, Some(told.unwrap_or(Time(back))))
            }
            _ => (state, started),
        }
    }

    /// The data nodes that are left out.
    pub fn active_nodes(&self) -> impl Iterator<Item = &str> {
        self.suspensions
            .iter()
            .filter(|(_, suspension)| suspension.is_active())
            .map(|(id, _)| id.as_str())
    }
}

#[cfg(test)]
mod tests;
