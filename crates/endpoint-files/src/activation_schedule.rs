//! What of a list is in force at a moment: times from and to which servers count, and weights on their way from the
//! old to the new. Free of I/O and clock.

use crate::endpoint_set::{EndpointSet, Phase};
use std::collections::BTreeMap;

/// How long a changed weight takes to its new value, in seconds: some times what servers take to fill caches for keys
/// that they did not see before, and short beside a storm.
pub const WEIGHT_RAMP: f64 = 10.0;
/// In how many steps: each is a new word to the decisions, and a step of a twentieth is no burst.
const WEIGHT_RAMP_STEPS: f64 = 20.0;

/// A server as it counts at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Whether it takes work.
    pub phase: Phase,
    /// Its weight, ramps worked in.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct WeightRamp {
    from: f64,
    since: f64,
}

/// The list in force and what is on its way.
#[derive(Clone, Debug, Default)]
pub struct ActivationSchedule {
    roster: EndpointSet,
    ramps: BTreeMap<String, WeightRamp>,
}

impl ActivationSchedule {
    /// Takes the next list. Weights of servers that stay begin to ramp from what they were.
    pub fn replace(&mut self, now: f64, roster: EndpointSet) {
        let mut ramps = BTreeMap::new();
        for (id, server) in &roster.endpoints {
            let Some(before) = self.status_at(now, id) else {
                continue;
            };
            if before.weight != server.weight {
                ramps.insert(
                    id.clone(),
                    WeightRamp {
                        from: before.weight,
                        since: now,
                    },
                );
            }
        }
        (self.roster, self.ramps) = (roster, ramps);
    }

    /// The list.
    pub fn endpoint_set(&self) -> &EndpointSet {
        &self.roster
    }

    /// A server at a moment; `None`: it does not count yet, or is not on the list.
    pub fn status_at(&self, now: f64, id: &str) -> Option<EndpointStatus> {
        let server = self.roster.endpoints.get(id)?;
        if server.not_before.is_some_and(|from| now < from) {
            return None;
        }
        let phase = match server.not_after {
            Some(to) if now >= to => Phase::Draining,
            _ => server.phase,
        };
        let weight = match self.ramps.get(id) {
            Some(ramp) => {
                let part = ((now - ramp.since) / WEIGHT_RAMP * WEIGHT_RAMP_STEPS).floor()
                    / WEIGHT_RAMP_STEPS;
                ramp.from + (server.weight - ramp.from) * part.clamp(0.0, 1.0)
            }
            None => server.weight,
        };
        Some(EndpointStatus { phase, weight })
    }

    /// When the next change is due by itself, if any: a step of a ramp, or a time of the list.
    pub fn next_change(&self, now: f64) -> Option<f64> {
        let step = |ramp: &WeightRamp| {
            let done = ((now - ramp.since) / WEIGHT_RAMP * WEIGHT_RAMP_STEPS).floor();
            (done < WEIGHT_RAMP_STEPS)
                .then(|| ramp.since + (done.max(0.0) + 1.0) * WEIGHT_RAMP / WEIGHT_RAMP_STEPS)
        };
        let times = self
            .roster
            .endpoints
            .values()
            .flat_map(|server| [server.not_before, server.not_after]);
        let times = times.flatten().filter(|&at| at > now);
        self.ramps
            .values()
            .filter_map(step)
            .chain(times)
            .min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
