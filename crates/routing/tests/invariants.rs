//! Long random event streams in random deployments. The test environment checks each action of the router
//! against the rules of the protocol.

mod common;

use cairnroad_routing::RequestRouter;
use cairnroad_types::*;
use common::{class, endpoint, settings};
use std::collections::{BTreeMap, BTreeSet};

/// A seeded xorshift generator.
struct TestRng(u64);

impl TestRng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    fn chance(&mut self, p: f64) -> bool {
        (self.below(1 << 30) as f64) < p * (1u64 << 30) as f64
    }
}

/// State of a part, as the environment tracks it.
struct TrackedPart {
    query: u64,
    weight: f64,
    step: u8,
    is_answered: bool,
    first_sent: Option<Time>,
    attempts: Vec<(u32, Option<Outcome>)>,
}

/// State of a query, as the environment tracks it.
struct TrackedQuery {
    class: usize,
    number: u64,
    deadline: Time,
    step: u8,
    is_first_step_complete: bool,
}

/// The environment of a router: generates random events and checks each action against the rules.
struct Environment {
    rng: TestRng,
    settings: Settings,
    now: Time,
    queries: BTreeMap<u64, TrackedQuery>,
    parts: BTreeMap<u64, TrackedPart>,
    /// Outcomes still to be delivered: when, of which part and attempt.
    pending_outcomes: Vec<(Time, u64, u8, Outcome)>,
    not_ready: BTreeSet<u32>,
    /// Servers that started: when, and the sends to them since.
    slow_start_sends: BTreeMap<u32, (Time, Vec<Time>)>,
    sends: BTreeMap<u32, Vec<Time>>,
    arrivals: Vec<Time>,
    retries: Vec<Time>,
    wake_ups: BTreeSet<Time>,
    answer_count: u64,
    last_id: u64,
    events: Vec<Event>,
}

