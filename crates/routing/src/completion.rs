//! Completion of queries. Each query ends exactly once: with a complete or partial answer, a rejection or a
//! failure.

use crate::attempt::AttemptId;
use crate::part::Part;
use crate::query::Query;
use crate::router::RequestRouter;
use crate::timer::Timer;
use crate::tuning::WEIGHT_TOLERANCE;
use cairnroad_types::{Action, Idempotency, Outcome, RequestId, Seconds, Time};

/// The retry-after advice of a query rejected before its latency objective, as a share of the time left until
/// then.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// Progress of a query's current step, as shares of the total weight of its parts, from 0 to 1.
struct CompletionShares {
    /// Share of the parts that are answered.
    answered: f64,
    /// Share of the parts that are answered or may still be answered.
    reachable: f64,
}

impl RequestRouter {
    /// Adds up the weights of a query's parts. Both shares are 0 if the query isn't open.
    fn completion_shares(&self, now: Time, id: RequestId) -> CompletionShares {
        let Some(query) = self.queries.get(&id) else {
            return CompletionShares {
                answered: 0.0,
                reachable: 0.0,
            };
        };
        let mut answered = 0.0;
        let mut reachable = 0.0;
        let mut total_weight = f64::MIN_POSITIVE;
        for &id in &query.parts {
            let Some(part) = self.parts.get(&id) else {
                continue;
            };
            if part.is_answered {
                answered += part.weight;
            }
            if self.may_be_answered(now, id, part) {
                reachable += part.weight;
            }
            total_weight += part.weight;
        }
        CompletionShares {
            answered: answered / total_weight + WEIGHT_TOLERANCE,
            reachable: reachable / total_weight + WEIGHT_TOLERANCE,
        }
    }

    fn may_be_answered(&self, now: Time, id: RequestId, part: &Part) -> bool {
        part.is_answered
            || !part.in_flight.is_empty()
            || (part.first_sent.is_some() && self.may_retry(now, id))
    }

    /// Ends a query's step as soon as its parts determine the result: a complete answer, no answer, or a
    /// partial answer that no pending part can improve.
    pub(crate) fn complete_if_ready(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let shares = self.completion_shares(now, id);
        let thresholds =
            self.settings.classes[query.class].completion_thresholds(query.is_second_step);
        let no_parts_pending = shares.reachable - shares.answered < WEIGHT_TOLERANCE;
        if shares.answered >= thresholds.complete {
            let is_complete = query.is_first_step_complete || !query.is_second_step;
            self.answer_query(now, id, is_complete, actions);
        } else if shares.reachable < thresholds.minimum {
            self.reject_or_fail(now, id, actions);
        } else if shares.reachable < thresholds.complete
            && shares.answered >= thresholds.minimum
            && no_parts_pending
        {
            self.answer_query(now, id, false, actions);
        }
    }

    /// Ends a query whose latency objective has passed, unless a later answer would be worth more.
    ///
    /// The query gets a partial answer if that is worth at least as much as a late one. Without one, it is
    /// rejected or fails if late answers are worth nothing.
    pub(crate) fn on_objective_passed(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let Some(class) = self.settings.classes.get(query.class) else {
            return;
        };
        let answered = self.completion_shares(now, id).answered;
        let minimum = class.completion_thresholds(query.is_second_step).minimum;
        let partial_value = class.partial_answer_share * answered.min(class.complete_threshold)
            / class.complete_threshold;
        if answered >= minimum && partial_value >= class.late_answer_share {
            self.answer_query(now, id, false, actions);
        } else if class.late_answer_share <= 0.0 {
            self.reject_or_fail(now, id, actions);
        }
    }

    /// Answers a query's current step. Ends the query unless a second step follows.
    fn answer_query(
        &mut self,
        now: Time,
        id: RequestId,
        is_complete: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[query.class];
        let has_second_step = !query.is_second_step && class.second_step_parts > 0;
        actions.push(Action::Answer {
            query: id,
            is_complete,
        });
        if has_second_step {
            query.is_second_step = true;
            query.is_first_step_complete = is_complete;
            let parts = std::mem::take(&mut query.parts);
            self.remove_parts(now, parts, actions);
        } else {
            self.remove_query(now, id, actions);
        }
    }

    /// Ends a query that can't be answered in time: with a rejection if a retry by the client is safe, with a
    /// failure otherwise.
    pub(crate) fn reject_or_fail(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let idempotency = self
            .settings
            .classes
            .get(query.class)
            .map_or(Idempotency::AtMostOnce, |class| class.idempotency);
        let is_retry_safe =
            idempotency == Idempotency::Idempotent || !self.may_have_had_effect(query);
        actions.push(if is_retry_safe {
            Action::Reject {
                query: id,
                retry_after: self.retry_after(now, query),
            }
        } else {
            Action::Fail { query: id }
        });
        self.remove_query(now, id, actions);
    }

    /// Returns whether any server may have run, or may be running, a part of the query.
    fn may_have_had_effect(&self, query: &Query) -> bool {
        let may_have_run = |part: &Part| part.is_possibly_executed() || part.is_answered;
        query.is_second_step
            || query
                .parts
                .iter()
                .any(|part| self.parts.get(part).is_some_and(may_have_run))
    }

    /// Returns the seconds that the client should wait before it retries.
    ///
    /// Before the latency objective, the retry should still meet it. After the objective, the advice is the
    /// longest that clients follow.
    fn retry_after(&self, now: Time, query: &Query) -> Option<Seconds> {
        let time_left = query.objective_at - now;
        let limit = if time_left > 0.0 {
            time_left * RETRY_AFTER_SHARE
        } else {
            f64::MAX
        };
        self.settings
            .max_retry_after
            .map(|longest| longest.min(limit))
    }

    /// Removes a query with its timers and parts, and cancels its attempts in flight.
    pub(crate) fn remove_query(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else {
            return;
        };
        if self.queries_by_number.get(&query.number) == Some(&id) {
            self.queries_by_number.remove(&query.number);
        }
        self.timers.remove(query.objective_at, Timer::Objective(id));
        self.timers.remove(query.finish_at, Timer::Deadline(id));
        self.remove_parts(now, query.parts, actions);
    }

    /// Removes parts and cancels their attempts in flight.
    fn remove_parts(&mut self, now: Time, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in parts {
            let Some(part) = self.parts.remove(&id) else {
                continue;
            };
            for number in part.in_flight {
                self.cancel(now, AttemptId { part: id, number }, actions);
            }
        }
    }

    /// Cancels an attempt in flight. If the deployment doesn't allow cancellation, the attempt stays in
    /// flight until it ends.
    pub(crate) fn cancel(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        if !self.settings.cancellation_enabled {
            return;
        }
        let Some(attempt) = self.finish_attempt(id) else {
            return;
        };
        self.record_outcome(now, &attempt, Outcome::Cancelled);
        actions.push(Action::Cancel {
            part: id.part,
            attempt: id.number,
        });
    }
}
