//! All decisions of the aggregator: the turn of events. Its words stand in the package `words`.

pub(crate) use crate::state::*;
pub(crate) use cairnroad_flow_control::{
    weighted_round_robin, HealthCheckSchedule, PollBackoff, Random, RetryBudget, ServerThroughput,
    SlidingWindow, ThroughputEstimate, TimerQueue, Turn,
};
pub(crate) use cairnroad_types::*;
pub(crate) use cairnroad_zone_outage::{ZoneObservation, ZoneOutages};
pub(crate) use std::collections::{BTreeMap, BTreeSet};

/// A part's one copy goes out after this share of its class's aim. The design's default.
pub(crate) const HEDGE_DELAY_SHARE: f64 = 0.5;
/// "Lately" for that share, in multiples of the longest aim: several queries' lives, yet soon forgotten.
pub(crate) const RECENT_OBJECTIVES: f64 = 5.0;
/// "Lately" is so many times longer where most of a query is in: the fleet isn't slow as a whole. A node with
/// little traffic sends few parts in a few aims, and a lost zone is a third of one query.
pub(crate) const SPARSE_TRAFFIC_FACTOR: f64 = 10.0;
/// The usual answer time before any answer was seen, as a share of the aim.
pub(crate) const INITIAL_LATENCY_SHARE: f64 = 0.125;
/// Ends come this many ticks before they are due, so that a late tick still meets them.
pub(crate) const DEADLINE_MARGIN_TICKS: f64 = 3.0;
/// Pace, in usual answer times, above which a server is doubted.
pub(crate) const OUTLIER_RATIO: f64 = 3.0;
/// Over how many warm-up times the usual take of a warm server is counted.
pub(crate) const THROUGHPUT_SPAN_RAMPS: f64 = 0.5;
/// Slack for shares of weights against their bars: half of the least weight that clients write.
pub(crate) const WEIGHT_SLACK: f64 = 5e-7;
/// Weight of one answer in its class's usual answer time: the last thirty or so count.
pub(crate) const TYPICAL_LATENCY_GAIN: f64 = 0.03;
/// A copy's timer that is judged so many ticks late tells of a stall of this node, not of a slow server.
pub(crate) const STALL_TICKS: f64 = 10.0;

/// Decides for one front node.
#[derive(Default)]
pub struct RequestRouter {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) started_at: Option<Time>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The servers of each cell.
    pub(crate) cells: BTreeMap<u32, BTreeSet<ServerId>>,
    /// The latest generation of the list.
    pub(crate) generation: u64,
    pub(crate) turn_count: i64,
    pub(crate) queries: BTreeMap<RequestId, Query>,
    pub(crate) queries_by_number: BTreeMap<u64, RequestId>,
    pub(crate) parts: BTreeMap<RequestId, Part>,
    pub(crate) attempts: BTreeMap<(RequestId, u8), Attempt>,
    /// The kinds of query that were suspects, and when last.
    pub(crate) suspect_queries: BTreeMap<(usize, u64), Time>,
    pub(crate) timers: TimerQueue<Timer>,
    /// The shortest aim, and how far back "lately" goes, in seconds.
    pub(crate) shortest_objective: f64,
    pub(crate) recent_span: f64,
    /// Each class's usual answer time, and when it was last seen.
    pub(crate) typical_latency: Vec<f64>,
    pub(crate) latency_updated: Vec<Time>,
    pub(crate) mean_value_density: f64,
    pub(crate) part_arrivals: SlidingWindow,
    pub(crate) part_sends: SlidingWindow,
    pub(crate) hedges: SlidingWindow,
    pub(crate) trials: SlidingWindow,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) throughput: ThroughputEstimate,
    pub(crate) health_checks: HealthCheckSchedule,
    pub(crate) zone_outages: ZoneOutages,
    pub(crate) poll_backoff: PollBackoff,
}

