//! The whole history of a run on one clock, and what is wrong with it.

use super::scenario::Fault;
use crate::load::End;
use std::collections::BTreeSet;

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub coordinator: usize,
    pub query: u64,
    pub at: f64,
    pub ended: f64,
    pub end: End,
    /// What was wrong with its answer.
    pub wrong: Option<String>,
}

/// What one coordinator said of its group.
#[derive(Clone, Debug)]
pub struct Sight {
    pub at: f64,
    pub by: usize,
    /// Whom it sees there, itself included.
    pub there: BTreeSet<usize>,
}

/// All that happened.
#[derive(Default)]
pub struct History {
    pub coordinators: usize,
    pub asked: Vec<Asked>,
    pub sights: Vec<Sight>,
    pub faults: Vec<(f64, Fault)>,
    /// What the data nodes' own ledger holds against the rules.
    pub ledger: Vec<String>,
}

/// How long before its client noticed a process may have been struck, in seconds.
const NOTICED: f64 = 0.25;
/// The share of requests whose answers may come late where nobody was struck: a busy machine holds one up now and then,
/// a program that is late by itself is so wherever a request waits to its end.
const LATE_SHARE: f64 = 0.01;

/// Who is alive, who runs, and who reaches whom, at a moment.
#[derive(Clone)]
struct World {
    alive: Vec<bool>,
    stopped: Vec<bool>,
    muted: Vec<bool>,
    cuts: Vec<BTreeSet<usize>>,
}

impl World {
    fn strike(&mut self, fault: &Fault) {
        for &member in fault.members() {
            match fault {
                Fault::Kill { .. } => (self.alive[member], self.stopped[member]) = (false, false),
                Fault::Start { .. } => self.alive[member] = true,
                Fault::Stop { .. } => self.stopped[member] = true,
                Fault::Resume { .. } => self.stopped[member] = false,
                Fault::Mute { .. } => self.muted[member] = true,
                _ => {}
            }
        }
        match fault {
            Fault::Cut { members, .. } => self.cuts.push(members.iter().copied().collect()),
            Fault::Heal => {
                self.cuts.clear();
                self.muted.iter_mut().for_each(|muted| *muted = false);
            }
            _ => {}
        }
    }

    /// Whom one of those who run has to see there; `None` where nothing is promised.
    fn expected(&self, by: usize) -> Option<BTreeSet<usize>> {
        if !self.alive[by] || self.stopped[by] || self.muted[by] {
            return None;
        }
        let reached = |of: usize| {
            let heard = self.alive[of] && !self.stopped[of] && !self.muted[of];
            of == by
                || (heard
                    && self
                        .cuts
                        .iter()
                        .all(|side| side.contains(&of) == side.contains(&by)))
        };
        Some((0..self.alive.len()).filter(|of| reached(*of)).collect())
    }
}

impl History {
    /// Everything that is wrong, in words. Views have to be right from `settled` seconds after a fault on.
    pub fn violations(&self, settled: f64) -> Vec<String> {
        let mut wrong: Vec<String> = self.ledger.clone();
        wrong.extend(self.asked.iter().filter_map(|asked| asked.wrong.clone()));
        wrong.extend(self.unanswered());
        wrong.extend(self.late());
        wrong.extend(self.false_views(settled));
        wrong
    }

    /// Requests without a final answer, though their coordinator lived and ran.
    fn unanswered(&self) -> impl Iterator<Item = String> + '_ {
        let lost = self
            .asked
            .iter()
            .filter(|asked| matches!(asked.end, End::Silent | End::Cut));
        lost.filter(|asked| !self.was_struck(asked)).map(|asked| {
            format!(
                "query {} at coordinator {}, {:.2} to {:.2} s: no final answer ({:?})",
                asked.query, asked.coordinator, asked.at, asked.ended, asked.end
            )
        })
    }

    /// Whether more answers came late than a busy machine explains.
    fn late(&self) -> Option<String> {
        let late = self
            .asked
            .iter()
            .filter(|asked| asked.end == End::Late && !self.was_struck(asked))
            .count();
        let many = late as f64 > LATE_SHARE * self.asked.len() as f64;
        many.then(|| {
            format!(
                "{late} of {} answers came after their clients' time",
                self.asked.len()
            )
        })
    }

    /// Whether the coordinator was killed, or stopped, while it had the request.
    fn was_struck(&self, asked: &Asked) -> bool {
        let mut stopped = false;
        for (at, fault) in &self.faults {
            let ours = fault.members().contains(&asked.coordinator);
            if !ours || *at > asked.ended {
                continue;
            }
            match fault {
                Fault::Kill { .. } if *at > asked.at - NOTICED => return true,
                Fault::Stop { .. } => {
                    stopped = true;
                    if *at > asked.at - NOTICED {
                        return true;
                    }
                }
                Fault::Resume { .. } => {
                    stopped = false;
                    // What came during the stop is found late.
                    if *at > asked.at - NOTICED {
                        return true;
                    }
                }
                _ => {}
            }
        }
        stopped
    }

    /// Views that are wrong though nothing has happened for so long that they must be right.
    fn false_views(&self, settled: f64) -> Vec<String> {
        let mut world = World {
            alive: vec![true; self.coordinators],
            stopped: vec![false; self.coordinators],
            muted: vec![false; self.coordinators],
            cuts: Vec::new(),
        };
        let mut wrong = Vec::new();
        let mut faults = self.faults.iter().peekable();
        let mut since = 0.0;
        let mut sights: Vec<&Sight> = self.sights.iter().collect();
        sights.sort_by(|a, b| a.at.total_cmp(&b.at));
        for sight in sights {
            while let Some((at, fault)) = faults.next_if(|(at, _)| *at <= sight.at) {
                world.strike(fault);
                since = *at;
            }
            if sight.at < since + settled {
                continue;
            }
            let Some(expected) = world.expected(sight.by) else {
                continue;
            };
            if sight.there != expected {
                let missing: Vec<_> = expected.difference(&sight.there).collect();
                let surplus: Vec<_> = sight.there.difference(&expected).collect();
                wrong.push(format!(
                    "coordinator {} at {:.2} s, {:.1} s after the last fault: misses {missing:?}, sees {surplus:?}",
                    sight.by,
                    sight.at,
                    sight.at - since
                ));
            }
        }
        wrong
    }
}

#[cfg(test)]
mod tests;
