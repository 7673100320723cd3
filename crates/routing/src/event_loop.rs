//! One call with all events of a tick, in a fixed order of steps.

use crate::router::RequestRouter;
use crate::timer::Timer;
use crate::tuning::HEDGE_DELAY_SHARE;
use cairnroad_types::{Action, Event, Outcome, RequestId, Time};
use std::collections::BTreeSet;

/// A hedge timer that runs this many ticks late tells of a stall of this process, not of a slow server.
const STALL_TICKS: f64 = 10.0;

/// What the events of one call leave to decide once all of them are applied.
#[derive(Default)]
struct FollowUps {
    /// Queries that arrived or got parts.
    started_queries: BTreeSet<RequestId>,
    /// Queries with an attempt that ended.
    changed_queries: BTreeSet<RequestId>,
    answered_parts: Vec<RequestId>,
    failed_parts: Vec<RequestId>,
}

impl RequestRouter {
    /// Handles all events of one tick and appends the resulting actions.
    ///
    /// All outcomes are applied before any timer runs: a process back from a stall must not hedge parts whose
    /// answers arrived meanwhile.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.start(now);
        let mut follow_ups = FollowUps::default();
        for event in events {
            self.apply(now, event, &mut follow_ups, actions);
        }
        self.remove_unlisted_servers();
        for part in follow_ups.answered_parts {
            self.cancel_hedge_pair(now, part, actions);
        }
        for query in follow_ups.changed_queries {
            self.complete_if_ready(now, query, actions);
        }
        for query in follow_ups.started_queries {
            self.start_step(now, query, actions);
        }
        for part in follow_ups.failed_parts {
            self.retry(now, part, actions);
        }
        self.run_expired_timers(now, actions);
        actions.extend(self.timers.next_wake(now).map(Action::SetTimer));
    }

    /// Sets the first poll for the endpoint list, on the first call.
    fn start(&mut self, now: Time) {
        if self.started_at.is_some() {
            return;
        }
        self.started_at = Some(now);
        if self.settings.max_poll_interval.is_some() {
            self.timers.insert(now, Timer::PollEndpoints);
        }
    }

    /// Applies one event to the state.
    fn apply(
        &mut self,
        now: Time,
        event: &Event,
        follow_ups: &mut FollowUps,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Endpoints(update) => self.on_endpoints(now, update),
            &Event::Query { id, .. } => {
                self.on_query(now, event);
                follow_ups.started_queries.insert(id);
            }
            Event::Part { .. } => follow_ups.started_queries.extend(self.on_part(now, event)),
            &Event::AttemptEnded {
                part,
                attempt,
                outcome,
            } => {
                let Some(query) = self.on_attempt_ended(now, part, attempt, outcome) else {
                    return;
                };
                follow_ups.changed_queries.insert(query);
                match outcome {
                    Outcome::Ok => follow_ups.answered_parts.push(part),
                    _ => follow_ups.failed_parts.push(part),
                }
            }
            Event::HealthCheckEnded {
                server,
                outcome,
                report,
            } => self.on_health_check_ended(*server, *outcome, report),
            Event::OutlierAdvice(servers) => self.on_outlier_advice(now, servers),
            Event::ClientGone(id) => self.remove_query(now, *id, actions),
            Event::TimerFired => {}
        }
    }

    fn run_expired_timers(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((at, timer)) = self.timers.pop_expired(now) {
            match timer {
                Timer::Hedge(_) if self.is_stalled(now, at) => self.spread_after_stall(now, timer),
                Timer::Hedge(part) => self.hedge(now, part, actions),
                Timer::Objective(query) => self.on_objective_passed(now, query, actions),
                Timer::Deadline(query) => self.give_up(now, query, actions),
                Timer::PollEndpoints => self.poll_endpoints(now, actions),
                Timer::HealthCheck => self.check_health(now, actions),
            }
        }
    }

    /// Whether this process was stalled, going by how late a timer set for `at` runs.
    fn is_stalled(&self, now: Time, at: Time) -> bool {
        now - at > self.settings.tick * STALL_TICKS
    }

    /// Sets a timer anew at a random moment within the hedge delay.
    ///
    /// A process back from a stall finds all hedge timers expired at once, and answers still unread.
    fn spread_after_stall(&mut self, now: Time, timer: Timer) {
        let delay = self.shortest_objective * HEDGE_DELAY_SHARE * self.random.next_f64();
        self.timers
            .insert(now + delay.max(self.settings.tick), timer);
    }
}
