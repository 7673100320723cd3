//! How a query ends: with a complete or partial answer, rejected or failed, once.

use crate::attempt::AttemptId;
use crate::part::Part;
use crate::query::Query;
use crate::router::RequestRouter;
use crate::timer::Timer;
use crate::tuning::WEIGHT_TOLERANCE;
use cairnroad_types::{Action, Idempotency, Outcome, RequestId, Seconds, Time};

/// A query rejected before its objective may come again after this share of the time left.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// What of a query's current step is answered, as shares of the weights of its parts.
struct CompletionShares {
    /// Parts that are answered.
    answered: f64,
    /// Parts that are answered or may still be.
    reachable: f64,
}

impl RequestRouter {
    /// Adds up a query's parts; both shares are 0 if it isn't open.
    fn completion_shares(&self, now: Time, id: RequestId) -> CompletionShares {
        let Some(query) = self.queries.get(&id) else {
            return CompletionShares {
                answered: 0.0,
                reachable: 0.0,
            };
        };
        let mut answered = 0.0;
        let mut reachable = 0.0;
        let mut total = f64::MIN_POSITIVE;
        for &id in &query.parts {
            let Some(part) = self.parts.get(&id) else {
                continue;
            };
            if part.answered {
                answered += part.weight;
            }
            if self.may_be_answered(now, id, part) {
                reachable += part.weight;
            }
            total += part.weight;
        }
        CompletionShares {
            answered: answered / total + WEIGHT_TOLERANCE,
            reachable: reachable / total + WEIGHT_TOLERANCE,
        }
    }

    fn may_be_answered(&self, now: Time, id: RequestId, part: &Part) -> bool {
        part.answered
            || !part.in_flight.is_empty()
            || (part.first_sent.is_some() && self.may_retry(now, id))
    }

    /// Ends a query's step as soon as its parts decide it: complete, hopeless, or partial with nothing left to
    /// come.
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
            self.settings.classes[query.class].completion_thresholds(query.second_step);
        let nothing_pending = shares.reachable - shares.answered < WEIGHT_TOLERANCE;
        if shares.answered >= thresholds.complete {
            let complete = query.first_step_complete || !query.second_step;
            self.answer_query(now, id, complete, actions);
        } else if shares.reachable < thresholds.minimum {
            self.give_up(now, id, actions);
        } else if shares.reachable < thresholds.complete
            && shares.answered >= thresholds.minimum
            && nothing_pending
        {
            self.answer_query(now, id, false, actions);
        }
    }

    /// Ends a query whose latency objective passed, unless a later answer would be worth more: with a partial
    /// answer if that is worth as much, else not at all if late answers are worth nothing.
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
        let minimum = class.completion_thresholds(query.second_step).minimum;
        let partial_value = class.partial_answer_share * answered.min(class.complete_threshold)
            / class.complete_threshold;
        if answered >= minimum && partial_value >= class.late_answer_share {
            self.answer_query(now, id, false, actions);
        } else if class.late_answer_share <= 0.0 {
            self.give_up(now, id, actions);
        }
    }

    /// Answers a query, or its first step if a second one follows.
    fn answer_query(
        &mut self,
        now: Time,
        id: RequestId,
        complete: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[query.class];
        let step_follows = !query.second_step && class.second_step_parts > 0;
        actions.push(Action::Answer {
            query: id,
            is_complete: complete,
        });
        if step_follows {
            query.second_step = true;
            query.first_step_complete = complete;
            let parts = std::mem::take(&mut query.parts);
            self.remove_parts(now, parts, actions);
        } else {
            self.remove_query(now, id, actions);
        }
    }

    /// Gives a query that can no longer be answered in time its final answer at once: a rejection where trying
    /// again is harmless, else a failure.
    pub(crate) fn give_up(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let idempotency = self
            .settings
            .classes
            .get(query.class)
            .map_or(Idempotency::AtMostOnce, |class| class.idempotency);
        let harmless = idempotency == Idempotency::Idempotent || !self.may_have_had_effect(query);
        actions.push(if harmless {
            Action::Reject {
                query: id,
                retry_after: self.retry_after(now, query),
            }
        } else {
            Action::Fail { query: id }
        });
        self.remove_query(now, id, actions);
    }

    /// Whether any server may have run, or may be running, a part of the query.
    fn may_have_had_effect(&self, query: &Query) -> bool {
        let may_have_run = |part: &Part| part.may_run() || part.answered;
        query.second_step
            || query
                .parts
                .iter()
                .any(|part| self.parts.get(part).is_some_and(may_have_run))
    }

    /// How long the client should wait before it asks again, in seconds: within the objective while that
    /// stands, after it as long as clients heed.
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

    /// Removes a query with its timers and parts, and cancels what it has in flight.
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

    /// Removes parts and cancels what they have in flight.
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

    /// Cancels an attempt in flight, if the deployment cancels at all; else its outcome is still awaited.
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