impl Environment {
    /// Checks an action against the rules and applies its effects.
    fn check_action(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send {
                part: RequestId(id),
                server: ServerId(server),
                deadline,
            } => {
                assert!(
                    !self.not_ready.contains(&server),
                    "part {id} was sent to server {server}, which is draining or removed"
                );
                let part = self
                    .parts
                    .get_mut(&id)
                    .expect("the part that is sent should be open");
                let query = self
                    .queries
                    .get(&part.query)
                    .expect("the query of the part that is sent should be open");
                assert!(!part.is_answered && deadline <= query.deadline && part.step == query.step);
                let class = &self.settings.classes[query.class];
                let may_have_run = part.attempts.iter().any(|(_, outcome)| {
                    !matches!(
                        outcome,
                        Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
                    )
                });
                match class.idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::IdempotentWithKey => {
                        assert!(
                            !may_have_run
                                || part
                                    .first_sent
                                    .is_none_or(|at| now - at < class.dedup_window),
                            "a keyed part that may have run was sent after its dedup window"
                        )
                    }
                    Idempotency::AtMostOnce => {
                        assert!(!may_have_run, "an at-most-once part may run twice")
                    }
                }
                let is_further_attempt = !part.attempts.is_empty();
                if is_further_attempt {
                    if part.attempts.iter().any(|(_, outcome)| outcome.is_none()) {
                        assert!(self.settings.hedging_enabled);
                        assert!(part
                            .attempts
                            .iter()
                            .all(|(other, outcome)| outcome.is_some() || *other != server));
                    }
                    self.retries.push(now);
                }
                assert!(part.attempts.len() < self.settings.max_attempts as usize);
                part.first_sent.get_or_insert(now);
                let attempt = part.attempts.len() as u8;
                part.attempts.push((server, None));
                if let Some(budget) = self.settings.retry_budget.filter(|_| is_further_attempt) {
                    let recent = |list: &[Time]| {
                        list.iter().filter(|&&at| now - at <= budget.window).count() as f64
                    };
                    let allowed =
                        budget.always_allowed + budget.share_of_arrivals * recent(&self.arrivals);
                    assert!(
                        recent(&self.retries) <= allowed + 1e-9,
                        "retry budget exceeded: {} further attempts, {allowed} allowed, at {} s",
                        recent(&self.retries),
                        now.secs()
                    );
                }
                self.sends.entry(server).or_default().push(now);
                if let Some((_, sends)) = self.slow_start_sends.get_mut(&server) {
                    sends.push(now);
                }
                let (outcome, delay) = match self.rng.below(20) {
                    0 => (Outcome::Error, 0.01),
                    1 => (Outcome::Rejected, 0.002),
                    2 => (Outcome::ConnectFailed, 0.25),
                    3 => (Outcome::Reset, 0.1),
                    4 => (Outcome::Timeout, deadline - now),
                    5 => (Outcome::Ok, 1.5),
                    6 if server % 4 == 3 => (Outcome::Timeout, deadline - now),
                    _ => (Outcome::Ok, 0.05 + self.rng.below(200) as f64 / 1000.0),
                };
                let end = now + delay.max(0.001);
                let (end, outcome) = if end > deadline {
                    (deadline, Outcome::Timeout)
                } else {
                    (end, outcome)
                };
                self.pending_outcomes.push((end, id, attempt, outcome));
            }
            Action::Cancel {
                part: RequestId(id),
                attempt,
            } => {
                let part = &self.parts[&id];
                assert!(
                    (attempt as usize) < part.attempts.len() && self.settings.cancellation_enabled
                );
                for pending in self
                    .pending_outcomes
                    .iter_mut()
                    .filter(|pending| pending.1 == id && pending.2 == attempt)
                {
                    (pending.0, pending.3) = (now, Outcome::Cancelled);
                }
            }
            Action::Answer {
                query: RequestId(id),
                is_complete,
            } => {
                let query = self
                    .queries
                    .get(&id)
                    .expect("the query that is answered should be open");
                assert!(now <= query.deadline, "query {id} ended after its deadline");
                let class = &self.settings.classes[query.class];
                let step_parts = self
                    .parts
                    .values()
                    .filter(|part| part.query == id && part.step == query.step);
                let (mut weight, mut count) = (0.0, 0);
                for part in step_parts.filter(|part| part.is_answered) {
                    weight += part.weight;
                    count += 1;
                }
                let is_second_step = query.step == 2;
                let complete_threshold = if is_second_step {
                    1.0
                } else {
                    class.complete_threshold
                };
                let minimum = if is_second_step && class.minimum_share >= class.complete_threshold {
                    1.0
                } else {
                    class.minimum_share
                };
                assert!(
                    weight + 1e-4 >= minimum,
                    "query {id} answered with {weight} of the weight, less than the minimum share of {minimum}"
                );
                assert!(
                    !is_complete
                        || weight + 1e-4 >= complete_threshold
                            && (!is_second_step || query.is_first_step_complete),
                    "query {id} answered as complete with {weight} of the weight"
                );
                self.answer_count += 1;
                if class.second_step_parts > 0 && !is_second_step {
                    let parts = class.second_step_parts.min(count);
                    let query = self.queries.get_mut(&id).unwrap();
                    (query.step, query.is_first_step_complete) = (2, is_complete);
                    let number = query.number;
                    self.add_parts(id, number, 2, u64::from(parts));
                } else {
                    self.queries.remove(&id);
                }
            }
            Action::Reject {
                query: RequestId(id),
                ..
            } => {
                let query = self
                    .queries
                    .remove(&id)
                    .expect("the query that is rejected should be open");
                assert!(now <= query.deadline, "query {id} ended after its deadline");
                if self.settings.classes[query.class].idempotency == Idempotency::AtMostOnce {
                    let mut attempts = self
                        .parts
                        .values()
                        .filter(|part| part.query == id)
                        .flat_map(|part| &part.attempts);
                    let never_ran = |outcome: &Option<Outcome>| {
                        matches!(
                            outcome,
                            Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
                        )
                    };
                    assert!(
                        attempts.all(|(_, outcome)| never_ran(outcome)),
                        "an at-most-once query that may have run was rejected"
                    );
                }
            }
            Action::Fail {
                query: RequestId(id),
            } => {
                let query = self
                    .queries
                    .remove(&id)
                    .expect("the query that fails should be open");
                assert!(now <= query.deadline, "query {id} ended after its deadline");
            }
            Action::SetTimer(at) => {
                self.wake_ups.insert(at);
            }
            Action::SubscribeEndpoints => assert!(self.settings.max_poll_interval.is_some()),
            Action::HealthCheck(_) => assert!(self.settings.in_flight_report_index.is_some()),
        }
    }

    /// Adds parts of equal weight to a step of a query.
    fn add_parts(&mut self, query: u64, number: u64, step: u8, count: u64) {
        for _ in 0..count {
            self.last_id += 1;
            let (id, shard, weight) = (self.last_id, self.rng.below(6) as u32, 1.0 / count as f64);
            let part = TrackedPart {
                query,
                weight,
                step,
                is_answered: false,
                first_sent: None,
                attempts: Vec::new(),
            };
            self.parts.insert(id, part);
            self.arrivals.push(self.now);
            self.events.push(Event::Part {
                id: RequestId(id),
                query_number: number,
                shard,
                weight,
            });
        }
    }

    /// Adds a random query with the parts of its first step.
    fn add_query(&mut self) {
        self.last_id += 1;
        let (id, class) = (
            self.last_id,
            self.rng.below(self.settings.classes.len() as u64) as usize,
        );
        let (number, deadline) = (id, self.now + (0.4 + self.rng.below(260) as f64 / 100.0));
        self.queries.insert(
            id,
            TrackedQuery {
                class,
                number,
                deadline,
                step: 1,
                is_first_step_complete: false,
            },
        );
        self.arrivals.push(self.now);
        let request_id = RequestId(id);
        self.events.push(Event::Query {
            id: request_id,
            class: ClassId(class as u16),
            number,
            deadline,
            expected_work: self.rng.chance(0.1).then_some(f64::NAN),
            is_client_retry: false,
        });
        let parts = if self.settings.classes[class].idempotency == Idempotency::AtMostOnce {
            1
        } else {
            1 + self.rng.below(6)
        };
        self.add_parts(id, number, 1, parts);
    }

    /// Delivers the outcomes that are due, a few of them twice.
    fn deliver_outcomes(&mut self) {
        let now = self.now;
        let (due, not_due): (Vec<_>, Vec<_>) = self
            .pending_outcomes
            .drain(..)
            .partition(|pending| pending.0 <= now);
        self.pending_outcomes = not_due;
        for (_, id, attempt, outcome) in due {
            let part = self.parts.get_mut(&id).unwrap();
            part.attempts[attempt as usize].1 = Some(outcome);
            // An answer counts only while its query's step is open.
            part.is_answered |= outcome == Outcome::Ok;
            self.events.push(Event::AttemptEnded {
                part: RequestId(id),
                attempt,
                outcome,
            });
            if self.rng.chance(0.02) {
                self.events.push(Event::AttemptEnded {
                    part: RequestId(id),
                    attempt,
                    outcome,
                });
            }
        }
    }

    /// Changes the state or the start time of a random server.
    fn update_endpoints(&mut self) {
        let server = self.rng.below(8) as u32;
        let endpoint = match self.rng.below(5) {
            0 => endpoint(server, ServerState::Draining, None),
            1 => endpoint(server, ServerState::Removed, None),
            2 => endpoint(server, ServerState::Ready, Some(self.now)),
            _ => endpoint(
                server,
                ServerState::Ready,
                self.slow_start_sends.get(&server).map(|(start, _)| *start),
            ),
        };
        match endpoint.state {
            ServerState::Ready => self.not_ready.remove(&server),
            _ => self.not_ready.insert(server),
        };
        if let Some(at) = endpoint.ready_at.filter(|&at| at == self.now) {
            self.slow_start_sends.insert(server, (at, Vec::new()));
        }
        self.events
            .push(Event::Endpoints(EndpointUpdate::Delta(vec![endpoint])));
    }

    /// Pushes an event that the router must tolerate: of an unknown part or attempt, with an invalid value, a
    /// failed poll or an empty snapshot.
    fn push_irregular_event(&mut self) {
        let id = RequestId(self.rng.below(self.last_id + 100_000));
        let report = vec![[f64::NAN, -1.0, 3.0, 60.0][self.rng.below(4) as usize]];
        let outcome = if self.rng.chance(0.7) {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        self.events.push(match self.rng.below(6) {
            4 | 5 => Event::HealthCheckEnded {
                server: ServerId(self.rng.below(9) as u32),
                outcome,
                report,
            },
            0 => Event::AttemptEnded {
                part: RequestId(id.0 + 1_000_000),
                attempt: 200,
                outcome: Outcome::Ok,
            },
            1 => Event::Endpoints(EndpointUpdate::Failed),
            2 => Event::Endpoints(EndpointUpdate::Snapshot(Vec::new())),
            _ => Event::Part {
                id: RequestId(id.0 + 1_000_000),
                query_number: u64::MAX,
                shard: u32::MAX,
                weight: f64::NAN,
            },
        });
    }

    /// Disconnects the client of an open query, with a low probability.
    fn disconnect_client(&mut self) {
        if let Some(&id) = self.queries.keys().next().filter(|_| self.rng.chance(0.02)) {
            self.queries.remove(&id);
            self.events.push(Event::ClientGone(RequestId(id)));
        }
    }
}

