//! Long random event streams in varied deployments; the rules of the protocol are checked from outside the router.

mod common;

use cairnroad_routing::RequestRouter;
use cairnroad_types::*;
use common::{class, endpoint, settings};
use std::collections::{BTreeMap, BTreeSet};

struct Dice(u64);

impl Dice {
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

struct PartView {
    query: u64,
    weight: f64,
    step: u8,
    answered: bool,
    first_sent: Option<Time>,
    attempts: Vec<(u32, Option<Outcome>)>,
}

struct QueryView {
    class: usize,
    number: u64,
    due: Time,
    step: u8,
    first_step_complete: bool,
}

/// The surroundings of a router: draws what happens and checks each action against the rules.
struct World {
    dice: Dice,
    settings: Settings,
    now: Time,
    queries: BTreeMap<u64, QueryView>,
    parts: BTreeMap<u64, PartView>,
    out: Vec<(Time, u64, u8, Outcome)>,
    not_ready: BTreeSet<u32>,
    slow_starting: BTreeMap<u32, (Time, Vec<Time>)>,
    sent: BTreeMap<u32, Vec<Time>>,
    arrivals: Vec<Time>,
    retries: Vec<Time>,
    wake: BTreeSet<Time>,
    answers: u64,
    next: u64,
    events: Vec<Event>,
}

impl World {
    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send {
                part: RequestId(id),
                server: ServerId(server),
                deadline,
            } => {
                assert!(
                    !self.not_ready.contains(&server),
                    "sent to server {server}, which is draining or removed"
                );
                let view = self.parts.get_mut(&id).expect("a send for an unknown part");
                let query = self
                    .queries
                    .get(&view.query)
                    .expect("a send for a finished query");
                assert!(!view.answered && deadline <= query.due && view.step == query.step);
                let class = &self.settings.classes[query.class];
                let ran = view.attempts.iter().any(|(_, o)| {
                    !matches!(
                        o,
                        Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
                    )
                });
                match class.idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::IdempotentWithKey => {
                        assert!(
                            !ran || view
                                .first_sent
                                .is_none_or(|at| now - at < class.dedup_window),
                            "window"
                        )
                    }
                    Idempotency::AtMostOnce => assert!(!ran, "an at-most-once part may run twice"),
                }
                let again = !view.attempts.is_empty();
                if again {
                    if view.attempts.iter().any(|(_, o)| o.is_none()) {
                        assert!(self.settings.hedging_enabled);
                        assert!(view
                            .attempts
                            .iter()
                            .all(|(s, o)| o.is_some() || *s != server));
                    }
                    self.retries.push(now);
                }
                assert!(view.attempts.len() < self.settings.max_attempts as usize);
                view.first_sent.get_or_insert(now);
                let attempt = view.attempts.len() as u8;
                view.attempts.push((server, None));
                if let Some(budget) = self.settings.retry_budget.filter(|_| again) {
                    let recent = |list: &[Time]| {
                        list.iter().filter(|&&at| now - at <= budget.window).count() as f64
                    };
                    let allowed =
                        budget.always_allowed + budget.share_of_arrivals * recent(&self.arrivals);
                    assert!(
                        recent(&self.retries) <= allowed + 1e-9,
                        "budget: {} of {allowed} at {}",
                        recent(&self.retries),
                        now.secs()
                    );
                }
                self.sent.entry(server).or_default().push(now);
                if let Some((_, sends)) = self.slow_starting.get_mut(&server) {
                    sends.push(now);
                }
                let (outcome, late) = match self.dice.below(20) {
                    0 => (Outcome::Error, 0.01),
                    1 => (Outcome::Rejected, 0.002),
                    2 => (Outcome::ConnectFailed, 0.25),
                    3 => (Outcome::Reset, 0.1),
                    4 => (Outcome::Timeout, deadline - now),
                    5 => (Outcome::Ok, 1.5),
                    6 if server % 4 == 3 => (Outcome::Timeout, deadline - now),
                    _ => (Outcome::Ok, 0.05 + self.dice.below(200) as f64 / 1000.0),
                };
                let end = now + late.max(0.001);
                let (end, outcome) = if end > deadline {
                    (deadline, Outcome::Timeout)
                } else {
                    (end, outcome)
                };
                self.out.push((end, id, attempt, outcome));
            }
            Action::Cancel {
                part: RequestId(id),
                attempt,
            } => {
                let view = &self.parts[&id];
                assert!(
                    (attempt as usize) < view.attempts.len() && self.settings.cancellation_enabled
                );
                for out in self.out.iter_mut().filter(|o| o.1 == id && o.2 == attempt) {
                    (out.0, out.3) = (now, Outcome::Cancelled);
                }
            }
            Action::Answer {
                query: RequestId(id),
                is_complete,
            } => {
                let query = self
                    .queries
                    .get(&id)
                    .expect("an answer for a finished query");
                assert!(now <= query.due, "answered past its deadline");
                let class = &self.settings.classes[query.class];
                let mine = self
                    .parts
                    .values()
                    .filter(|p| p.query == id && p.step == query.step);
                let (mut weight, mut count) = (0.0, 0);
                for part in mine.filter(|p| p.answered) {
                    weight += part.weight;
                    count += 1;
                }
                let second = query.step == 2;
                let need = if second {
                    1.0
                } else {
                    class.complete_threshold
                };
                let minimum = if second && class.minimum_share >= class.complete_threshold {
                    1.0
                } else {
                    class.minimum_share
                };
                assert!(weight + 1e-4 >= minimum, "less than the minimum share");
                assert!(
                    !is_complete || weight + 1e-4 >= need && (!second || query.first_step_complete),
                    "not complete"
                );
                self.answers += 1;
                if class.second_step_parts > 0 && !second {
                    let parts = class.second_step_parts.min(count);
                    let query = self.queries.get_mut(&id).unwrap();
                    (query.step, query.first_step_complete) = (2, is_complete);
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
                    .expect("a rejection of a finished query");
                assert!(now <= query.due, "answered past its deadline");
                if self.settings.classes[query.class].idempotency == Idempotency::AtMostOnce {
                    let mut attempts = self
                        .parts
                        .values()
                        .filter(|p| p.query == id)
                        .flat_map(|p| &p.attempts);
                    let proved = |o: &Option<Outcome>| {
                        matches!(
                            o,
                            Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
                        )
                    };
                    assert!(
                        attempts.all(|(_, o)| proved(o)),
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
                    .expect("a failure of a finished query");
                assert!(now <= query.due, "answered past its deadline");
            }
            Action::SetTimer(at) => {
                self.wake.insert(at);
            }
            Action::SubscribeEndpoints => assert!(self.settings.max_poll_interval.is_some()),
            Action::HealthCheck(_) => assert!(self.settings.in_flight_report_index.is_some()),
        }
    }

    fn add_parts(&mut self, query: u64, number: u64, step: u8, count: u64) {
        for _ in 0..count {
            self.next += 1;
            let (id, shard, weight) = (self.next, self.dice.below(6) as u32, 1.0 / count as f64);
            let view = PartView {
                query,
                weight,
                step,
                answered: false,
                first_sent: None,
                attempts: Vec::new(),
            };
            self.parts.insert(id, view);
            self.arrivals.push(self.now);
            self.events.push(Event::Part {
                id: RequestId(id),
                query_number: number,
                shard,
                weight,
            });
        }
    }

    fn arrive(&mut self) {
        self.next += 1;
        let (id, class) = (
            self.next,
            self.dice.below(self.settings.classes.len() as u64) as usize,
        );
        let (number, due) = (id, self.now + (0.4 + self.dice.below(260) as f64 / 100.0));
        self.queries.insert(
            id,
            QueryView {
                class,
                number,
                due,
                step: 1,
                first_step_complete: false,
            },
        );
        self.arrivals.push(self.now);
        let id_typed = RequestId(id);
        self.events.push(Event::Query {
            id: id_typed,
            class: ClassId(class as u16),
            number,
            deadline: due,
            expected_work: self.dice.chance(0.1).then_some(f64::NAN),
            is_client_retry: false,
        });
        let parts = if self.settings.classes[class].idempotency == Idempotency::AtMostOnce {
            1
        } else {
            1 + self.dice.below(6)
        };
        self.add_parts(id, number, 1, parts);
    }

    fn outcomes(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.out.drain(..).partition(|o| o.0 <= now);
        self.out = rest;
        for (_, id, attempt, outcome) in due {
            let view = self.parts.get_mut(&id).unwrap();
            view.attempts[attempt as usize].1 = Some(outcome);
            // An answer counts while its query's step still runs.
            view.answered |= outcome == Outcome::Ok;
            self.events.push(Event::AttemptEnded {
                part: RequestId(id),
                attempt,
                outcome,
            });
            if self.dice.chance(0.02) {
                self.events.push(Event::AttemptEnded {
                    part: RequestId(id),
                    attempt,
                    outcome,
                });
            }
        }
    }

    fn update_endpoints(&mut self) {
        let server = self.dice.below(8) as u32;
        let row = match self.dice.below(5) {
            0 => endpoint(server, ServerState::Draining, None),
            1 => endpoint(server, ServerState::Removed, None),
            2 => endpoint(server, ServerState::Ready, Some(self.now)),
            _ => endpoint(
                server,
                ServerState::Ready,
                self.slow_starting.get(&server).map(|c| c.0),
            ),
        };
        match row.state {
            ServerState::Ready => self.not_ready.remove(&server),
            _ => self.not_ready.insert(server),
        };
        if let Some(at) = row.ready_at.filter(|&at| at == self.now) {
            self.slow_starting.insert(server, (at, Vec::new()));
        }
        self.events
            .push(Event::Endpoints(EndpointUpdate::Delta(vec![row])));
    }

    fn noise(&mut self) {
        let id = RequestId(self.dice.below(self.next + 100_000));
        let report = vec![[f64::NAN, -1.0, 3.0, 60.0][self.dice.below(4) as usize]];
        let outcome = if self.dice.chance(0.7) {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        self.events.push(match self.dice.below(6) {
            4 | 5 => Event::HealthCheckEnded {
                server: ServerId(self.dice.below(9) as u32),
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

    /// Has the client of an open query go away, now and then.
    fn disconnect_client(&mut self) {
        if let Some(&id) = self
            .queries
            .keys()
            .next()
            .filter(|_| self.dice.chance(0.02))
        {
            self.queries.remove(&id);
            self.events.push(Event::ClientGone(RequestId(id)));
        }
    }
}

/// Plays one drawn deployment; returns how many answers, and retries with hedged requests, it saw.
fn play(seed: u64) -> (u64, usize) {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
        class(Idempotency::IdempotentWithKey),
    ];
    classes[2].dedup_window = 0.7;
    classes[1].late_answer_share = if dice.chance(0.5) { 0.3 } else { 0.0 };
    if dice.chance(0.5) {
        (classes[0].complete_threshold, classes[0].minimum_share) = (0.75, 0.75);
    } else if dice.chance(0.5) {
        (classes[0].minimum_share, classes[0].partial_answer_share) = (0.6, 0.8);
    }
    classes[0].second_step_parts = dice.below(3) as u32;
    let mut drawn = settings(classes);
    drawn.hedging_enabled = dice.chance(0.8);
    drawn.cancellation_enabled = dice.chance(0.8);
    drawn.max_attempts = 1 + dice.below(4) as u32;
    drawn.in_flight_report_index = dice.chance(0.5).then_some(0);
    drawn.max_poll_interval = dice.chance(0.5).then_some(10.0);
    drawn.retry_budget = dice.chance(0.5).then_some(RetryBudgetLimits {
        always_allowed: 3.0,
        share_of_arrivals: 0.1,
        window: 5.0,
    });
    let mut world = World {
        dice,
        settings: drawn.clone(),
        now: Time::from_secs(1000.0),
        queries: BTreeMap::new(),
        parts: BTreeMap::new(),
        out: Vec::new(),
        not_ready: BTreeSet::new(),
        slow_starting: BTreeMap::new(),
        sent: BTreeMap::new(),
        arrivals: Vec::new(),
        retries: Vec::new(),
        wake: BTreeSet::new(),
        answers: 0,
        next: 0,
        events: Vec::new(),
    };
    let mut router = RequestRouter::new(drawn, seed);
    let rows = (0..8)
        .map(|id| endpoint(id, ServerState::Ready, None))
        .collect();
    world
        .events
        .push(Event::Endpoints(EndpointUpdate::Cached(rows)));
    for _ in 0..6000 {
        world.now = world.now + 0.005;
        // The coordinator stalls now and then; time-outs go on meanwhile.
        if world.dice.chance(0.002) {
            world.now = world.now + 0.01;
        }
        world.outcomes();
        if world.dice.chance(0.12) {
            world.arrive();
        }
        if world.dice.chance(0.01) {
            world.update_endpoints();
        }
        if world.dice.chance(0.05) {
            world.noise();
        }
        world.disconnect_client();
        let now = world.now;
        if world.wake.first().is_some_and(|&at| at <= now) {
            world.wake.retain(|&at| at > now);
            world.events.push(Event::TimerFired);
        }
        if world.events.is_empty() {
            continue;
        }
        let events = std::mem::take(&mut world.events);
        let mut actions = Vec::new();
        router.handle(world.now, &events, &mut actions);
        for action in actions {
            world.check(action);
        }
        for query in world.queries.values() {
            assert!(now - query.due < 0.02, "a query was lost");
        }
        world.parts.retain(|id, p| {
            world.queries.contains_key(&p.query) || world.out.iter().any(|o| o.1 == *id)
        });
    }
    // Slow start: in no window may a server that just started get the stated multiple of what it can do. What a
    // warm one can do is not less than the most that any server took in such a window.
    let most = |sends: &Vec<Time>| {
        let within = |(at, &from): (usize, &Time)| {
            sends[at..]
                .iter()
                .take_while(|&&to| to - from < 2.0)
                .count()
        };
        sends.iter().enumerate().map(within).max().unwrap_or(0)
    };
    let warm = world.sent.values().map(most).max().unwrap_or(0) as f64;
    for (start, sends) in world.slow_starting.values() {
        for (at, &from) in sends.iter().enumerate() {
            let age = from - *start;
            let ramp = (0.2 + 0.8 * (age + 1.0) / 10.0).min(1.0);
            let count = sends[at..]
                .iter()
                .take_while(|&&to| to - from < 2.0)
                .count() as f64;
            assert!(
                age > 8.0 || count <= 2.0 * ramp * warm,
                "slow start: {count} at age {age}"
            );
        }
    }
    (world.answers, world.retries.len())
}

#[test]
fn random_streams_keep_all_rules() {
    let (mut answers, mut retries) = (0, 0);
    for seed in 1..=24 {
        let (a, f) = play(seed);
        answers += a;
        retries += f;
    }
    assert!(
        answers > 3000 && retries > 500,
        "the streams were too tame: {answers} answers, {retries} retries"
    );
}

#[test]
fn equal_streams_give_equal_actions() {
    assert_eq!(play(5), play(5));
}

#[test]
fn absurd_settings_and_events_do_not_panic() {
    for cells in [0, 1, u32::MAX] {
        let mut odd = settings(vec![class(Idempotency::Idempotent)]);
        (
            odd.cells,
            odd.cells_per_shard,
            odd.slow_start_duration,
            odd.overload_window,
        ) = (cells, u32::MAX, 0.0, f64::NAN);
        let mut router = RequestRouter::new(odd, 0);
        let mut actions = Vec::new();
        let row = Endpoint {
            cell: u32::MAX,
            relative_capacity: f64::NAN,
            ..endpoint(9, ServerState::Ready, Some(Time(i64::MAX)))
        };
        let events = [
            Event::Endpoints(EndpointUpdate::Snapshot(vec![row])),
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
        let ends = actions.iter().filter(|a| {
            matches!(
                a,
                Action::Reject { .. } | Action::Fail { .. } | Action::Answer { .. }
            )
        });
        assert_eq!(ends.count(), 2, "both queries ended, cells {cells}");
    }
}

#[test]
fn queries_finish_though_the_clock_goes_back() {
    let mut router = RequestRouter::new(settings(vec![class(Idempotency::Idempotent)]), 3);
    let rows = (0..3)
        .map(|id| endpoint(id, ServerState::Ready, None))
        .collect();
    let mut actions = Vec::new();
    router.handle(
        Time::from_secs(100.0),
        &[Event::Endpoints(EndpointUpdate::Snapshot(rows))],
        &mut actions,
    );
    for (number, at) in [200.0, 150.0, -1e12, 1e12, 99.0].into_iter().enumerate() {
        let (id, part) = (
            RequestId(number as u64 * 10),
            RequestId(number as u64 * 10 + 1),
        );
        let due = Time::from_secs(at) + 3.0;
        let number = number as u64;
        let query = Event::Query {
            id,
            class: ClassId(0),
            number,
            deadline: due,
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
        assert!(common::is_finished(&actions, id.0), "at {at}: {actions:?}");
    }
}
