//! The whole history of a run on one clock, and what is wrong with it.

use super::scenario::{Fault, TimedFault};
use crate::workload::Ending;
use std::collections::BTreeSet;

/// How long before its client noticed a process may have been affected by a fault, in seconds.
const NOTICE_DELAY: f64 = 0.25;
/// The share of requests whose answers may come late where no fault explains it: a busy machine holds one up now and
/// then, while a program that is late by itself is so wherever a request waits to its end.
const MAX_LATE_SHARE: f64 = 0.01;

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The coordinator that was asked.
    pub coordinator: usize,
    /// The query's number.
    pub query: u64,
    /// When it was asked, in seconds from the run's start.
    pub asked_at: f64,
    /// When it ended.
    pub ended_at: f64,
    /// How it ended.
    pub ending: Ending,
    /// What was wrong with its answer, if anything.
    pub answer_fault: Option<String>,
}

/// Which members one coordinator saw at a moment.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// When, in seconds from the run's start.
    pub seen_at: f64,
    /// The coordinator.
    pub observer: usize,
    /// The members that it saw alive, itself included.
    pub alive: BTreeSet<usize>,
}

/// All that happened.
#[derive(Default)]
pub struct History {
    /// Number of coordinators.
    pub coordinators: usize,
    /// All requests.
    pub requests: Vec<RequestRecord>,
    /// All membership views.
    pub views: Vec<MembershipView>,
    /// All faults, in the order of time.
    pub faults: Vec<TimedFault>,
    /// The rules that were broken by what reached the data nodes.
    pub run_log_violations: Vec<String>,
}

/// Who is alive, who runs, and who reaches whom, at a moment.
struct Reachability {
    alive: Vec<bool>,
    stopped: Vec<bool>,
    muted: Vec<bool>,
    /// The coordinators of one side of each partition.
    partitions: Vec<BTreeSet<usize>>,
}

impl Reachability {
    fn new(coordinators: usize) -> Reachability {
        Reachability {
            alive: vec![true; coordinators],
            stopped: vec![false; coordinators],
            muted: vec![false; coordinators],
            partitions: Vec::new(),
        }
    }

    fn apply(&mut self, fault: &Fault) {
        for &member in fault.members() {
            match fault {
                Fault::Kill { .. } => {
                    self.alive[member] = false;
                    self.stopped[member] = false;
                }
                Fault::Start { .. } => self.alive[member] = true,
                Fault::Stop { .. } => self.stopped[member] = true,
                Fault::Resume { .. } => self.stopped[member] = false,
                Fault::Mute { .. } => self.muted[member] = true,
                _ => {}
            }
        }
        match fault {
            Fault::Partition { members, .. } => {
                self.partitions.push(members.iter().copied().collect());
            }
            Fault::Heal => {
                self.partitions.clear();
                self.muted.fill(false);
            }
            _ => {}
        }
    }

    fn is_heard(&self, member: usize) -> bool {
        self.alive[member] && !self.stopped[member] && !self.muted[member]
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        let mut sides = self.partitions.iter();
        sides.all(|side| side.contains(&one) == side.contains(&other))
    }

    /// Returns whom a running coordinator has to see alive; `None` where nothing is promised.
    fn expected_view(&self, observer: usize) -> Option<BTreeSet<usize>> {
        if !self.is_heard(observer) {
            return None;
        }
        let is_seen = |member: &usize| {
            *member == observer || (self.is_heard(*member) && self.are_connected(*member, observer))
        };
        Some((0..self.alive.len()).filter(is_seen).collect())
    }
}

impl History {
    /// Returns everything that is wrong, in words. Views have to be right from `settling_seconds` after a fault on.
    pub fn violations(&self, settling_seconds: f64) -> Vec<String> {
        let mut violations = self.run_log_violations.clone();
        let answer_faults = self.requests.iter();
        violations.extend(answer_faults.filter_map(|request| request.answer_fault.clone()));
        violations.extend(self.unanswered_requests());
        violations.extend(self.too_many_late_answers());
        violations.extend(self.wrong_views(settling_seconds));
        violations
    }

    /// Requests without a final answer, though their coordinator lived and ran.
    fn unanswered_requests(&self) -> impl Iterator<Item = String> + '_ {
        let lost = self.requests.iter().filter(|request| {
            matches!(request.ending, Ending::Unanswered | Ending::Disconnected)
                && !self.was_under_fault(request)
        });
        lost.map(|request| {
            format!(
                "query {} at coordinator {}, {:.2} to {:.2} s: no final answer ({:?})",
                request.query,
                request.coordinator,
                request.asked_at,
                request.ended_at,
                request.ending
            )
        })
    }

    /// More late answers than a busy machine explains.
    fn too_many_late_answers(&self) -> Option<String> {
        let late = self
            .requests
            .iter()
            .filter(|request| request.ending == Ending::Late && !self.was_under_fault(request));
        let late = late.count();
        let asked = self.requests.len();
        let too_many = late as f64 > MAX_LATE_SHARE * asked as f64;
        too_many.then(|| format!("{late} of {asked} answers came after their clients' time"))
    }

    /// Whether the coordinator was killed, or stopped, while it had the request.
    fn was_under_fault(&self, request: &RequestRecord) -> bool {
        let mut stopped = false;
        for TimedFault { at, fault } in &self.faults {
            let affected = fault.members().contains(&request.coordinator);
            if !affected || *at > request.ended_at {
                continue;
            }
            let during_request = *at > request.asked_at - NOTICE_DELAY;
            match fault {
                // What came during a stop is found late after the resume.
                Fault::Kill { .. } | Fault::Stop { .. } | Fault::Resume { .. }
                    if during_request =>
                {
                    return true
                }
                Fault::Stop { .. } => stopped = true,
                Fault::Resume { .. } => stopped = false,
                _ => {}
            }
        }
        stopped
    }

    /// Views that are wrong though nothing has happened for so long that they must be right.
    fn wrong_views(&self, settling_seconds: f64) -> Vec<String> {
        let mut reachability = Reachability::new(self.coordinators);
        let mut violations = Vec::new();
        let mut faults = self.faults.iter().peekable();
        let mut last_fault_at = 0.0;
        let mut views: Vec<&MembershipView> = self.views.iter().collect();
        views.sort_by(|a, b| a.seen_at.total_cmp(&b.seen_at));
        for view in views {
            while let Some(TimedFault { at, fault }) =
                faults.next_if(|fault| fault.at <= view.seen_at)
            {
                reachability.apply(fault);
                last_fault_at = *at;
            }
            if view.seen_at < last_fault_at + settling_seconds {
                continue;
            }
            let Some(expected) = reachability.expected_view(view.observer) else {
                continue;
            };
            if view.alive != expected {
                violations.push(describe_wrong_view(view, &expected, last_fault_at));
            }
        }
        violations
    }
}

fn describe_wrong_view(
    view: &MembershipView,
    expected: &BTreeSet<usize>,
    last_fault_at: f64,
) -> String {
    let missing: Vec<_> = expected.difference(&view.alive).collect();
    let surplus: Vec<_> = view.alive.difference(expected).collect();
    format!(
        "coordinator {} at {:.2} s, {:.1} s after the last fault: misses {missing:?}, sees {surplus:?}",
        view.observer,
        view.seen_at,
        view.seen_at - last_fault_at
    )
}

#[cfg(test)]
mod tests;