impl RequestRouter {
    /// A node that knows its settings and nothing else. `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut node = RequestRouter {
            random: Random::new(seed),
            ..RequestRouter::default()
        };
        let all: Vec<ClassId> = (0..settings.classes.len() as u16).map(ClassId).collect();
        node.reconfigure(settings, &[], &all);
        node
    }

    /// Takes all events of one tick and appends what is to be done. All outcomes are noted before any
    /// timer is judged: a node back from a stall must not hedge parts whose answers came meanwhile.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            if self.settings.max_poll_interval.is_some() {
                self.timers.insert(now, Timer::PollEndpoints);
            }
        }
        let mut fresh = BTreeSet::new();
        let mut touched = BTreeSet::new();
        let (mut won, mut broken) = (Vec::new(), Vec::new());
        for event in events {
            match event {
                Event::Endpoints(news) => self.on_endpoints(now, news),
                &Event::Query { id, .. } => {
                    self.on_query(now, event);
                    fresh.insert(id);
                }
                Event::Part { .. } => fresh.extend(self.on_part(now, event)),
                &Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                } => {
                    if let Some(query) = self.on_attempt_ended(now, id, attempt, outcome) {
                        touched.insert(query);
                        match outcome {
                            Outcome::Ok => won.push(id),
                            _ => broken.push(id),
                        }
                    }
                }
                Event::HealthCheckEnded {
                    server,
                    outcome,
                    report,
                } => self.on_health_check_ended(*server, *outcome, report),
                Event::OutlierAdvice(servers) => self.on_outlier_advice(now, servers),
                Event::ClientGone(id) => self.remove(now, *id, actions),
                Event::TimerFired => {}
            }
        }
        self.remove_unlisted_servers();
        for part in won {
            let twins = self
                .parts
                .get_mut(&part)
                .map(|p| std::mem::take(&mut p.in_flight))
                .unwrap_or_default();
            for attempt in twins {
                self.cancel(now, part, attempt, actions);
            }
        }
        for &query in &touched {
            self.complete_if_ready(now, query, actions);
        }
        for query in fresh {
            self.start_step(now, query, actions);
        }
        for part in broken {
            self.retry(now, part, actions);
        }
        while let Some((at, due)) = self.timers.pop_expired(now) {
            match due {
                // A node back from a stall finds these overdue in one wave, and answers still unread.
                Timer::Hedge(_) if now - at > self.settings.tick * STALL_TICKS => {
                    let spread =
                        self.shortest_objective * HEDGE_DELAY_SHARE * self.random.next_unit();
                    self.timers
                        .insert(now + spread.max(self.settings.tick), due);
                }
                Timer::Hedge(part) => self.hedge(now, part, actions),
                Timer::Objective(query) => self.on_objective_passed(now, query, actions),
                Timer::Deadline(query) => self.give_up(now, query, actions),
                Timer::PollEndpoints => self.ask(now, actions),
                Timer::HealthCheck => self.probe(now, actions),
            }
        }
        actions.extend(self.timers.next_wake(now).map(Action::SetTimer));
    }

    pub(crate) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        server_id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        let Some(query) = self.queries.get(&part.query) else {
            return;
        };
        let servers = self.servers.len() as f64;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let class = &self.settings.classes[query.class];
        let delay = class.latency_objective * HEDGE_DELAY_SHARE;
        let overdue = now + self.typical_latency[query.class].min(delay);
        let attempt = part.tried.len() as u8;
        part.in_flight.push(attempt);
        part.tried.push(server_id);
        if part.first_sent.is_none() {
            part.first_sent = Some(now);
            self.part_sends
                .push(now, self.recent_span * SPARSE_TRAFFIC_FACTOR);
            self.health_checks.add_credit(servers);
            if class.idempotency != Idempotency::AtMostOnce && self.settings.hedging {
                self.timers.insert(now + delay, Timer::Hedge(id));
            }
        }
        if attempt > 0 {
            self.retry_budget.on_retry(now, self.settings.retry_budget);
        }
        self.turn_count += 1;
        server.last_turn = self.turn_count;
        server.in_flight.insert((overdue, id, attempt));
        server.last_sent = now;
        server.slow_start_credit.0 -= 1.0;
        let sent_attempt = Attempt {
            server: server_id,
            class: query.class,
            sent_at: now,
            overdue_at: overdue,
        };
        self.attempts.insert((id, attempt), sent_attempt);
        actions.push(Action::Send {
            part: id,
            server: server_id,
            until: query.finish_at,
        });
    }
}
