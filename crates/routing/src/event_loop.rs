//! Handling of all events of a tick in one call, in a fixed order of steps.

use crate::router::RequestRouter;
use crate::timer::Timer;
use crate::tuning::HEDGE_DELAY_SHARE;
use cairnroad_types::{Action, Event, Outcome, RequestId, Time};
use std::collections::BTreeSet;

/// A hedge timer that runs this many ticks late indicates a stall of this process rather than a slow server.
const STALL_TICKS: f64 = 10.0;

/// Decisions that wait until all events of a call are applied.
#[derive(Default)]
struct FollowUps {
    /// Queries that arrived or to which parts were added.
    started_queries: BTreeSet<RequestId>,
    /// Queries of which an attempt ended.
    changed_queries: BTreeSet<RequestId>,
    answered_parts: Vec<RequestId>,
    failed_parts: Vec<RequestId>,
}

impl RequestRouter {
    /// Handles all events of one tick and appends the resulting actions to `actions`.
    ///
    /// All outcomes are applied before any timer runs, so that after a stall the process doesn't hedge parts
    /// whose answers arrived in the meantime.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.on_first_call(now);
        let mut follow_ups = FollowUps::default();
        for event in events {
            self.apply_event(now, event, &mut follow_ups, actions);
        }
        self.remove_unlisted_servers();
        for part in follow_ups.answered_parts {
            self.cancel_remaining_attempts(now, part, actions);
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

    /// Schedules the first poll for the endpoint list. Does nothing after the first call.
    fn on_first_call(&mut self, now: Time) {
        if self.started_at.is_some() {
            return;
        }
        self.started_at = Some(now);
        if self.settings.max_poll_interval.is_some() {
            self.timers.insert(now, Timer::PollEndpoints);
        }
    }

    /// Applies one event to the router's state.
    fn apply_event(
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
            Event::ClientUnconfirmed(id) => self.on_client_unconfirmed(*id),
            Event::ClientConfirmed(id) => {
                let parts = self.on_client_confirmed(now, *id);
                follow_ups.failed_parts.extend(parts);
            }
            Event::TimerFired => {}
        }
    }

    fn run_expired_timers(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((expired_at, timer)) = self.timers.pop_expired(now) {
            match timer {
                Timer::Hedge(_) if self.was_stalled(now, expired_at) => {
                    self.reschedule_after_stall(now, timer)
                }
                Timer::Hedge(part) => self.hedge(now, part, actions),
                Timer::Objective(query) => self.on_objective_passed(now, query, actions),
                Timer::Deadline(query) => self.reject_or_fail(now, query, actions),
                Timer::PollEndpoints => self.poll_endpoints(now, actions),
                Timer::HealthCheck => self.check_health(now, actions),
            }
        }
    }

    /// Returns whether this process was stalled, judging by the delay of a timer that expired at `expired_at`.
    fn was_stalled(&self, now: Time, expired_at: Time) -> bool {
        now - expired_at > self.settings.tick * STALL_TICKS
    }

    /// Sets a timer again, at a random moment within the hedge delay.
    ///
    /// After a stall, all hedge timers have expired together, and answers may not have been read yet.
    fn reschedule_after_stall(&mut self, now: Time, timer: Timer) {
        let delay = self.shortest_objective * HEDGE_DELAY_SHARE * self.random.next_f64();
        self.timers
            .insert(now + delay.max(self.settings.tick), timer);
    }
}
