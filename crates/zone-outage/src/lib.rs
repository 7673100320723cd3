//! Detection of zones that are unreachable as a whole, from what one coordinator's own sends met.
//!
//! A coordinator with little traffic sends to each server every few seconds, so the silence of one server
//! proves nothing at once. But zones fail whole: if a few servers of one zone leave requests unanswered, while
//! none of that zone answers anything newer and servers elsewhere do, the zone is unreachable. The package
//! decides nothing about single servers.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_types::{Seconds, Time};
use std::collections::BTreeMap;

/// Silent servers that an outage takes at least: one alone may be faulty.
const MIN_SILENT_SERVERS: usize = 2;
/// Share of a zone's servers that must be silent: among many servers, two faulty ones meet by chance.
const MIN_SILENT_SHARE: f64 = 0.14;
/// The zone number of servers whose zone is unknown; nothing is concluded from them.
const UNKNOWN_ZONE: u32 = 0;

/// What is known of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerObservation {
    /// The server's zone; 0 if it is unknown, in which case the server is ignored.
    pub zone: u32,
    /// When the latest request that it answered was sent.
    pub last_answered_send: Time,
    /// When the first request was sent that it left unanswered past its time since it was last heard from.
    pub unanswered_since: Option<Time>,
}

/// The observations of one zone, added up.
#[derive(Default)]
struct ZoneSummary {
    servers: usize,
    last_answered_send: Time,
    unanswered_sends: Vec<Time>,
}

impl ZoneSummary {
    /// Whether enough servers are silent, counting only sends up to the latest one that was answered anywhere.
    fn is_unreachable(&self, last_answered_anywhere: Time) -> bool {
        let silent = self
            .unanswered_sends
            .iter()
            .filter(|&&at| self.last_answered_send < at && at <= last_answered_anywhere)
            .count();
        silent >= MIN_SILENT_SERVERS && silent as f64 >= MIN_SILENT_SHARE * self.servers as f64
    }
}

/// The zones that are unreachable, and when each outage was detected.
#[derive(Default)]
pub struct ZoneOutages {
    detected_at: BTreeMap<u32, Time>,
}

impl ZoneOutages {
    /// Returns the zones that the observations show to be unreachable and that weren't known to be.
    pub fn detect_outages(&mut self, now: Time, observations: &[ServerObservation]) -> Vec<u32> {
        let zones = summarize(observations);
        // What was sent when no server anywhere answered proves nothing of a zone: the fault may be our own.
        let last_answered_anywhere = zones
            .values()
            .map(|zone| zone.last_answered_send)
            .max()
            .unwrap_or_default();
        // A zone without listed servers no longer exists.
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

    /// Ends a zone's outage because one of its servers was heard from.
    ///
    /// Returns how long the outage lasted in seconds, `None` if the zone wasn't unreachable.
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
