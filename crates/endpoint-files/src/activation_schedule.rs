//! Computes the phase and weight of each endpoint at a given time from the list's activation times and gradual weight
//! changes, without I/O or a clock.

use crate::endpoint_set::{EndpointSet, Phase};
use crate::timestamp::UnixSeconds;
use std::collections::BTreeMap;

/// Duration of a weight change: a few times as long as a data node takes to fill its caches for keys that are new to
/// it, and short compared with a surge of load.
pub const WEIGHT_RAMP_SECONDS: f64 = 10.0;
/// Number of steps of a ramp. Each step costs the router an update, and a twentieth of the change causes no burst.
const WEIGHT_RAMP_STEPS: f64 = 20.0;

/// The phase and weight of an endpoint at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Whether the endpoint takes new work.
    pub phase: Phase,
    /// The current weight; during a ramp, a value between the old and the listed weight.
    pub weight: f64,
}

/// A gradual change from an earlier weight to the listed one.
#[derive(Clone, Copy, Debug)]
struct WeightRamp {
    initial_weight: f64,
    started_at: UnixSeconds,
}

impl WeightRamp {
    /// Returns the number of steps done, which may exceed [`WEIGHT_RAMP_STEPS`], or be negative if the clock was set
    /// back.
    fn steps_done(&self, now: UnixSeconds) -> f64 {
        ((now - self.started_at) / WEIGHT_RAMP_SECONDS * WEIGHT_RAMP_STEPS).floor()
    }

    fn weight(&self, now: UnixSeconds, target: f64) -> f64 {
        let progress = self.steps_done(now) / WEIGHT_RAMP_STEPS;
        self.initial_weight + (target - self.initial_weight) * progress.clamp(0.0, 1.0)
    }

    /// Returns when the next step is due; `None` once the ramp is complete.
    fn next_step(&self, now: UnixSeconds) -> Option<UnixSeconds> {
        let done = self.steps_done(now);
        (done < WEIGHT_RAMP_STEPS).then(|| {
            self.started_at + (done.max(0.0) + 1.0) * WEIGHT_RAMP_SECONDS / WEIGHT_RAMP_STEPS
        })
    }
}

/// The endpoint set in force, and its weight ramps.
#[derive(Clone, Debug, Default)]
pub struct ActivationSchedule {
    /// The set in force; `None` until the first one.
    endpoint_set: Option<EndpointSet>,
    ramps: BTreeMap<String, WeightRamp>,
}

impl ActivationSchedule {
    /// Puts a set into force. Weights of endpoints that were in the list before ramp from their current value.
    pub fn replace(&mut self, now: UnixSeconds, endpoint_set: EndpointSet) {
        let mut ramps = BTreeMap::new();
        for (id, endpoint) in &endpoint_set.endpoints {
            let Some(before) = self.status_at(now, id) else {
                continue;
            };
            if before.weight != endpoint.weight {
                let ramp = WeightRamp {
                    initial_weight: before.weight,
                    started_at: now,
                };
                ramps.insert(id.clone(), ramp);
            }
        }
        self.endpoint_set = Some(endpoint_set);
        self.ramps = ramps;
    }

    /// Returns the set in force; `None` until the first one.
    pub fn endpoint_set(&self) -> Option<&EndpointSet> {
        self.endpoint_set.as_ref()
    }

    /// Returns the phase and weight of an endpoint at `now`; `None` if it is not listed or not activated yet.
    pub fn status_at(&self, now: UnixSeconds, id: &str) -> Option<EndpointStatus> {
        let endpoint = self.endpoint_set()?.endpoints.get(id)?;
        if endpoint.not_before.is_some_and(|from| now < from) {
            return None;
        }
        let phase = match endpoint.not_after {
            Some(to) if now >= to => Phase::Draining,
            _ => endpoint.phase,
        };
        let weight = match self.ramps.get(id) {
            Some(ramp) => ramp.weight(now, endpoint.weight),
            None => endpoint.weight,
        };
        Some(EndpointStatus { phase, weight })
    }

    /// Returns when the next change without a new set is due: a step of a ramp or an activation time.
    pub fn next_change(&self, now: UnixSeconds) -> Option<UnixSeconds> {
        let activation_times = self
            .endpoint_set()
            .into_iter()
            .flat_map(|endpoint_set| endpoint_set.endpoints.values())
            .flat_map(|endpoint| [endpoint.not_before, endpoint.not_after])
            .flatten()
            .filter(|&at| at > now);
        let ramp_steps = self.ramps.values().filter_map(|ramp| ramp.next_step(now));
        ramp_steps.chain(activation_times).min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