/// Simulates one random deployment. Returns the number of answers, and of retries and hedged requests.
fn run_simulation(seed: u64) -> (u64, usize) {
    let mut rng = TestRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
        class(Idempotency::IdempotentWithKey),
    ];
    classes[2].dedup_window = 0.7;
    classes[1].late_answer_share = if rng.chance(0.5) { 0.3 } else { 0.0 };
    if rng.chance(0.5) {
        (classes[0].complete_threshold, classes[0].minimum_share) = (0.75, 0.75);
    } else if rng.chance(0.5) {
        (classes[0].minimum_share, classes[0].partial_answer_share) = (0.6, 0.8);
    }
    classes[0].second_step_parts = rng.below(3) as u32;
    let mut run_settings = settings(classes);
    run_settings.hedging_enabled = rng.chance(0.8);
    run_settings.cancellation_enabled = rng.chance(0.8);
    run_settings.max_attempts = 1 + rng.below(4) as u32;
    run_settings.in_flight_report_index = rng.chance(0.5).then_some(0);
    run_settings.max_poll_interval = rng.chance(0.5).then_some(10.0);
    run_settings.retry_budget = rng.chance(0.5).then_some(RetryBudgetLimits {
        always_allowed: 3.0,
        share_of_arrivals: 0.1,
        window: 5.0,
    });
    let mut environment = Environment {
        rng,
        settings: run_settings.clone(),
        now: Time::from_secs(1000.0),
        queries: BTreeMap::new(),
        parts: BTreeMap::new(),
        pending_outcomes: Vec::new(),
        not_ready: BTreeSet::new(),
        slow_start_sends: BTreeMap::new(),
        sends: BTreeMap::new(),
        arrivals: Vec::new(),
        retries: Vec::new(),
        wake_ups: BTreeSet::new(),
        answer_count: 0,
        last_id: 0,
        events: Vec::new(),
    };
    let mut router = RequestRouter::new(run_settings, seed);
    let endpoints = (0..8)
        .map(|id| endpoint(id, ServerState::Ready, None))
        .collect();
    environment
        .events
        .push(Event::Endpoints(EndpointUpdate::Cached(endpoints)));
    for _ in 0..6000 {
        environment.now = environment.now + 0.005;
        // The coordinator stalls now and then; attempts time out in the meantime.
        if environment.rng.chance(0.002) {
            environment.now = environment.now + 0.01;
        }
        environment.deliver_outcomes();
        if environment.rng.chance(0.12) {
            environment.add_query();
        }
        if environment.rng.chance(0.01) {
            environment.update_endpoints();
        }
        if environment.rng.chance(0.05) {
            environment.push_irregular_event();
        }
        environment.disconnect_client();
        let now = environment.now;
        if environment.wake_ups.first().is_some_and(|&at| at <= now) {
            environment.wake_ups.retain(|&at| at > now);
            environment.events.push(Event::TimerFired);
        }
        if environment.events.is_empty() {
            continue;
        }
        let events = std::mem::take(&mut environment.events);
        let mut actions = Vec::new();
        router.handle(environment.now, &events, &mut actions);
        for action in actions {
            environment.check_action(action);
        }
        for query in environment.queries.values() {
            assert!(
                now - query.deadline < 0.02,
                "a query is still open 20 ms after its deadline"
            );
        }
        environment.parts.retain(|id, part| {
            environment.queries.contains_key(&part.query)
                || environment
                    .pending_outcomes
                    .iter()
                    .any(|pending| pending.1 == *id)
        });
    }
    // Slow start: in no overload window may a started server get the overload multiple of its current
    // capacity. The capacity of a warm server is at least the largest number of parts that any server got in
    // such a window.
    let most_in_window = |sends: &Vec<Time>| {
        let sends_in_window = |(index, &from): (usize, &Time)| {
            sends[index..]
                .iter()
                .take_while(|&&to| to - from < 2.0)
                .count()
        };
        sends
            .iter()
            .enumerate()
            .map(sends_in_window)
            .max()
            .unwrap_or(0)
    };
    let warm_capacity = environment
        .sends
        .values()
        .map(most_in_window)
        .max()
        .unwrap_or(0) as f64;
    for (start, sends) in environment.slow_start_sends.values() {
        for (index, &from) in sends.iter().enumerate() {
            let age = from - *start;
            let capacity_share = (0.2 + 0.8 * (age + 1.0) / 10.0).min(1.0);
            let count = sends[index..]
                .iter()
                .take_while(|&&to| to - from < 2.0)
                .count() as f64;
            assert!(
                age > 8.0 || count <= 2.0 * capacity_share * warm_capacity,
                "slow start: {count} parts in one window, {age} s after the start"
            );
        }
    }
    (environment.answer_count, environment.retries.len())
}

