//! The router's state, and the spans of time that its decisions share.

use crate::attempt::{Attempt, AttemptId};
use crate::part::Part;
use crate::query::{Query, QueryFingerprint};
use crate::server::Server;
use crate::timer::Timer;
use crate::tuning::{DEADLINE_MARGIN_TICKS, LONG_SPAN_FACTOR, THROUGHPUT_SPAN_RAMPS};
use cairnroad_flow_control::{
    HealthCheckSchedule, PollBackoff, Random, RetryBudget, SlidingWindow, ThroughputEstimate,
    TimerQueue,
};
use cairnroad_types::{ClassId, RequestId, Seconds, ServerId, Settings, Time};
use cairnroad_zone_outage::ZoneOutages;
use std::collections::{BTreeMap, BTreeSet};

/// The typical latency of a class.
#[derive(Clone, Copy)]
pub(crate) struct ClassLatency {
    /// Smoothed over answers of sound servers, in seconds.
    pub(crate) typical: Seconds,
    /// When the last answer was seen.
    pub(crate) updated_at: Time,
}

/// Decides for one coordinator: which server gets each part, when to hedge, retry, cancel, answer or reject.
///
/// Equal settings, seeds and events give equal actions.
#[derive(Default)]
pub struct RequestRouter {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// When the first events were handled.
    pub(crate) started_at: Option<Time>,
    pub(crate) timers: TimerQueue<Timer>,

    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) servers_by_cell: BTreeMap<u32, BTreeSet<ServerId>>,
    /// The latest generation of the endpoint list.
    pub(crate) list_generation: u64,
    pub(crate) poll_backoff: PollBackoff,
    pub(crate) zone_outages: ZoneOutages,
    pub(crate) health_checks: HealthCheckSchedule,
    pub(crate) throughput: ThroughputEstimate,
    /// Turns that all servers together have had.
    pub(crate) turn_count: i64,

    pub(crate) queries: BTreeMap<RequestId, Query>,
    pub(crate) queries_by_number: BTreeMap<u64, RequestId>,
    pub(crate) parts: BTreeMap<RequestId, Part>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Queries that may have crashed servers, and when each was last suspected.
    pub(crate) suspect_queries: BTreeMap<QueryFingerprint, Time>,

    /// The shortest latency objective of the offered classes, in seconds.
    pub(crate) shortest_objective: Seconds,
    /// How far back observations count as recent, in seconds.
    pub(crate) recent_span: Seconds,
    /// By index of the class in the settings.
    pub(crate) class_latency: Vec<ClassLatency>,
    /// Priority weight for a second of work, smoothed over queries; 0 before the first.
    pub(crate) mean_value_density: f64,

    /// Parts that arrived, sent or not.
    pub(crate) part_arrivals: SlidingWindow,
    /// First sends of parts.
    pub(crate) part_sends: SlidingWindow,
    /// Hedged requests sent.
    pub(crate) hedges: SlidingWindow,
    /// Trial parts sent to outliers.
    pub(crate) trials: SlidingWindow,
    pub(crate) retry_budget: RetryBudget,
}

impl RequestRouter {
    /// Creates a router that knows its settings and nothing else. `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut router = RequestRouter {
            random: Random::new(seed),
            ..RequestRouter::default()
        };
        let all: Vec<ClassId> = (0..settings.classes.len() as u16).map(ClassId).collect();
        router.reconfigure(settings, &[], &all);
        router
    }

    /// How far back a coordinator with little traffic has to count, in seconds.
    pub(crate) fn long_recent_span(&self) -> Seconds {
        self.recent_span * LONG_SPAN_FACTOR
    }

    /// How much earlier than due deadlines and windows end, in seconds.
    pub(crate) fn deadline_margin(&self) -> Seconds {
        self.settings.tick * DEADLINE_MARGIN_TICKS
    }

    /// The span over which the throughput of warm servers is counted, in seconds.
    pub(crate) fn throughput_span(&self) -> Seconds {
        self.settings.slow_start_duration * THROUGHPUT_SPAN_RAMPS
    }
}
