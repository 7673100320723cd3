//! Test harness: builds settings and events, and drives one router with a manual clock.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use cairnroad_routing::RequestRouter;
use cairnroad_types::*;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 1.0,
        objective_per_work: 0.0,
        deadline: 3.0,
        priority_weight: 1.0,
        late_answer_share: 0.0,
        idempotency,
        dedup_window: 1.0,
        complete_threshold: 1.0,
        minimum_share: 1.0,
        partial_answer_share: 0.0,
        second_step_parts: 0,
    }
}

/// Settings of a deployment with three cells that all hold every shard.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        classes,
        coordinator_count: 1,
        cells: 3,
        cells_per_shard: 3,
        max_parts_per_call: 1,
        tick: 0.005,
        max_attempts: 3,
        in_flight_report_index: None,
        cancellation_enabled: true,
        hedging_enabled: true,
        max_retry_after: Some(0.5),
        max_poll_interval: None,
        drain_grace: 0.25,
        slow_start_share: 0.2,
        slow_start_duration: 10.0,
        overload_multiple: 2.0,
        overload_window: 2.0,
        retry_budget: None,
    }
}

/// Settings with one class, which is idempotent.
pub fn idempotent_settings() -> Settings {
    settings(vec![class(Idempotency::Idempotent)])
}

pub fn endpoint(id: u32, state: ServerState, ready_at: Option<Time>) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        cell: id % 3,
        zone: 0,
        state,
        relative_capacity: 1.0,
        weight: 1.0,
        generation: 0,
        ready_at,
    }
}

pub fn attempt_ended(part: u64, attempt: u8, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        part: RequestId(part),
        attempt,
        outcome,
    }
}

/// A router under test, and the clock that it is called with.
pub struct Harness {
    pub router: RequestRouter,
    pub now: Time,
    next_query_number: u64,
}

impl Harness {
    /// Creates a router with three warm servers, 0 to 2.
    pub fn new(settings: Settings) -> Harness {
        Harness::seeded(settings, 1)
    }

    /// Creates the same with the given seed.
    pub fn seeded(settings: Settings, seed: u64) -> Harness {
        let mut harness = Harness {
            router: RequestRouter::new(settings, seed),
            now: Time::from_secs(50.0),
            next_query_number: 1,
        };
        let endpoints = (0..3)
            .map(|id| endpoint(id, ServerState::Ready, None))
            .collect();
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(endpoints))]);
        harness
    }

    pub fn handle(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, events, &mut actions);
        actions
    }

    pub fn handle_after(&mut self, secs: f64, events: &[Event]) -> Vec<Action> {
        self.now = self.now + secs;
        self.handle(events)
    }

    /// Returns the events of a new query with one part of equal weight per shard, and the ids of the query
    /// and its parts.
    pub fn query(&mut self, class: u16, shards: &[u32]) -> (Vec<Event>, u64, Vec<u64>) {
        self.weighted_query(class, shards, 1.0 / shards.len() as f64)
    }

    /// Returns the same, with the given weight for each part.
    pub fn weighted_query(
        &mut self,
        class: u16,
        shards: &[u32],
        weight: f64,
    ) -> (Vec<Event>, u64, Vec<u64>) {
        let number = self.next_query_number;
        let id = number * 1000;
        self.next_query_number += 1;
        let deadline = self.now + 3.0;
        let mut events = vec![Event::Query {
            id: RequestId(id),
            class: ClassId(class),
            number,
            deadline,
            expected_work: None,
            is_client_retry: false,
        }];
        let mut parts = Vec::new();
        for (index, &shard) in shards.iter().enumerate() {
            let part = id + 1 + index as u64;
            parts.push(part);
            events.push(Event::Part {
                id: RequestId(part),
                query_number: number,
                shard,
                weight,
            });
        }
        (events, id, parts)
    }

    /// Answers `count` queries of one part, each after 50 ms, so that the router has recent observations.
    pub fn serve_quick(&mut self, count: usize) {
        self.serve(count, 0.05);
    }

    /// Answers `count` queries of one part, each after `latency` seconds.
    pub fn serve(&mut self, count: usize, latency: f64) {
        for _ in 0..count {
            let (events, _, parts) = self.query(0, &[0]);
            self.handle(&events);
            self.handle_after(latency, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
        }
    }
}

/// Returns the part and the server of each send among the actions.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { part, server, .. } => Some((part.0, server.0)),
        _ => None,
    });
    sends.collect()
}

/// Returns whether the actions contain a final answer to the query.
pub fn is_finished(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|action| match action {
        Action::Answer { query, .. } | Action::Reject { query, .. } | Action::Fail { query } => {
            query.0 == id
        }
        _ => false,
    })
}
