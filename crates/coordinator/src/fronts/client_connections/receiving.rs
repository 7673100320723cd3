//! The connections with an incomplete request, and the choice among them under pressure.
//!
//! Whoever has waited longest with the least progress goes first: connections that have been silent for a while, and
//! among these, or if there are none, the one whose request began first.

use super::Pressure;
use crate::memory::MemoryReservation;
use cairnroad_types::{Seconds, Time};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time from the first byte of a request before which its connection is not shed, in seconds. Requests of usual size
/// are complete by then.
const MIN_RECEIVE_TIME: Seconds = 0.25;
/// Time without a byte after which a connection counts as silent, in seconds.
const SILENCE: Seconds = 0.25;

/// A connection with an incomplete request.
struct ReceivingConnection {
    /// When the request began.
    started_at: Time,
    /// When the last bytes were received.
    progressed_at: Time,
    /// Notifies the session that its connection is shed.
    shed: Rc<Notify>,
    memory: Rc<MemoryReservation>,
}

impl ReceivingConnection {
    /// Returns whether no byte has arrived for a while.
    fn is_silent(&self, now: Time) -> bool {
        now - self.progressed_at >= SILENCE
    }
}

/// The connections with an incomplete request, by connection id.
#[derive(Default)]
pub(super) struct ReceivingConnections(BTreeMap<u64, ReceivingConnection>);

impl ReceivingConnections {
    /// Records that a connection received bytes of an incomplete request, which may be its first ones.
    pub(super) fn on_progress(
        &mut self,
        id: u64,
        now: Time,
        shed: &Rc<Notify>,
        memory: &Rc<MemoryReservation>,
    ) {
        let connection = self.0.entry(id).or_insert_with(|| ReceivingConnection {
            started_at: now,
            progressed_at: now,
            shed: shed.clone(),
            memory: memory.clone(),
        });
        connection.progressed_at = now;
    }

    /// Removes a connection whose request is complete, rejected or given up.
    pub(super) fn remove(&mut self, id: u64) {
        self.0.remove(&id);
    }

    /// Removes the connections that have been silent for a while, up to `limit`, those first whose requests began first.
    /// Returns the notifications of their sessions.
    pub(super) fn shed_silent(&mut self, now: Time, limit: usize) -> Vec<Rc<Notify>> {
        let mut silent: Vec<(Time, u64)> = self
            .0
            .iter()
            .filter(|(_, candidate)| candidate.is_silent(now))
            .map(|(&id, candidate)| (candidate.started_at, id))
            .collect();
        silent.sort_unstable();
        silent.truncate(limit);
        let shed = silent.into_iter().filter_map(|(_, id)| self.0.remove(&id));
        shed.map(|connection| connection.shed).collect()
    }

    /// Removes the connection that goes first under this pressure. Returns the notification of its session; `None` if no
    /// connection may be shed.
    pub(super) fn shed(&mut self, now: Time, pressure: Pressure) -> Option<Rc<Notify>> {
        let may_be_shed = |connection: &ReceivingConnection| {
            let frees_something = pressure == Pressure::Slots || connection.memory.bytes() > 0;
            frees_something && now - connection.started_at >= MIN_RECEIVE_TIME
        };
        let candidates = self
            .0
            .iter()
            .filter(|(_, candidate)| may_be_shed(candidate));
        let first = candidates
            .min_by_key(|(&id, candidate)| (!candidate.is_silent(now), candidate.started_at, id));
        let id = first.map(|(&id, _)| id)?;
        self.0.remove(&id).map(|connection| connection.shed)
    }
}

#[cfg(test)]
mod tests;
