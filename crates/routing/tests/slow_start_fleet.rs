//! Many coordinators and one server in slow start: what they send it together, each knowing only its own traffic.

mod common;

use cairnroad_routing::RequestRouter;
use cairnroad_types::*;
use common::class;
use std::collections::{BTreeMap, VecDeque};

/// Cells, one server in each; a shard is on two in a row.
const CELLS: u32 = 12;
/// What the fleet has to do: parts a second that all are asked for, for each server; and what a warm server could do.
#[derive(Clone, Copy)]
struct Load {
    rate: f64,
    capacity: f64,
}

/// A little over half busy; many parts in a window.
const MUCH: Load = Load {
    rate: 150.0,
    capacity: 270.0,
};
/// The same with few: a server in slow start may get no more than two or three in a window at first.
const LITTLE: Load = Load {
    rate: 5.0,
    capacity: 9.0,
};
/// Seconds that an answer takes.
const TOOK: f64 = 0.02;
const TICK: f64 = 0.005;
const PARTS: u64 = 4;

fn settings(coordinators: u32) -> Settings {
    Settings {
        cells: CELLS,
        cells_per_shard: 2,
        coordinator_count: coordinators,
        slow_start_share: 0.2,
        overload_multiple: 1.5,
        overload_window: 1.0,
        slow_start_duration: 10.0,
        ..common::settings(vec![class(Idempotency::Idempotent)])
    }
}

fn endpoint_in_own_cell(id: u32, ready_at: Option<Time>) -> Endpoint {
    Endpoint {
        cell: id,
        ..common::endpoint(id, ServerState::Ready, ready_at)
    }
}

/// One coordinator and its attempts in flight.
struct Coordinator {
    router: RequestRouter,
    events: Vec<Event>,
    wake: Option<Time>,
    servers: BTreeMap<(u64, u8), u32>,
    attempts: BTreeMap<u64, u8>,
}

/// What the fleet sent to the server that started, at which age, and by which coordinator.
struct Sent(Load, Vec<(f64, usize)>);