#[test]
fn random_event_streams_comply_with_all_rules() {
    let (mut answers, mut retries) = (0, 0);
    for seed in 1..=24 {
        let (run_answers, run_retries) = run_simulation(seed);
        answers += run_answers;
        retries += run_retries;
    }
    assert!(
        answers > 3000 && retries > 500,
        "the streams exercised too little: {answers} answers, {retries} retries and hedged requests"
    );
}

#[test]
fn equal_seeds_give_equal_results() {
    assert_eq!(run_simulation(5), run_simulation(5));
}

#[test]
fn extreme_settings_and_events_do_not_panic() {
    for cells in [0, 1, u32::MAX] {
        let mut extreme = settings(vec![class(Idempotency::Idempotent)]);
        (
            extreme.cells,
            extreme.cells_per_shard,
            extreme.slow_start_duration,
            extreme.overload_window,
        ) = (cells, u32::MAX, 0.0, f64::NAN);
        let mut router = RequestRouter::new(extreme, 0);
        let mut actions = Vec::new();
        let extreme_endpoint = Endpoint {
            cell: u32::MAX,
            relative_capacity: f64::NAN,
            ..endpoint(9, ServerState::Ready, Some(Time(i64::MAX)))
        };
        let events = [
            Event::Endpoints(EndpointUpdate::Snapshot(vec![extreme_endpoint])),
            Event::Query {
                id: RequestId(1),
                class: ClassId(0),
                number: 0,
                deadline: Time(i64::MIN),
                expected_work: None,
                is_client_retry: true,
            },
            Event::Part {
                id: RequestId(2),
                query_number: 0,
                shard: u32::MAX,
                weight: f64::INFINITY,
            },
            Event::Query {
                id: RequestId(3),
                class: ClassId(99),
                number: 1,
                deadline: Time(i64::MAX),
                expected_work: Some(f64::INFINITY),
                is_client_retry: true,
            },
            Event::Part {
                id: RequestId(4),
                query_number: 1,
                shard: 0,
                weight: 1.0,
            },
            Event::AttemptEnded {
                part: RequestId(2),
                attempt: 0,
                outcome: Outcome::Ok,
            },
            Event::ClientGone(RequestId(77)),
        ];
        router.handle(Time(0), &events, &mut actions);
        router.handle(Time(i64::MAX), &[Event::TimerFired], &mut actions);
        let final_answers = actions.iter().filter(|action| {
            matches!(
                action,
                Action::Reject { .. } | Action::Fail { .. } | Action::Answer { .. }
            )
        });
        assert_eq!(
            final_answers.count(),
            2,
            "number of queries that ended, with {cells} cells"
        );
    }
}

