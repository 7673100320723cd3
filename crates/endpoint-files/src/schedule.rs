//! What of a list is in force at a moment: times from and to which servers count, and weights on their way from the
//! old to the new. Free of I/O and clock.

use crate::model::{Phase, Roster};
use std::collections::BTreeMap;

/// How long a changed weight takes to its new value, in seconds: some times what servers take to fill caches for keys
/// that they did not see before, and short beside a storm.
pub const RAMP: f64 = 10.0;
/// In how many steps: each is a new word to the decisions, and a step of a twentieth is no burst.
const STEPS: f64 = 20.0;

/// A server as it counts at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Now {
    /// Whether it takes work.
    pub phase: Phase,
    /// Its weight, ramps worked in.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Ramp {
    from: f64,
    since: f64,
}

/// The list in force and what is on its way.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    roster: Roster,
    ramps: BTreeMap<String, Ramp>,
}

impl Schedule {
    /// Takes the next list. Weights of servers that stay begin to ramp from what they were.
    pub fn take(&mut self, now: f64, roster: Roster) {
        let mut ramps = BTreeMap::new();
        for (id, server) in &roster.servers {
            let Some(before) = self.at(now, id) else {
                continue;
            };
            if before.weight != server.weight {
                ramps.insert(
                    id.clone(),
                    Ramp {
                        from: before.weight,
                        since: now,
                    },
                );
            }
        }
        (self.roster, self.ramps) = (roster, ramps);
    }

    /// The list.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// A server at a moment; `None`: it does not count yet, or is not on the list.
    pub fn at(&self, now: f64, id: &str) -> Option<Now> {
        let server = self.roster.servers.get(id)?;
        if server.not_before.is_some_and(|from| now < from) {
            return None;
        }
        let phase = match server.not_after {
            Some(to) if now >= to => Phase::Leaving,
            _ => server.phase,
        };
        let weight = match self.ramps.get(id) {
            Some(ramp) => {
                let part = ((now - ramp.since) / RAMP * STEPS).floor() / STEPS;
                ramp.from + (server.weight - ramp.from) * part.clamp(0.0, 1.0)
            }
            None => server.weight,
        };
        Some(Now { phase, weight })
    }

    /// When the next change is due by itself, if any: a step of a ramp, or a time of the list.
    pub fn next(&self, now: f64) -> Option<f64> {
        let step = |ramp: &Ramp| {
            let done = ((now - ramp.since) / RAMP * STEPS).floor();
            (done < STEPS).then(|| ramp.since + (done.max(0.0) + 1.0) * RAMP / STEPS)
        };
        let times = self
            .roster
            .servers
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
