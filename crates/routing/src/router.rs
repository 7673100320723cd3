//! The router's state, and the time windows that several decisions share.

use crate::attempt::{Attempt, AttemptId};
use crate::part::Part;
use crate::query::{Query, QueryFingerprint};
use crate::server::Server;
use crate::timer::Timer;
use crate::tuning::{DEADLINE_MARGIN_TICKS, LONG_WINDOW_FACTOR, THROUGHPUT_WINDOW_SLOW_STARTS};
use cairnroad_flow_control::{
    HealthCheckSchedule, PollBackoff, Random, RetryBudget, SlidingWindow, ThroughputEstimate,
    TimerQueue,
};
use cairnroad_types::{ClassId, RequestId, Seconds, ServerId, Settings, Time};
use cairnroad_zone_outage::ZoneOutages;
use std::collections::{BTreeMap, BTreeSet};

/// Typical latency of a class.
#[derive(Clone, Copy)]
pub(crate) struct ClassLatency {
    /// Latency in seconds, smoothed over answers; those of outliers count less.
    pub(crate) typical: Seconds,
    /// When the latest answer arrived.
    pub(crate) updated_at: Time,
}

/// Makes the routing decisions of one coordinator: which server gets each part, and when to hedge, retry,
/// cancel, answer or reject.
///
/// Equal settings, seeds and events give equal actions.
#[derive(Default)]
pub struct RequestRouter {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// When the first events were handled; `None` before.
    pub(crate) started_at: Option<Time>,
    pub(crate) timers: TimerQueue<Timer>,

    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) servers_by_cell: BTreeMap<u32, BTreeSet<ServerId>>,
    /// The latest generation of the endpoint list.
    pub(crate) list_generation: u64,
    pub(crate) poll_backoff: PollBackoff,
    pub(crate) zone_outages: ZoneOutages,
    pub(crate) health_checks: HealthCheckSchedule,
    pub(crate) throughput_estimate: ThroughputEstimate,
    /// Number of turns of all servers together.
    pub(crate) turn_count: i64,

    pub(crate) queries: BTreeMap<RequestId, Query>,
    pub(crate) queries_by_number: BTreeMap<u64, RequestId>,
    pub(crate) parts: BTreeMap<RequestId, Part>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Fingerprints of queries that may have crashed servers, with the time of the latest suspicion.
    pub(crate) suspect_queries: BTreeMap<QueryFingerprint, Time>,

    /// The shortest latency objective of the offered classes, in seconds.
    pub(crate) shortest_objective: Seconds,
    /// Age in seconds up to which observations count as recent.
    pub(crate) recent_window: Seconds,
    /// Typical latencies, by the index of the class in the settings.
    pub(crate) class_latency: Vec<ClassLatency>,
    /// Priority weight per second of work, smoothed over queries; 0 before the first query.
    pub(crate) mean_value_density: f64,

    /// Arrivals of parts, sent or not.
    pub(crate) part_arrivals: SlidingWindow,
    /// First sends of parts.
    pub(crate) part_sends: SlidingWindow,
    /// Hedged requests sent.
    pub(crate) hedge_sends: SlidingWindow,
    /// Trial parts sent to outliers.
    pub(crate) trial_sends: SlidingWindow,
    pub(crate) retry_budget: RetryBudget,
}

impl RequestRouter {
    /// Creates a router without servers and queries. `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut router = RequestRouter {
            random: Random::new(seed),
            ..RequestRouter::default()
        };
        let all: Vec<ClassId> = (0..settings.classes.len() as u16).map(ClassId).collect();
        router.reconfigure(settings, &[], &all);
        router
    }

    /// Returns the length of the window over which a coordinator with little traffic counts events, in seconds.
    pub(crate) fn long_recent_window(&self) -> Seconds {
        self.recent_window * LONG_WINDOW_FACTOR
    }

    /// Returns the margin by which deadlines and windows are shortened, in seconds.
    pub(crate) fn deadline_margin(&self) -> Seconds {
        self.settings.tick * DEADLINE_MARGIN_TICKS
    }

    /// Returns the length of the window over which the throughput of warm servers is counted, in seconds.
    pub(crate) fn throughput_window(&self) -> Seconds {
        self.settings.slow_start_duration * THROUGHPUT_WINDOW_SLOW_STARTS
    }
}
