//! A stock node as a model: cores, a waiting room, calls that cost, a cold start that ramps and may fall over. Free of
//! I/O and clock: times are seconds that the caller tells.

use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};

/// What a node can do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    pub cores: usize,
    /// Parts that may wait; more are turned away.
    pub queue: usize,
    /// Work of a call beside its parts', in milliseconds.
    pub call_ms: f64,
    /// A cold node's share of its capacity, and how long it takes to warm up, in seconds.
    pub cold_from: f64,
    pub warm_s: f64,
    /// Sent more than this multiple of what it can do for so many seconds while cold, it falls over. 0: never.
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// Whether a cancel stops work that has begun.
    pub cancel_stops: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
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

/// What becomes of a part that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It waits or runs.
    Yes,
    /// Turned away: it never runs.
    Busy,
    /// The node fell over by it.
    Fell,
}

struct Running {
    part: u64,
    ends: f64,
    cancelled: bool,
}

/// The node's state.
pub struct Node {
    spec: Spec,
    started: f64,
    slow: f64,
    running: Vec<Running>,
    waiting: VecDeque<(u64, f64)>,
    /// Work that came lately, for falling over.
    offered: VecDeque<(f64, f64)>,
    /// Its recent service time, without waiting.
    latency: f64,
    works: BTreeMap<u64, f64>,
}

impl Node {
    /// One that started at that time; long ago: it is warm.
    pub fn new(spec: Spec, started: f64) -> Node {
        let (running, waiting, offered) = (Vec::new(), VecDeque::new(), VecDeque::new());
        Node {
            spec,
            started,
            slow: 1.0,
            running,
            waiting,
            offered,
            latency: 0.0,
            works: BTreeMap::new(),
        }
    }

    /// What a core of it does in a second of work, from its cold share to 1, less where it is slow.
    pub fn speed(&self, now: f64) -> f64 {
        let warmth = ((now - self.started) / self.spec.warm_s.max(1e-9)).clamp(0.0, 1.0);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * warmth) / self.slow.max(1e-9)
    }

    /// Everything takes so many times as long from now on.
    pub fn slow_down(&mut self, times: f64) {
        self.slow = times;
    }

    /// A part with so many seconds of work; `call`: it is the first of its call.
    pub fn arrive(&mut self, now: f64, part: u64, work: f64, call: bool) -> Taken {
        let work = work
            + if call {
                self.spec.call_ms / 1000.0
            } else {
                0.0
            };
        while self
            .offered
            .front()
            .is_some_and(|(at, _)| now - at > self.spec.fall_s)
        {
            self.offered.pop_front();
        }
        self.offered.push_back((now, work));
        let cold = now - self.started < self.spec.warm_s;
        let sent: f64 = self.offered.iter().map(|(_, work)| work).sum();
        let can = self.speed(now) * self.spec.cores as f64 * self.spec.fall_s;
        if cold && self.spec.fall_multiple > 0.0 && sent > self.spec.fall_multiple * can {
            return Taken::Fell;
        }
        if self.running.len() >= self.spec.cores && self.waiting.len() >= self.spec.queue {
            return Taken::Busy;
        }
        self.waiting.push_back((part, work));
        self.begin(now);
        Taken::Yes
    }

    fn begin(&mut self, now: f64) {
        while self.running.len() < self.spec.cores {
            let Some((part, work)) = self.waiting.pop_front() else {
                return;
            };
            let took = work / self.speed(now);
            self.works.insert(part, took);
            self.running.push(Running {
                part,
                ends: now + took,
                cancelled: false,
            });
        }
    }

    /// Gives a part up. Whether it never ran.
    pub fn cancel(&mut self, now: f64, part: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(waiting, _)| *waiting != part);
        if self.waiting.len() < before {
            return true;
        }
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.part == part)
        {
            running.cancelled = true;
            if self.spec.cancel_stops {
                running.ends = now;
            }
        }
        false
    }

    /// When something ends next.
    pub fn next(&self) -> Option<f64> {
        self.running
            .iter()
            .map(|running| running.ends)
            .min_by(f64::total_cmp)
    }

    /// What has ended by now, in its order, without what was given up.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let mut done = Vec::new();
        while let Some(at) = self.next().filter(|&at| at <= now) {
            let Some(place) = self.running.iter().position(|running| running.ends == at) else {
                break;
            };
            let ended = self.running.swap_remove(place);
            let took = self.works.remove(&ended.part).unwrap_or(0.0);
            self.latency += (took - self.latency) * 0.1;
            if !ended.cancelled {
                done.push(ended.part);
            }
            self.begin(at);
        }
        done
    }

    /// Parts that wait or run, and the recent service time in milliseconds.
    pub fn report(&self) -> (usize, f64) {
        (
            self.waiting.len() + self.running.len(),
            self.latency * 1000.0,
        )
    }
}

#[cfg(test)]
mod tests;
