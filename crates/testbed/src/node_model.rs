//! A data node as a model: cores, a queue, calls that cost work, a slow start that ramps up and may be overloaded.
//!
//! Free of I/O and clock: times are seconds that the caller states.

use serde::Deserialize;
use std::collections::VecDeque;

/// Weight of one part in a node's recent service time.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// What a node can do, as an experiment's file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSpec {
    /// Parts that run at a time.
    pub cores: usize,
    /// Parts that may wait; more are rejected.
    pub queue: usize,
    /// Work of a call beside its parts', in milliseconds.
    pub call_ms: f64,
    /// Share of its capacity at which a node starts.
    pub cold_from: f64,
    /// Seconds until it has warmed up.
    pub warm_s: f64,
    /// Multiple of its present capacity that overloads it in slow start; 0: none does.
    pub fall_multiple: f64,
    /// Seconds over which that is counted.
    pub fall_s: f64,
    /// Whether a cancel stops work that has begun.
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

/// What becomes of a part that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits or runs.
    Accepted,
    /// It is rejected and never runs.
    Rejected,
    /// It overloads the node.
    Overloaded,
}

/// What a node reports of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Parts that wait or run.
    pub queue_length: usize,
    /// Recent service time in milliseconds, without waiting.
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

/// A node's state.
pub struct NodeModel {
    spec: NodeSpec,
    started_at: f64,
    slowdown: f64,
    running: Vec<RunningPart>,
    waiting: VecDeque<WaitingPart>,
    /// Work that arrived within the overload window.
    recent_work: VecDeque<RecentWork>,
    smoothed_service_time: f64,
}

impl NodeModel {
    /// Returns an idle node that started at that time; one of long ago has warmed up.
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

    /// Returns the work that one core does in a second: the slow start's share up to 1, less where it is slowed down.
    pub fn speed(&self, now: f64) -> f64 {
        let warmth = ((now - self.started_at) / self.spec.warm_s.max(1e-9)).clamp(0.0, 1.0);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * warmth) / self.slowdown.max(1e-9)
    }

    /// Lets everything that begins from now on take so many times as long.
    pub fn set_slowdown(&mut self, times: f64) {
        self.slowdown = times;
    }

    /// Takes in a part with so many seconds of work. `first_of_call`: it carries the work of its call.
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
        let sent: f64 = self.recent_work.iter().map(|recent| recent.work).sum();
        let capacity = self.speed(now) * self.spec.cores as f64 * self.spec.fall_s;
        in_slow_start && self.spec.fall_multiple > 0.0 && sent > self.spec.fall_multiple * capacity
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

    /// Gives a part up. Returns whether it never ran.
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

    /// Ends what is due by now and returns it in its order, without what was cancelled.
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
            let ended = self.running.swap_remove(index);
            let change = ended.service_time - self.smoothed_service_time;
            self.smoothed_service_time += change * SERVICE_TIME_GAIN;
            if !ended.cancelled {
                completed.push(ended.part);
            }
            self.start_waiting_parts(at);
        }
        completed
    }

    /// Returns what the node reports of itself now.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            queue_length: self.waiting.len() + self.running.len(),
            latency_ms: self.smoothed_service_time * 1000.0,
        }
    }
}

#[cfg(test)]
mod tests;
