//! The recorded history of a run, on one clock, and the checks for violations in it.

use super::scenario::{Fault, TimedFault};
use crate::workload::Ending;
use std::collections::BTreeSet;

/// Seconds before the start of a request within which a fault still counts as affecting it.
///
/// A process may have been hit by a fault for this long before its clients notice.
const FAULT_NOTICE_SECONDS: f64 = 0.25;
/// Maximum share of requests with late answers that no fault explains.
///
/// A busy machine delays a single answer now and then, whereas a defect of the coordinator delays every answer that is
/// due at its deadline.
const MAX_LATE_SHARE: f64 = 0.01;

/// A request, as its client observed it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index of the coordinator that received the request.
    pub coordinator: usize,
    /// Number of the query.
    pub query: u64,
    /// Time at which the request was sent, in seconds since the start of the run.
    pub sent_at: f64,
    /// Time at which the request ended, in seconds since the start of the run.
    pub ended_at: f64,
    /// How the request ended for its client.
    pub ending: Ending,
    /// What was wrong with the answer; `None` if it was correct or there was none.
    pub answer_fault: Option<String>,
}

/// The members that one coordinator considered alive at one time.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Time of the poll, in seconds since the start of the run.
    pub seen_at: f64,
    /// Index of the polled coordinator.
    pub observer: usize,
    /// Indices of the members that it considered alive, including itself.
    pub alive: BTreeSet<usize>,
}

/// Everything that was recorded during a run.
#[derive(Default)]
pub struct History {
    /// Number of coordinators.
    pub coordinators: usize,
    /// All requests, in the order in which they ended.
    pub requests: Vec<RequestRecord>,
    /// All polled membership views.
    pub views: Vec<MembershipView>,
    /// All injected faults, ordered by time.
    pub faults: Vec<TimedFault>,
    /// Violations that the run log of the data nodes shows.
    pub run_log_violations: Vec<String>,
}

/// Which coordinators are alive and running, and which can reach each other, at one time.
struct Reachability {
    /// By coordinator: whether its process has not been killed.
    alive: Vec<bool>,
    /// By coordinator: whether its process is paused.
    stopped: Vec<bool>,
    /// By coordinator: whether the datagrams that it sends are dropped.
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

    /// Returns whether other members can receive datagrams from this one, apart from partitions.
    fn can_be_heard(&self, member: usize) -> bool {
        self.alive[member] && !self.stopped[member] && !self.muted[member]
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        let mut sides = self.partitions.iter();
        sides.all(|side| side.contains(&one) == side.contains(&other))
    }

    /// Returns the members that a coordinator has to consider alive, or `None` if its view need not be correct because it
    /// is killed, paused or muted.
    fn expected_view(&self, observer: usize) -> Option<BTreeSet<usize>> {
        if !self.can_be_heard(observer) {
            return None;
        }
        let is_seen = |member: &usize| {
            *member == observer
                || (self.can_be_heard(*member) && self.are_connected(*member, observer))
        };
        Some((0..self.alive.len()).filter(is_seen).collect())
    }
}

impl History {
    /// Returns descriptions of all violations. Membership views have to be correct from `settling_seconds` after a fault.
    pub fn violations(&self, settling_seconds: f64) -> Vec<String> {
        let mut violations = self.run_log_violations.clone();
        let answer_faults = self.requests.iter();
        violations.extend(answer_faults.filter_map(|request| request.answer_fault.clone()));
        violations.extend(self.unanswered_requests());
        violations.extend(self.too_many_late_answers());
        violations.extend(self.wrong_views(settling_seconds));
        violations
    }

    /// Describes the requests that got no final answer although their coordinator was running.
    fn unanswered_requests(&self) -> impl Iterator<Item = String> + '_ {
        let unanswered = self.requests.iter().filter(|request| {
            matches!(request.ending, Ending::Unanswered | Ending::Disconnected)
                && !self.was_under_fault(request)
        });
        unanswered.map(|request| {
            format!(
                "query {} at coordinator {}, {:.2} to {:.2} s: no final answer ({:?})",
                request.query,
                request.coordinator,
                request.sent_at,
                request.ended_at,
                request.ending
            )
        })
    }

    /// Describes the late answers if there are more than a busy machine explains.
    fn too_many_late_answers(&self) -> Option<String> {
        let late = self
            .requests
            .iter()
            .filter(|request| request.ending == Ending::Late && !self.was_under_fault(request));
        let late = late.count();
        let total = self.requests.len();
        let too_many = late as f64 > MAX_LATE_SHARE * total as f64;
        too_many.then(|| format!("{late} of {total} requests were answered after their deadline"))
    }

    /// Returns whether the coordinator was killed or paused while it processed the request.
    fn was_under_fault(&self, request: &RequestRecord) -> bool {
        let mut stopped = false;
        for TimedFault { at, fault } in &self.faults {
            let affected = fault.members().contains(&request.coordinator);
            if !affected || *at > request.ended_at {
                continue;
            }
            let during_request = *at > request.sent_at - FAULT_NOTICE_SECONDS;
            match fault {
                // A request that arrived while the process was paused is only read after the resume.
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

    /// Describes the membership views that are still wrong after the settling time of the last fault.
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
    let unexpected: Vec<_> = view.alive.difference(expected).collect();
    format!(
        "coordinator {} at {:.2} s, {:.1} s after the last fault: membership view lacks {missing:?} and wrongly includes {unexpected:?}",
        view.observer,
        view.seen_at,
        view.seen_at - last_fault_at
    )
}

#[cfg(test)]
mod tests;