#[test]
fn queries_finish_even_if_the_clock_goes_back() {
    let mut router = RequestRouter::new(settings(vec![class(Idempotency::Idempotent)]), 3);
    let endpoints = (0..3)
        .map(|id| endpoint(id, ServerState::Ready, None))
        .collect();
    let mut actions = Vec::new();
    router.handle(
        Time::from_secs(100.0),
        &[Event::Endpoints(EndpointUpdate::Snapshot(endpoints))],
        &mut actions,
    );
    for (number, at) in [200.0, 150.0, -1e12, 1e12, 99.0].into_iter().enumerate() {
        let (id, part) = (
            RequestId(number as u64 * 10),
            RequestId(number as u64 * 10 + 1),
        );
        let deadline = Time::from_secs(at) + 3.0;
        let number = number as u64;
        let query = Event::Query {
            id,
            class: ClassId(0),
            number,
            deadline,
            expected_work: None,
            is_client_retry: false,
        };
        let events = [
            query,
            Event::Part {
                id: part,
                query_number: number,
                shard: 0,
                weight: 1.0,
            },
        ];
        actions.clear();
        router.handle(Time::from_secs(at), &events, &mut actions);
        router.handle(
            Time::from_secs(at) + 0.1,
            &[Event::AttemptEnded {
                part,
                attempt: 0,
                outcome: Outcome::Ok,
            }],
            &mut actions,
        );
        assert!(
            common::is_finished(&actions, id.0),
            "query sent at {at} s was not ended: {actions:?}"
        );
    }
}
