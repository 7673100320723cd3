//! Detection of unreachable zones from the outcomes of one coordinator's own attempts.
//!
//! A coordinator with little traffic sends to each server only every few seconds, so one unresponsive server
//! proves little. But a zone fails as a whole. It counts as unreachable if a few of its servers leave requests
//! unanswered, none of its servers answers any later request, and servers of other zones do. The package makes
//! no decision about single servers.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_types::{Seconds, Time};
use std::collections::BTreeMap;

/// Smallest number of unresponsive servers in an outage. A single one may just be faulty.
const MIN_UNRESPONSIVE_SERVERS: usize = 2;
/// Smallest share of a zone's servers that must be unresponsive. In a large zone, two servers may be faulty at
/// the same time by chance.
const MIN_UNRESPONSIVE_SHARE: f64 = 0.14;
/// Zone number of servers whose zone is unknown. These servers are ignored.
const UNKNOWN_ZONE: u32 = 0;

/// The latest answered and unanswered sends to one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerObservation {
    /// Zone of the server; 0 if it is unknown, in which case the server is ignored.
    pub zone: u32,
    /// Send time of the latest request that the server answered.
    pub last_answered_send: Time,
    /// Send time of the first request since the server's last response that it left unanswered until the
    /// request was overdue; `None` if there is none.
    pub unanswered_since: Option<Time>,
}

/// Summary of the observations of one zone's servers.
#[derive(Default)]
struct ZoneSummary {
    servers: usize,
    last_answered_send: Time,
    unanswered_sends: Vec<Time>,
}

impl ZoneSummary {
    /// Returns whether enough servers are unresponsive, counting only sends up to the latest one that a
    /// server of any zone answered.
    fn is_unreachable(&self, last_answered_anywhere: Time) -> bool {
        let unresponsive = self
            .unanswered_sends
            .iter()
            .filter(|&&at| self.last_answered_send < at && at <= last_answered_anywhere)
            .count();
        unresponsive >= MIN_UNRESPONSIVE_SERVERS
            && unresponsive as f64 >= MIN_UNRESPONSIVE_SHARE * self.servers as f64
    }
}

/// The unreachable zones, and when each outage was detected.
#[derive(Default)]
pub struct ZoneOutages {
    detected_at: BTreeMap<u32, Time>,
}

impl ZoneOutages {
    /// Returns the zones that the observations show to be unreachable and that weren't known to be unreachable.
    pub fn detect_outages(&mut self, now: Time, observations: &[ServerObservation]) -> Vec<u32> {
        let zones = summarize(observations);
        // Sends from a time at which no server of any zone answered prove nothing about a zone: the fault may
        // lie with this coordinator.
        let last_answered_anywhere = zones
            .values()
            .map(|zone| zone.last_answered_send)
            .max()
            .unwrap_or_default();
        // A zone without servers in the endpoint list no longer exists.
        self.detected_at.retain(|zone, _| zones.contains_key(zone));
        let detected: Vec<u32> = zones
            .iter()
            .filter(|(_, summary)| summary.is_unreachable(last_answered_anywhere))
            .map(|(&zone, _)| zone)
            .filter(|zone| !self.detected_at.contains_key(zone))
            .collect();
        self.detected_at
            .extend(detected.iter().map(|&zone| (zone, now)));
        detected
    }

    /// Ends a zone's outage after one of its servers responded.
    ///
    /// Returns the duration of the outage in seconds; `None` if the zone wasn't unreachable.
    pub fn end_outage(&mut self, now: Time, zone: u32) -> Option<Seconds> {
        self.detected_at.remove(&zone).map(|since| now - since)
    }
}

fn summarize(observations: &[ServerObservation]) -> BTreeMap<u32, ZoneSummary> {
    let mut zones: BTreeMap<u32, ZoneSummary> = BTreeMap::new();
    for server in observations {
        if server.zone == UNKNOWN_ZONE {
            continue;
        }
        let zone = zones.entry(server.zone).or_default();
        zone.servers += 1;
        zone.last_answered_send = zone.last_answered_send.max(server.last_answered_send);
        zone.unanswered_sends.extend(server.unanswered_since);
    }
    zones
}

#[cfg(test)]
mod tests;
