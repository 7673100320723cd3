//! Tests of slow start with many coordinators: the total that they send to one server in slow start, while
//! each knows only its own traffic.

mod common;

use cairnroad_routing::RequestRouter;
use cairnroad_types::*;
use common::class;
use std::collections::{BTreeMap, VecDeque};

/// Number of cells, with one server each. Two consecutive cells hold a shard.
const CELLS: u32 = 12;
/// Load of the fleet, per server.
#[derive(Clone, Copy)]
struct Load {
    /// Parts per second that arrive at all coordinators together.
    rate: f64,
    /// Parts per second that a warm server can answer.
    capacity: f64,
}

/// A utilization of a little over half, with many parts in an overload window.
const HIGH_TRAFFIC: Load = Load {
    rate: 150.0,
    capacity: 270.0,
};
/// The same utilization with few parts: a server in slow start may at first get only two or three in an
/// overload window.
const LOW_TRAFFIC: Load = Load {
    rate: 5.0,
    capacity: 9.0,
};
/// Latency of each answer, in seconds.
const ANSWER_LATENCY: f64 = 0.02;
const TICK_SECONDS: f64 = 0.005;
const PARTS_PER_QUERY: u64 = 4;

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
    wake_up: Option<Time>,
    servers: BTreeMap<(u64, u8), u32>,
    /// Number of attempts of each part.
    attempts: BTreeMap<u64, u8>,
}

/// The parts sent to the server that restarted.
struct SendsToRestarted {
    load: Load,
    /// Seconds since the restart and number of the coordinator, for each part.
    sends: Vec<(f64, usize)>,
}