impl Sent {
    /// The most of what came within one window, over what the settings allow then, with chance's room.
    fn worst(&self, settings: &Settings) -> f64 {
        let mut window = VecDeque::new();
        let mut worst: f64 = 0.0;
        for &(age, _) in &self.1 {
            window.push_back(age);
            while window
                .front()
                .is_some_and(|&first| age - first > settings.overload_window)
            {
                window.pop_front();
            }
            let from = (age - settings.overload_window).max(0.0) / settings.slow_start_duration;
            let ramp = settings.slow_start_share + (1.0 - settings.slow_start_share) * from;
            let allowed =
                settings.overload_multiple * ramp * self.0.capacity * settings.overload_window;
            worst = worst.max(window.len() as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
        worst
    }

    /// The share of the usual rate that it got in its first so many seconds.
    fn share(&self, secs: f64) -> f64 {
        self.1.iter().filter(|&&(age, _)| age <= secs).count() as f64 / (self.0.rate * secs)
    }
}

/// So many coordinators share the traffic; server 0 leaves at 8 s and is back after a restart at 12 s. The list tells
/// coordinator `number` of the start after so many seconds.
fn play(load: Load, seed: u64, coordinators: u32, learns_after: impl Fn(usize) -> f64) -> Sent {
    let start = Time::from_secs(1000.0);
    let back = start + 12.0;
    let list: Vec<Endpoint> = (0..CELLS)
        .map(|id| endpoint_in_own_cell(id, None))
        .collect();
    let one = |number: u32| Coordinator {
        router: RequestRouter::new(settings(coordinators), u64::from(number) + 1000 * seed + 1),
        events: vec![Event::Endpoints(EndpointUpdate::Snapshot(list.clone()))],
        wake: None,
        servers: BTreeMap::new(),
        attempts: BTreeMap::new(),
    };
    let mut fleet: Vec<Coordinator> = (0..coordinators).map(one).collect();
    let mut random = 7 + seed;
    let mut chance = || {
        random = random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut answers: VecDeque<(Time, usize, u64, u8, Outcome)> = VecDeque::new();
    let mut sent = Vec::new();
    let (mut query, mut due) = (0u64, 0.0);
    for tick in 0..(20.0 / TICK) as u32 {
        let (age, now) = (f64::from(tick) * TICK, start + f64::from(tick) * TICK);
        for (number, one) in fleet.iter_mut().enumerate() {
            let is_now = |at: f64| (age - at).abs() < TICK / 2.0;
            if is_now(8.0) {
                let gone = Endpoint {
                    state: ServerState::Removed,
                    ..endpoint_in_own_cell(0, None)
                };
                one.events
                    .push(Event::Endpoints(EndpointUpdate::Delta(vec![gone])));
            }
            if is_now(12.0 + (learns_after(number) / TICK).round() * TICK) {
                one.events.push(Event::Endpoints(EndpointUpdate::Delta(vec![
                    endpoint_in_own_cell(0, Some(back)),
                ])));
            }
        }
        while answers.front().is_some_and(|answer| answer.0 <= now) {
            let Some((_, number, part, attempt, outcome)) = answers.pop_front() else {
                break;
            };
            fleet[number].events.push(Event::AttemptEnded {
                part: RequestId(part),
                attempt,
                outcome,
            });
        }
        due += load.rate * f64::from(CELLS) / PARTS as f64 * TICK;
        while chance() < due {
            due -= 1.0;
            query += 1;
            let one = &mut fleet[(chance() * f64::from(coordinators)) as usize];
            let id = RequestId(query * 100);
            one.events.push(Event::Query {
                id,
                class: ClassId(0),
                number: query,
                deadline: now + 3.0,
                expected_work: None,
                is_client_retry: false,
            });
            let first = (chance() * f64::from(CELLS)) as u64;
            for at in 0..PARTS {
                let shard = ((first + at * 3) % u64::from(CELLS)) as u32;
                let weight = 1.0 / PARTS as f64;
                one.events.push(Event::Part {
                    id: RequestId(id.0 + 1 + at),
                    query_number: query,
                    shard,
                    weight,
                });
            }
        }
        for (number, one) in fleet.iter_mut().enumerate() {
            let woken = one.wake.is_some_and(|at| at <= now);
            if one.events.is_empty() && !woken {
                continue;
            }
            let mut actions = Vec::new();
            one.router
                .handle(now, &std::mem::take(&mut one.events), &mut actions);
            one.wake = one.wake.filter(|_| !woken);
            for action in actions {
                match action {
                    Action::Send { part, server, .. } => {
                        let attempt = one.attempts.entry(part.0).or_default();
                        one.servers.insert((part.0, *attempt), server.0);
                        answers.push_back((now + TOOK, number, part.0, *attempt, Outcome::Ok));
                        *attempt += 1;
                        if server.0 == 0 && age >= 12.0 {
                            sent.push((age - 12.0, number));
                        }
                    }
                    Action::SetTimer(at) => {
                        one.wake = Some(one.wake.map_or(at, |earlier| earlier.min(at)))
                    }
                    _ => {}
                }
            }
        }
    }
    Sent(load, sent)
}

/// Guards against a limit that each coordinator keeps alone and all together exceed.
#[test]
fn coordinators_together_keep_to_the_limit_of_a_server_in_slow_start() {
    for coordinators in [3, 30, 300] {
        let sent = play(MUCH, 0, coordinators, |_| 0.1);
        let worst = sent.worst(&settings(coordinators));
        assert!(
            worst <= 1.0,
            "{coordinators} coordinators: {worst:.2} of the limit"
        );
        assert!(
            sent.share(4.0) > 0.15,
            "{coordinators} coordinators: it is starved, {:.2}",
            sent.share(4.0)
        );
    }
}

/// Guards against a coordinator that learns late of a start and then spends the credit of the time since.
#[test]
fn coordinators_that_learn_late_of_a_start_do_not_make_up_for_it() {
    for coordinators in [3, 300] {
        // One of four learns 3 s late; all its share is on top of what the others send then.
        let late = |number: usize| number % 4 == 1;
        let sent = play(
            MUCH,
            0,
            coordinators,
            move |number| if late(number) { 3.0 } else { 0.1 },
        );
        assert!(
            sent.worst(&settings(coordinators)) <= 1.0,
            "{coordinators} coordinators"
        );
        let within = |from: f64, to: f64| {
            sent.1
                .iter()
                .filter(|&&(age, number)| late(number) && age > from && age <= to)
                .count() as f64
        };
        assert_eq!(within(0.0, 2.9), 0.0, "nothing before they learn of it");
        let (first, second) = (within(2.99, 3.49), within(3.49, 3.99));
        let burst = 3.0 * second.max(f64::from(coordinators) / 4.0).sqrt() + 3.0;
        assert!(
            first <= second + burst,
            "{coordinators} coordinators: {first} after {second}"
        );
    }
}

/// Guards against a credit of one part that each coordinator begins with or saves up: where a server in slow start may get
/// few parts in a window, the credits of all would exceed that, the more coordinators there are.
#[test]
fn a_small_slow_start_limit_holds_whatever_the_number_of_coordinators() {
    for coordinators in [3, 30, 300] {
        let worst: Vec<f64> = (1..=12)
            .map(|seed| play(LITTLE, seed, coordinators, |_| 0.1).worst(&settings(coordinators)))
            .collect();
        let mean = worst.iter().sum::<f64>() / worst.len() as f64;
        let spread = worst
            .iter()
            .map(|worst| (worst - mean).powi(2))
            .sum::<f64>()
            / worst.len() as f64;
        println!(
            "{coordinators} coordinators: worst window {mean:.2} of the limit, spread {:.2}: {worst:.2?}",
            spread.sqrt()
        );
        assert!(
            worst.iter().all(|&worst| worst <= 1.0),
            "{coordinators} coordinators: {worst:.2?}"
        );
    }
}
