//! All decisions of the aggregator: the turn of events. Its words stand in the package `words`.

use cairnroad_flow_control::{
    weighted_round_robin, HealthCheckSchedule, PollBackoff, Random, RetryBudget, ServerThroughput,
    SlidingWindow, ThroughputEstimate, TimerQueue, Turn,
};
use cairnroad_types::*;
use cairnroad_zone_outage::{ZoneObservation, ZoneOutages};
use state::*;
use std::collections::{BTreeMap, BTreeSet};

mod beliefs;
mod choose;
mod cold;
mod copies;
mod doubt;
mod end;
mod list;
mod note;
mod refuse;
mod retune;
mod state;

/// A part's one copy goes out after this share of its class's aim. The design's default.
const HEDGE_DELAY: f64 = 0.5;
/// "Lately" for that share, in multiples of the longest aim: several queries' lives, yet soon forgotten.
const RECENT_AIMS: f64 = 5.0;
/// "Lately" is so many times longer where most of a query is in: the fleet isn't slow as a whole. A node with
/// little traffic sends few parts in a few aims, and a lost zone is a third of one query.
const CALM_LATELY: f64 = 10.0;
/// The usual answer time before any answer was seen, as a share of the aim.
const FIRST_GUESS: f64 = 0.125;
/// Ends come this many ticks before they are due, so that a late tick still meets them.
const END_TICKS: f64 = 3.0;
/// Pace, in usual answer times, above which a server is doubted.
const DOUBT: f64 = 3.0;
/// Over how many warm-up times the usual take of a warm server is counted.
const TAKE_WARM_UPS: f64 = 0.5;
/// Slack for shares of weights against their bars: half of the least weight that clients write.
const WEIGHT_SLACK: f64 = 5e-7;
/// Weight of one answer in its class's usual answer time: the last thirty or so count.
const USUAL_GAIN: f64 = 0.03;
/// A copy's timer that is judged so many ticks late tells of a stall of this node, not of a slow server.
const STALL_TICKS: f64 = 10.0;

/// Decides for one front node.
#[derive(Default)]
pub struct RequestRouter {
    settings: Settings,
    random: Random,
    born: Option<Time>,
    servers: BTreeMap<ServerId, Server>,
    /// The servers of each cell.
    cells: BTreeMap<u32, BTreeSet<ServerId>>,
    /// The latest generation of the list.
    generation: u64,
    turns: i64,
    queries: BTreeMap<RequestId, Query>,
    numbers: BTreeMap<u64, RequestId>,
    parts: BTreeMap<RequestId, Part>,
    flights: BTreeMap<(RequestId, u8), Flight>,
    /// The kinds of query that were suspects, and when last.
    suspects: BTreeMap<(usize, u64), Time>,
    timers: TimerQueue<Due>,
    /// The shortest aim, and how far back "lately" goes, in seconds.
    shortest: f64,
    recent: f64,
    /// Each class's usual answer time, and when it was last seen.
    usual: Vec<f64>,
    noted: Vec<Time>,
    density: f64,
    asked: SlidingWindow,
    parts_sent: SlidingWindow,
    copies: SlidingWindow,
    trials: SlidingWindow,
    retry_budget: RetryBudget,
    throughput: ThroughputEstimate,
    health_checks: HealthCheckSchedule,
    zone_outages: ZoneOutages,
    poll_backoff: PollBackoff,
}

impl RequestRouter {
    /// A node that knows its settings and nothing else. `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut node = RequestRouter {
            random: Random::new(seed),
            ..RequestRouter::default()
        };
        let all: Vec<ClassId> = (0..settings.classes.len() as u16).map(ClassId).collect();
        node.retune(settings, &[], &all);
        node
    }

    /// Takes all events of one tick and appends what is to be done. All outcomes are noted before any
    /// timer is judged: a node back from a stall must not hedge parts whose answers came meanwhile.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        if self.born.is_none() {
            self.born = Some(now);
            if self.settings.max_poll_interval.is_some() {
                self.timers.insert(now, Due::Ask);
            }
        }
        let mut fresh = BTreeSet::new();
        let mut touched = BTreeSet::new();
        let (mut won, mut broken) = (Vec::new(), Vec::new());
        for event in events {
            match event {
                Event::Endpoints(news) => self.note_list(now, news),
                &Event::Query { id, .. } => {
                    self.note_query(now, event);
                    fresh.insert(id);
                }
                Event::Part { .. } => fresh.extend(self.note_part(now, event)),
                &Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                } => {
                    if let Some(query) = self.note_outcome(now, id, attempt, outcome) {
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
                } => self.note_probe(*server, *outcome, report),
                Event::OutlierAdvice(servers) => self.note_advice(now, servers),
                Event::ClientGone(id) => self.forget(now, *id, actions),
                Event::TimerFired => {}
            }
        }
        self.forget_gone();
        for part in won {
            let twins = self
                .parts
                .get_mut(&part)
                .map(|p| std::mem::take(&mut p.out))
                .unwrap_or_default();
            for attempt in twins {
                self.cancel(now, part, attempt, actions);
            }
        }
        for &query in &touched {
            self.settle(now, query, actions);
        }
        for query in fresh {
            self.open_step(now, query, actions);
        }
        for part in broken {
            self.retry(now, part, actions);
        }
        while let Some((at, due)) = self.timers.pop_expired(now) {
            match due {
                // A node back from a stall finds these overdue in one wave, and answers still unread.
                Due::Hedge(_) if now - at > self.settings.tick * STALL_TICKS => {
                    let spread = self.shortest * HEDGE_DELAY * self.random.next_unit();
                    self.timers
                        .insert(now + spread.max(self.settings.tick), due);
                }
                Due::Hedge(part) => self.hedge(now, part, actions),
                Due::Aim(query) => self.aim_passed(now, query, actions),
                Due::End(query) => self.give_up(now, query, actions),
                Due::Ask => self.ask(now, actions),
                Due::Probe => self.probe(now, actions),
            }
        }
        actions.extend(self.timers.next_wake(now).map(Action::SetTimer));
    }

    fn send(&mut self, now: Time, id: RequestId, server_id: ServerId, actions: &mut Vec<Action>) {
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
        let delay = class.latency_objective * HEDGE_DELAY;
        let overdue = now + self.usual[query.class].min(delay);
        let attempt = part.tried.len() as u8;
        part.out.push(attempt);
        part.tried.push(server_id);
        if part.first_sent.is_none() {
            part.first_sent = Some(now);
            self.parts_sent.push(now, self.recent * CALM_LATELY);
            self.health_checks.add_credit(servers);
            if class.idempotency != Idempotency::AtMostOnce && self.settings.hedging {
                self.timers.insert(now + delay, Due::Hedge(id));
            }
        }
        if attempt > 0 {
            self.retry_budget.on_retry(now, self.settings.retry_budget);
        }
        self.turns += 1;
        server.turn = self.turns;
        server.out.insert((overdue, id, attempt));
        server.last_sent = now;
        server.earned.0 -= 1.0;
        let flight = Flight {
            server: server_id,
            class: query.class,
            sent: now,
            overdue,
        };
        self.flights.insert((id, attempt), flight);
        actions.push(Action::Send {
            part: id,
            server: server_id,
            until: query.end_at,
        });
    }
}