impl SendsToRestarted {
    /// Returns the highest ratio of the parts within one overload window to the number that the settings
    /// allow then. The allowed number includes a margin for random variation.
    fn worst_window_ratio(&self, settings: &Settings) -> f64 {
        let mut window = VecDeque::new();
        let mut worst: f64 = 0.0;
        for &(age, _) in &self.sends {
            window.push_back(age);
            while window
                .front()
                .is_some_and(|&first| age - first > settings.overload_window)
            {
                window.pop_front();
            }
            let progress = (age - settings.overload_window).max(0.0) / settings.slow_start_duration;
            let capacity_share =
                settings.slow_start_share + (1.0 - settings.slow_start_share) * progress;
            let allowed = settings.overload_multiple
                * capacity_share
                * self.load.capacity
                * settings.overload_window;
            worst = worst.max(window.len() as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
        worst
    }

    /// Returns the parts that the server got in its first `secs` seconds, as a share of a warm server's.
    fn share_of_warm_rate(&self, secs: f64) -> f64 {
        self.sends.iter().filter(|&&(age, _)| age <= secs).count() as f64 / (self.load.rate * secs)
    }
}

/// Simulates 20 s in which the coordinators share the traffic. Server 0 is removed at 8 s and is ready again
/// after a restart at 12 s. Coordinator `number` gets the endpoint list with the restart `list_delay(number)`
/// seconds later.
fn run_simulation(
    load: Load,
    seed: u64,
    coordinators: u32,
    list_delay: impl Fn(usize) -> f64,
) -> SendsToRestarted {
    let start = Time::from_secs(1000.0);
    let restarted_at = start + 12.0;
    let list: Vec<Endpoint> = (0..CELLS)
        .map(|id| endpoint_in_own_cell(id, None))
        .collect();
    let coordinator = |number: u32| Coordinator {
        router: RequestRouter::new(settings(coordinators), u64::from(number) + 1000 * seed + 1),
        events: vec![Event::Endpoints(EndpointUpdate::Snapshot(list.clone()))],
        wake_up: None,
        servers: BTreeMap::new(),
        attempts: BTreeMap::new(),
    };
    let mut fleet: Vec<Coordinator> = (0..coordinators).map(coordinator).collect();
    let mut random = 7 + seed;
    let mut next_random = || {
        random = random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut answers: VecDeque<(Time, usize, u64, u8, Outcome)> = VecDeque::new();
    let mut sent = Vec::new();
    let (mut query, mut expected_queries) = (0u64, 0.0);
    for tick in 0..(20.0 / TICK_SECONDS) as u32 {
        let (age, now) = (
            f64::from(tick) * TICK_SECONDS,
            start + f64::from(tick) * TICK_SECONDS,
        );
        for (number, coordinator) in fleet.iter_mut().enumerate() {
            let is_at_tick = |at: f64| (age - at).abs() < TICK_SECONDS / 2.0;
            if is_at_tick(8.0) {
                let removed = Endpoint {
                    state: ServerState::Removed,
                    ..endpoint_in_own_cell(0, None)
                };
                coordinator
                    .events
                    .push(Event::Endpoints(EndpointUpdate::Delta(vec![removed])));
            }
            if is_at_tick(12.0 + (list_delay(number) / TICK_SECONDS).round() * TICK_SECONDS) {
                coordinator
                    .events
                    .push(Event::Endpoints(EndpointUpdate::Delta(vec![
                        endpoint_in_own_cell(0, Some(restarted_at)),
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
        expected_queries += load.rate * f64::from(CELLS) / PARTS_PER_QUERY as f64 * TICK_SECONDS;
        while next_random() < expected_queries {
            expected_queries -= 1.0;
            query += 1;
            let coordinator = &mut fleet[(next_random() * f64::from(coordinators)) as usize];
            let id = RequestId(query * 100);
            coordinator.events.push(Event::Query {
                id,
                class: ClassId(0),
                number: query,
                deadline: now + 3.0,
                expected_work: None,
                is_client_retry: false,
            });
            let first_shard = (next_random() * f64::from(CELLS)) as u64;
            for index in 0..PARTS_PER_QUERY {
                let shard = ((first_shard + index * 3) % u64::from(CELLS)) as u32;
                let weight = 1.0 / PARTS_PER_QUERY as f64;
                coordinator.events.push(Event::Part {
                    id: RequestId(id.0 + 1 + index),
                    query_number: query,
                    shard,
                    weight,
                });
            }
        }
        for (number, coordinator) in fleet.iter_mut().enumerate() {
            let is_woken = coordinator.wake_up.is_some_and(|at| at <= now);
            if coordinator.events.is_empty() && !is_woken {
                continue;
            }
            let mut actions = Vec::new();
            coordinator
                .router
                .handle(now, &std::mem::take(&mut coordinator.events), &mut actions);
            coordinator.wake_up = coordinator.wake_up.filter(|_| !is_woken);
            for action in actions {
                match action {
                    Action::Send { part, server, .. } => {
                        let attempt = coordinator.attempts.entry(part.0).or_default();
                        coordinator.servers.insert((part.0, *attempt), server.0);
                        answers.push_back((
                            now + ANSWER_LATENCY,
                            number,
                            part.0,
                            *attempt,
                            Outcome::Ok,
                        ));
                        *attempt += 1;
                        if server.0 == 0 && age >= 12.0 {
                            sent.push((age - 12.0, number));
                        }
                    }
                    Action::SetTimer(at) => {
                        coordinator.wake_up =
                            Some(coordinator.wake_up.map_or(at, |earlier| earlier.min(at)))
                    }
                    _ => {}
                }
            }
        }
    }
    SendsToRestarted { load, sends: sent }
}

/// Guards against a limit that each coordinator alone keeps but that all together exceed.
#[test]
fn coordinators_together_keep_to_the_limit_of_a_server_in_slow_start() {
    for coordinators in [3, 30, 300] {
        let sent = run_simulation(HIGH_TRAFFIC, 0, coordinators, |_| 0.1);
        let worst = sent.worst_window_ratio(&settings(coordinators));
        assert!(
            worst <= 1.0,
            "{coordinators} coordinators sent {worst:.2} of the limit"
        );
        assert!(
            sent.share_of_warm_rate(4.0) > 0.15,
            "{coordinators} coordinators sent too little: {:.2} of the rate of a warm server",
            sent.share_of_warm_rate(4.0)
        );
    }
}

/// Guards against a coordinator that gets the endpoint list with the start late and then spends the credit of
/// the time since.
#[test]
fn coordinators_that_learn_late_of_a_start_do_not_make_up_for_it() {
    for coordinators in [3, 300] {
        // One of four coordinators gets the list 3 s late. Its share is then added to what the others send.
        let is_late = |number: usize| number % 4 == 1;
        let sent = run_simulation(HIGH_TRAFFIC, 0, coordinators, move |number| {
            if is_late(number) {
                3.0
            } else {
                0.1
            }
        });
        assert!(
            sent.worst_window_ratio(&settings(coordinators)) <= 1.0,
            "{coordinators} coordinators exceed the limit"
        );
        let late_sends_between = |from: f64, to: f64| {
            sent.sends
                .iter()
                .filter(|&&(age, number)| is_late(number) && age > from && age <= to)
                .count() as f64
        };
        assert_eq!(
            late_sends_between(0.0, 2.9),
            0.0,
            "parts sent before the list with the start arrived"
        );
        let (first, second) = (
            late_sends_between(2.99, 3.49),
            late_sends_between(3.49, 3.99),
        );
        let burst = 3.0 * second.max(f64::from(coordinators) / 4.0).sqrt() + 3.0;
        assert!(
            first <= second + burst,
            "{coordinators} coordinators: {first} parts in the first half second, {second} in the next"
        );
    }
}

/// Guards against each coordinator starting with a credit of one part or accumulating one. If a server in
/// slow start may get only a few parts in an overload window, the credits of many coordinators together would
/// exceed its limit.
#[test]
fn a_small_slow_start_limit_holds_for_any_number_of_coordinators() {
    for coordinators in [3, 30, 300] {
        let worst: Vec<f64> = (1..=12)
            .map(|seed| {
                run_simulation(LOW_TRAFFIC, seed, coordinators, |_| 0.1)
                    .worst_window_ratio(&settings(coordinators))
            })
            .collect();
        let mean = worst.iter().sum::<f64>() / worst.len() as f64;
        let variance = worst
            .iter()
            .map(|worst| (worst - mean).powi(2))
            .sum::<f64>()
            / worst.len() as f64;
        println!(
            "{coordinators} coordinators: worst window {mean:.2} of the limit, standard deviation {:.2}: {worst:.2?}",
            variance.sqrt()
        );
        assert!(
            worst.iter().all(|&worst| worst <= 1.0),
            "{coordinators} coordinators exceed the limit: {worst:.2?}"
        );
    }
}
