//! Computes the figures that a chaos run prints as JSON.

use super::history_check::History;
use super::process::{Process, ProcessUsage};
use super::run::ChaosRun;
use super::scenario::Fault;
use crate::workload::Ending;
use serde_json::json;
use std::collections::BTreeMap;

/// The result of a run.
pub(super) struct ChaosReport {
    /// Descriptions of all violations; empty if the run was correct.
    pub(super) violations: Vec<String>,
    /// Counts and rates, in the form that is printed.
    pub(super) figures: serde_json::Value,
}

pub(super) fn figures(run: &ChaosRun, history: &History) -> serde_json::Value {
    let scenario = &run.scenario;
    let count = |ending| {
        let requests = history.requests.iter();
        requests.filter(|request| request.ending == ending).count()
    };
    let traffic = run.network.traffic.borrow();
    let datagrams: u64 = traffic.values().map(|sent| sent.datagrams).sum();
    let bytes: u64 = traffic.values().map(|sent| sent.bytes).sum();
    let per_member_second =
        |total: u64| total as f64 / scenario.span / scenario.coordinators as f64;
    let run_log = run.fleet.run_log.borrow();
    let dropped_repeats = run_log.arrivals.iter().filter(|arrival| arrival.dropped);
    let processes = run.processes.borrow();
    let usages: Vec<ProcessUsage> = processes.values().filter_map(Process::usage).collect();
    let process_count = usages.len().max(1) as f64;
    let cpu_seconds: f64 = usages.iter().map(|usage| usage.cpu_seconds).sum();
    let memory_mb: f64 = usages.iter().map(|usage| usage.memory_mb).sum();
    json!({
        "coordinators": scenario.coordinators,
        "nodes": scenario.nodes,
        "span_s": scenario.span,
        "queries": history.requests.len(),
        "served": count(Ending::Served),
        "refused": count(Ending::Rejected),
        "failed": count(Ending::Failed),
        "late": count(Ending::Late),
        "dropped_repeats": dropped_repeats.count(),
        "unanswered": count(Ending::Unanswered) + count(Ending::Disconnected),
        "cpu_ms_a_process_s": round_to_tenth(cpu_seconds * 1e3 / process_count / scenario.span),
        "memory_mb": round_to_tenth(memory_mb / process_count),
        "looks": history.views.len(),
        "datagrams_a_member_s": round_to_tenth(per_member_second(datagrams)),
        "bytes_a_member_s": round_to_tenth(per_member_second(bytes)),
        "detection_s": failure_detection_seconds(history),
    })
}

fn round_to_tenth(figure: f64) -> f64 {
    (figure * 10.0).round() / 10.0
}

/// Returns the median, the 99th percentile and the maximum of the failure detection times, in seconds.
///
/// A detection time runs from the kill of a coordinator until one of the survivors first reports it as gone. Returns `None`
/// if there was none.
fn failure_detection_seconds(history: &History) -> Option<[f64; 3]> {
    let mut delays = Vec::new();
    for kill in &history.faults {
        if let Fault::Kill { members } = &kill.fault {
            for &member in members {
                delays.extend(detection_delays(history, member, kill.at));
            }
        }
    }
    delays.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let last = delays.len().saturating_sub(1);
        delays.get(((delays.len() as f64 * share) as usize).min(last))
    };
    let figures = [*quantile(0.5)?, *quantile(0.99)?, *delays.last()?];
    Some(figures.map(|seconds| (seconds * 100.0).round() / 100.0))
}

/// Returns, for each survivor that detected the kill of `member`, the seconds from the kill until then.
fn detection_delays(history: &History, member: usize, killed_at: f64) -> Vec<f64> {
    let mut first_seen: BTreeMap<usize, f64> = BTreeMap::new();
    let views = history.views.iter();
    for view in views.filter(|view| view.seen_at > killed_at && !view.alive.contains(&member)) {
        let seen_at = first_seen.entry(view.observer).or_insert(view.seen_at);
        *seen_at = seen_at.min(view.seen_at);
    }
    first_seen.values().map(|at| at - killed_at).collect()
}
