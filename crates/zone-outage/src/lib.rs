//! Which zones are lost: a failure detector over what one node's own sends met. It decides nothing about servers.
//!
//! A node with little traffic meets each server every few seconds, and silence proves nothing at once. But zones are
//! lost whole: a few servers of one zone that keep what was sent to them, while none of that zone answers anything
//! newer and others elsewhere do, tell of all of it.

use cairnroad_types::Time;
use std::collections::BTreeMap;

/// A zone is lost once so many of its servers are silent. One alone may be ill.
const SILENT: usize = 2;
/// And this share of them: among many servers two ill ones meet by chance.
const SILENT_SHARE: f64 = 0.14;

/// What is known of one server.
#[derive(Clone, Copy, Debug)]
pub struct Sighting {
    /// Its zone; 0 where none is told, of which nothing follows.
    pub zone: u32,
    /// The latest send that it answered.
    pub answered: Time,
    /// The first send since it was last heard of that has had no answer in time, if there is one.
    pub kept: Option<Time>,
}

/// What is added up for one zone.
#[derive(Default)]
struct Zone {
    size: usize,
    answered: Time,
    kept: Vec<Time>,
}

/// The lost zones, and when each was found lost.
#[derive(Default)]
pub struct Zones(BTreeMap<u32, Time>);

impl Zones {
    /// The zones that these sightings show to be lost, and that were not known to be.
    pub fn lost(&mut self, now: Time, sightings: &[Sighting]) -> Vec<u32> {
        let mut zones: BTreeMap<u32, Zone> = BTreeMap::new();
        for sighting in sightings.iter().filter(|sighting| sighting.zone != 0) {
            let zone = zones.entry(sighting.zone).or_default();
            zone.size += 1;
            zone.answered = zone.answered.max(sighting.answered);
            zone.kept.extend(sighting.kept);
        }
        // What went out when nobody anywhere answered says nothing of this zone: the fault may be ours.
        let anywhere = zones
            .values()
            .map(|zone| zone.answered)
            .max()
            .unwrap_or_default();
        // A zone that left the list is no zone; its servers are gone.
        self.0.retain(|zone, _| zones.contains_key(zone));
        let silent = |zone: &Zone| {
            let count = zone
                .kept
                .iter()
                .filter(|&&at| zone.answered < at && at <= anywhere)
                .count();
            count >= SILENT && count as f64 >= SILENT_SHARE * zone.size as f64
        };
        let found: Vec<u32> = zones
            .iter()
            .filter(|(_, zone)| silent(zone))
            .map(|(&zone, _)| zone)
            .collect();
        let fresh: Vec<u32> = found
            .into_iter()
            .filter(|zone| !self.0.contains_key(zone))
            .collect();
        self.0.extend(fresh.iter().map(|&zone| (zone, now)));
        fresh
    }

    /// A server of this zone was heard: for how many seconds the zone was lost, if it was.
    pub fn found(&mut self, now: Time, zone: u32) -> Option<f64> {
        self.0.remove(&zone).map(|since| now - since)
    }
}

#[cfg(test)]
mod tests;
