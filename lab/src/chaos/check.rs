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
            of == by || (heard && self.cuts.iter().all(|side| side.contains(&of) == side.contains(&by)))
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
        wrong.extend(self.false_views(settled));
        wrong
    }

    /// Requests without a final answer, though their coordinator lived and ran.
    fn unanswered(&self) -> impl Iterator<Item = String> + '_ {
        let lost = self.asked.iter().filter(|asked| matches!(asked.end, End::Silent | End::Cut));
        lost.filter(|asked| !self.was_struck(asked)).map(|asked| {
            format!(
                "query {} at coordinator {}, {:.2} to {:.2} s: no final answer ({:?})",
                asked.query, asked.coordinator, asked.at, asked.ended, asked.end
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
            let Some(expected) = world.expected(sight.by) else { continue };
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
mod tests {
    use super::*;

    fn history() -> History {
        History { coordinators: 4, ..History::default() }
    }

    fn asked(coordinator: usize, at: f64, ended: f64, end: End) -> Asked {
        Asked { coordinator, query: 7, at, ended, end, wrong: None }
    }

    fn sight(at: f64, by: usize, there: &[usize]) -> Sight {
        Sight { at, by, there: there.iter().copied().collect() }
    }

    #[test]
    fn a_request_without_its_answer_is_told_unless_its_process_was_struck() {
        let mut history = history();
        history.faults = vec![
            (5.0, Fault::Kill { members: vec![1] }),
            (5.0, Fault::Stop { members: vec![2] }),
            (9.0, Fault::Resume { members: vec![2] }),
            (5.0, Fault::Restart { members: vec![3] }),
        ];
        let excused = [
            asked(1, 4.9, 5.1, End::Cut),
            asked(2, 4.0, 6.0, End::Silent),
            asked(2, 7.0, 9.5, End::Silent),
            asked(0, 4.9, 5.1, End::Refused),
        ];
        history.asked = excused.to_vec();
        assert!(history.violations(1.0).is_empty());
        let lost = [
            asked(0, 4.9, 7.0, End::Silent),
            asked(1, 1.0, 3.0, End::Silent),
            asked(2, 12.0, 14.0, End::Cut),
            asked(3, 4.9, 5.5, End::Cut),
        ];
        for one in lost {
            history.asked = vec![one.clone()];
            let wrong = history.violations(1.0);
            assert!(wrong.len() == 1 && wrong[0].contains("no final answer"), "{one:?}");
        }
    }

    #[test]
    fn a_view_that_stays_wrong_is_told() {
        let mut history = history();
        history.faults = vec![
            (10.0, Fault::Cut { members: vec![0, 1], nodes: vec![] }),
            (30.0, Fault::Heal),
            (40.0, Fault::Kill { members: vec![3] }),
            (60.0, Fault::Mute { members: vec![2] }),
        ];
        history.sights = vec![
            sight(1.0, 0, &[0]),
            sight(6.0, 0, &[0, 1, 2, 3]),
            sight(12.0, 0, &[0, 1, 2, 3]),
            sight(16.0, 0, &[0, 1]),
            sight(16.0, 2, &[2, 3]),
            sight(36.0, 1, &[0, 1, 2, 3]),
            sight(46.0, 1, &[0, 1, 2]),
            sight(66.0, 1, &[0, 1]),
            sight(66.0, 2, &[2]),
        ];
        assert!(history.violations(5.0).is_empty(), "{:?}", history.violations(5.0));
        for late in [sight(16.0, 0, &[0, 1, 2]), sight(36.0, 3, &[2, 3]), sight(46.0, 0, &[0, 1, 2, 3])] {
            let sights = std::mem::replace(&mut history.sights, vec![late]);
            assert_eq!(history.violations(5.0).len(), 1, "{:?}", history.sights);
            history.sights = sights;
        }
    }

    #[test]
    fn what_nodes_and_answers_tell_is_told() {
        let mut history = history();
        history.ledger = vec!["server 1 got a part 300 ms after it was removed".into()];
        history.asked = vec![Asked { wrong: Some("values".into()), ..asked(0, 1.0, 1.1, End::Served) }];
        assert_eq!(history.violations(5.0).len(), 2);
    }
}
