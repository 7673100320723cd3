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
        Node { spec, started, slow: 1.0, running, waiting, offered, latency: 0.0, works: BTreeMap::new() }
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
        let work = work + if call { self.spec.call_ms / 1000.0 } else { 0.0 };
        while self.offered.front().is_some_and(|(at, _)| now - at > self.spec.fall_s) {
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
            let Some((part, work)) = self.waiting.pop_front() else { return };
            let took = work / self.speed(now);
            self.works.insert(part, took);
            self.running.push(Running { part, ends: now + took, cancelled: false });
        }
    }

    /// Gives a part up. Whether it never ran.
    pub fn cancel(&mut self, now: f64, part: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(waiting, _)| *waiting != part);
        if self.waiting.len() < before {
            return true;
        }
        for running in self.running.iter_mut().filter(|running| running.part == part) {
            running.cancelled = true;
            if self.spec.cancel_stops {
                running.ends = now;
            }
        }
        false
    }

    /// When something ends next.
    pub fn next(&self) -> Option<f64> {
        self.running.iter().map(|running| running.ends).min_by(f64::total_cmp)
    }

    /// What has ended by now, in its order, without what was given up.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let mut done = Vec::new();
        while let Some(at) = self.next().filter(|&at| at <= now) {
            let Some(place) = self.running.iter().position(|running| running.ends == at) else { break };
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
        (self.waiting.len() + self.running.len(), self.latency * 1000.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> Spec {
        Spec { cores: 2, queue: 3, call_ms: 0.0, ..Spec::default() }
    }

    /// Plays a node to its end; when each part was done.
    fn play(node: &mut Node) -> Vec<(u64, f64)> {
        let mut done = Vec::new();
        while let Some(at) = node.next() {
            done.extend(node.advance(at).into_iter().map(|part| (part, at)));
        }
        done
    }

    #[test]
    fn cores_run_side_by_side_and_the_rest_waits_in_order() {
        let mut node = Node::new(spec(), -100.0);
        let taken: Vec<Taken> = (0..6).map(|part| node.arrive(0.0, part, 0.1, false)).collect();
        assert_eq!(taken, [Taken::Yes, Taken::Yes, Taken::Yes, Taken::Yes, Taken::Yes, Taken::Busy]);
        let done = play(&mut node);
        let wanted = [(0, 0.1), (1, 0.1), (2, 0.2), (3, 0.2), (4, 0.3)];
        assert!(done.iter().zip(wanted).all(|(a, b)| a.0 == b.0 && (a.1 - b.1).abs() < 1e-9), "{done:?}");
    }

    #[test]
    fn a_cold_node_warms_up_and_falls_over_when_too_much_comes() {
        let mut node = Node::new(spec(), 0.0);
        assert!((node.speed(0.0) - 0.23).abs() < 1e-9 && (node.speed(8.0) - 0.615).abs() < 1e-9);
        assert_eq!(node.speed(16.0), 1.0);
        // It can do 0.46 s of work a second; 2.5 times that is 1.15.
        assert_eq!(node.arrive(0.0, 1, 1.1, false), Taken::Yes);
        assert_eq!(node.arrive(0.1, 2, 0.2, false), Taken::Fell);
        let mut warm = Node::new(spec(), -16.0);
        assert_eq!(warm.arrive(0.0, 1, 50.0, false), Taken::Yes, "a warm one only gets slow");
    }

    #[test]
    fn a_cancel_takes_back_what_waits_and_stops_what_runs_where_that_is_so() {
        for stops in [false, true] {
            let mut node = Node::new(Spec { cancel_stops: stops, cores: 1, ..spec() }, -100.0);
            node.arrive(0.0, 1, 1.0, false);
            node.arrive(0.0, 2, 1.0, false);
            node.arrive(0.0, 3, 1.0, false);
            assert!(node.cancel(0.1, 2), "it waited: it never ran");
            assert!(!node.cancel(0.1, 1), "it had begun");
            let done = play(&mut node);
            let at = if stops { 1.1 } else { 2.0 };
            assert_eq!(done.len(), 1);
            assert!(done[0].0 == 3 && (done[0].1 - at).abs() < 1e-9, "{done:?}");
        }
    }
}
