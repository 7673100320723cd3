//! The model of a data node: cores, a queue, work per call, and a slow start in which the node can be overloaded.
//!
//! The model does no I/O and reads no clock; callers pass all times, in seconds.

use serde::Deserialize;
use std::collections::VecDeque;

/// Weight of one part in the exponentially smoothed service time that a node reports.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// The capacity of a node, as an experiment file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSpec {
    /// Number of parts that run concurrently.
    pub cores: usize,
    /// Maximum number of waiting parts; further parts are rejected.
    pub queue: usize,
    /// Fixed work of a call in addition to that of its parts, in milliseconds.
    pub call_ms: f64,
    /// Share of its full capacity that a node has when it starts, from 0 to 1.
    pub cold_from: f64,
    /// Duration of slow start, in seconds.
    pub warm_s: f64,
    /// In slow start, the multiple of its current capacity above which incoming work overloads the node; 0 for never.
    pub fall_multiple: f64,
    /// Window over which incoming work is summed to detect overload, in seconds.
    pub fall_s: f64,
    /// Whether cancelling a part stops it if it is already running.
    pub cancel_stops: bool,
}

impl Default for NodeSpec {
    fn default() -> Self {
        NodeSpec {
            cores: 2,
            queue: 64,
            call_ms: 1.0,
            cold_from: 0.23,
            warm_s: 16.0,
            fall_multiple: 2.5,
            fall_s: 1.0,
            cancel_stops: false,
        }
    }
}

/// The decision on a part that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The part waits or runs.
    Accepted,
    /// The part is rejected and never runs.
    Rejected,
    /// The part overloads the node, which then stops answering.
    Overloaded,
}

/// The load that a node reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Number of waiting and running parts.
    pub queue_length: usize,
    /// Smoothed service time in milliseconds, without waiting time.
    pub latency_ms: f64,
}

struct RunningPart {
    part: u64,
    ends_at: f64,
    service_time: f64,
    cancelled: bool,
}

struct WaitingPart {
    part: u64,
    work: f64,
}

struct RecentWork {
    arrived_at: f64,
    work: f64,
}

/// The state of an emulated node.
pub struct NodeModel {
    spec: NodeSpec,
    started_at: f64,
    slowdown: f64,
    running: Vec<RunningPart>,
    waiting: VecDeque<WaitingPart>,
    /// Work that arrived within the overload window, oldest first.
    recent_work: VecDeque<RecentWork>,
    smoothed_service_time: f64,
}

impl NodeModel {
    /// Creates an idle node that started at `started_at`; a time before the slow-start period gives a warm node.
    pub fn new(spec: NodeSpec, started_at: f64) -> NodeModel {
        NodeModel {
            spec,
            started_at,
            slowdown: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            recent_work: VecDeque::new(),
            smoothed_service_time: 0.0,
        }
    }

    /// Returns the seconds of work that one core does per second: the current slow-start share, up to 1, divided by the
    /// slowdown.
    pub fn speed(&self, now: f64) -> f64 {
        let progress = ((now - self.started_at) / self.spec.warm_s.max(1e-9)).clamp(0.0, 1.0);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * progress) / self.slowdown.max(1e-9)
    }

    /// Sets the factor by which parts that start from now on take longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Admits or rejects a part with `work` seconds of work. The first part of a call also carries the work of the call.
    pub fn admit(&mut self, now: f64, part: u64, work: f64, first_of_call: bool) -> Admission {
        let call_work = if first_of_call {
            self.spec.call_ms / 1000.0
        } else {
            0.0
        };
        let work = work + call_work;
        self.record_recent_work(now, work);
        if self.is_overloaded(now) {
            return Admission::Overloaded;
        }
        if self.running.len() >= self.spec.cores && self.waiting.len() >= self.spec.queue {
            return Admission::Rejected;
        }
        self.waiting.push_back(WaitingPart { part, work });
        self.start_waiting_parts(now);
        Admission::Accepted
    }

    fn record_recent_work(&mut self, now: f64, work: f64) {
        let window = self.spec.fall_s;
        let is_old = |recent: &RecentWork| now - recent.arrived_at > window;
        while self.recent_work.front().is_some_and(is_old) {
            self.recent_work.pop_front();
        }
        self.recent_work.push_back(RecentWork {
            arrived_at: now,
            work,
        });
    }

    fn is_overloaded(&self, now: f64) -> bool {
        let in_slow_start = now - self.started_at < self.spec.warm_s;
        let recent_work: f64 = self.recent_work.iter().map(|recent| recent.work).sum();
        let capacity = self.speed(now) * self.spec.cores as f64 * self.spec.fall_s;
        in_slow_start
            && self.spec.fall_multiple > 0.0
            && recent_work > self.spec.fall_multiple * capacity
    }

    fn start_waiting_parts(&mut self, now: f64) {
        while self.running.len() < self.spec.cores {
            let Some(WaitingPart { part, work }) = self.waiting.pop_front() else {
                return;
            };
            let service_time = work / self.speed(now);
            self.running.push(RunningPart {
                part,
                ends_at: now + service_time,
                service_time,
                cancelled: false,
            });
        }
    }

    /// Cancels a part. Returns whether the part was still waiting, and so never ran.
    pub fn cancel(&mut self, now: f64, part: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.part != part);
        if self.waiting.len() < before {
            return true;
        }
        for running in &mut self.running {
            if running.part == part {
                running.cancelled = true;
                if self.spec.cancel_stops {
                    running.ends_at = now;
                }
            }
        }
        false
    }

    /// Returns when the next running part ends.
    pub fn next_completion(&self) -> Option<f64> {
        let ends = self.running.iter().map(|running| running.ends_at);
        ends.min_by(f64::total_cmp)
    }

    /// Completes all parts that are due by `now` and returns them in order of completion, without cancelled ones.
    pub fn complete_until(&mut self, now: f64) -> Vec<u64> {
        let mut completed = Vec::new();
        while let Some(at) = self.next_completion().filter(|&at| at <= now) {
            let Some(index) = self
                .running
                .iter()
                .position(|running| running.ends_at == at)
            else {
                break;
            };
            let completed_part = self.running.swap_remove(index);
            let change = completed_part.service_time - self.smoothed_service_time;
            self.smoothed_service_time += change * SERVICE_TIME_GAIN;
            if !completed_part.cancelled {
                completed.push(completed_part.part);
            }
            self.start_waiting_parts(at);
        }
        completed
    }

    /// Returns the current load report.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            queue_length: self.waiting.len() + self.running.len(),
            latency_ms: self.smoothed_service_time * 1000.0,
        }
    }
}

#[cfg(test)]
mod tests;
