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
            let Some(before) = self.at(now, id) else { continue };
            if before.weight != server.weight {
                ramps.insert(id.clone(), Ramp { from: before.weight, since: now });
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
        let times = self.roster.servers.values().flat_map(|server| [server.not_before, server.not_after]);
        let times = times.flatten().filter(|&at| at > now);
        self.ramps.values().filter_map(step).chain(times).min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::read::read;

    fn roster(text: &str) -> Roster {
        read(&[("a.toml".into(), Ok(text.into()))]).unwrap()
    }

    #[test]
    fn weights_ramp_and_a_new_list_goes_on_from_where_they_are() {
        let text = |generation: u64, weight: f64| {
            roster(&format!("generation = {generation}\n[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\ncell = 0\nweight = {weight:?}\n# end\n"))
        };
        let mut schedule = Schedule::default();
        schedule.take(100.0, text(1, 1.0));
        assert_eq!(
            (schedule.at(100.0, "a").unwrap().weight, schedule.next(100.0)),
            (1.0, None),
            "a first list stands at once"
        );
        schedule.take(200.0, text(2, 3.0));
        assert_eq!(schedule.at(200.0, "a").unwrap().weight, 1.0);
        assert_eq!(schedule.next(200.0), Some(200.5));
        assert!((schedule.at(205.0, "a").unwrap().weight - 2.0).abs() < 1e-9);
        schedule.take(205.0, text(3, 0.0));
        assert!((schedule.at(205.0, "a").unwrap().weight - 2.0).abs() < 1e-9, "no jump");
        assert_eq!((schedule.at(215.0, "a").unwrap().weight, schedule.next(215.0)), (0.0, None));
        // Steps only ever go towards the new weight.
        let mut last = 2.0;
        let mut now = 205.0;
        while let Some(next) = schedule.next(now) {
            assert!(next > now, "{next} after {now}");
            now = next;
            let weight = schedule.at(now, "a").unwrap().weight;
            assert!(weight <= last, "{weight} after {last}");
            last = weight;
        }
        assert_eq!(last, 0.0);
    }

    #[test]
    fn servers_count_from_and_to_their_times() {
        let text = "generation = 1\n[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\ncell = 0\n\
            not_before = 1970-01-01T00:01:40Z\nnot_after = 1970-01-01T01:03:20+01:00\n# end\n";
        let mut schedule = Schedule::default();
        schedule.take(0.0, roster(text));
        let phase = |at: f64| schedule.at(at, "a").map(|now| now.phase);
        assert_eq!(
            (phase(99.0), phase(100.0), phase(199.9), phase(200.0)),
            (None, Some(Phase::Active), Some(Phase::Active), Some(Phase::Leaving))
        );
        assert_eq!(
            (schedule.next(0.0), schedule.next(100.0), schedule.next(200.0)),
            (Some(100.0), Some(200.0), None)
        );
    }
}
