//! Which data nodes operators leave out. A ban holds whatever the list says, until the call back; after it the node
//! counts as started anew, for it was restarted at some moment in between.

use cairnroad_types::{ServerState, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most data nodes that are left out or just back.
pub const MOST_BANS: usize = 512;
/// Ids once listed that are remembered, to tell a wrong id from one that is gone. On a long day nodes are replaced
/// under new ids without end.
const MOST_SEEN: usize = 16_384;

/// One data node's maintenance, as it is kept for the next process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspension {
    /// When it was suspended, in microseconds of Unix time.
    pub since_us: i64,
    /// When it was called back; `null` while it is left out.
    pub back_us: Option<i64>,
}

impl Suspension {
    fn holds(&self) -> bool {
        self.back_us.is_none()
    }
}

/// All bans, and which ids were ever listed.
#[derive(Debug, Default)]
pub struct Suspensions {
    bans: BTreeMap<String, Suspension>,
    seen: BTreeSet<String>,
    order: VecDeque<String>,
}

impl Suspensions {
    /// Notes that the list names a data node.
    pub fn listed(&mut self, id: &str) {
        if self.seen.contains(id) {
            return;
        }
        if self.order.len() >= MOST_SEEN {
            if let Some(oldest) = self.order.pop_front() {
                self.seen.remove(&oldest);
            }
        }
        self.seen.insert(id.into());
        self.order.push_back(id.into());
    }

    /// Whether a data node was ever listed, as far as this process knows.
    pub fn knows(&self, id: &str) -> bool {
        self.seen.contains(id) || self.bans.contains_key(id)
    }

    /// Whether another ban finds room.
    pub fn has_room(&self, id: &str) -> bool {
        self.bans.len() < MOST_BANS || self.bans.contains_key(id)
    }

    /// The ban that a call to suspend leaves in force. A repeated call changes nothing.
    pub fn suspended(&self, id: &str, now: Time) -> Suspension {
        match self.bans.get(id) {
            Some(ban) if ban.holds() => *ban,
            _ => Suspension {
                since_us: now.0,
                back_us: None,
            },
        }
    }

    /// What a call back leaves, if the data node was left out.
    pub fn resumed(&self, id: &str, now: Time) -> Option<Suspension> {
        let ban = self.bans.get(id).filter(|ban| ban.holds())?;
        Some(Suspension {
            back_us: Some(now.0),
            ..*ban
        })
    }

    /// Puts a ban, or its end, into force. Whether that changes anything.
    pub fn put(&mut self, id: &str, ban: Suspension) -> bool {
        self.has_room(id) && self.bans.insert(id.into(), ban) != Some(ban)
    }

    /// Takes in all that is kept, which another process may have changed. Returns the ids that changed. One that is
    /// kept no more was called back long ago.
    pub fn merge(&mut self, kept: &BTreeMap<String, Suspension>) -> Vec<String> {
        let dropped = self
            .bans
            .keys()
            .filter(|id| !kept.contains_key(*id))
            .cloned();
        let mut changed: Vec<String> = dropped.collect();
        for id in &changed {
            self.bans.remove(id);
        }
        for (id, ban) in kept {
            if self.put(id, *ban) {
                changed.push(id.clone());
            }
        }
        changed
    }

    /// Ends the memory of those that were called back so long ago that they are warm; their ids.
    pub fn expire(&mut self, now: Time, warm_up: f64) -> Vec<String> {
        let warm = |ban: &Suspension| ban.back_us.is_some_and(|at| now - Time(at) > warm_up);
        let over: Vec<String> = self
            .bans
            .iter()
            .filter(|(_, ban)| warm(ban))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.bans.remove(id);
        }
        over
    }

    /// What the decisions are told of a data node that the list calls so and that started then.
    pub fn overlay(
        &self,
        id: &str,
        state: ServerState,
        started: Option<Time>,
    ) -> (ServerState, Option<Time>) {
        let Some(ban) = self.bans.get(id) else {
            return (state, started);
        };
        match (ban.back_us, state) {
            (None, ServerState::Ready) => (ServerState::Draining, started),
            (Some(back), ServerState::Ready) => {
                // A start that the list tells of since then is the true one.
                let told = started.filter(|at| *at > Time(ban.since_us));
                (state, Some(told.unwrap_or(Time(back))))
            }
            _ => (state, started),
        }
    }

    /// The data nodes that are left out.
    pub fn held(&self) -> impl Iterator<Item = &str> {
        self.bans
            .iter()
            .filter(|(_, ban)| ban.holds())
            .map(|(id, _)| id.as_str())
    }
}

#[cfg(test)]
mod tests;
