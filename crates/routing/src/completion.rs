//! How a query ends: whole, partial, refused or failed, once.

use crate::router::*;

/// A query refused before its aim may come again after this share of what is left of it.
const RETRY_AFTER_SHARE: f64 = 0.25;

impl RequestRouter {
    /// What is in, and what is in or may still come, as shares of what the parts' weights add up to.
    pub(crate) fn completion_shares(&mut self, now: Time, id: RequestId) -> (f64, f64) {
        let Some(parts) = self.queries.get(&id).map(|q| q.parts.clone()) else {
            return (0.0, 0.0);
        };
        let (mut done, mut possible, mut all) = (0.0, 0.0, f64::MIN_POSITIVE);
        for id in parts {
            let Some(part) = self.parts.get(&id) else {
                continue;
            };
            let (answered, weight, sent) = (part.answered, part.weight, part.first_sent.is_some());
            let live = answered || !part.in_flight.is_empty() || (sent && self.may_retry(now, id));
            done += if answered { weight } else { 0.0 };
            possible += if live { weight } else { 0.0 };
            all += weight;
        }
        (done / all + WEIGHT_SLACK, possible / all + WEIGHT_SLACK)
    }

    /// Ends the step as soon as its parts decide it: whole, hopeless, or partial with nothing left to come.
    pub(crate) fn complete_if_ready(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let (done, possible) = self.completion_shares(now, id);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let thresholds =
            self.settings.classes[query.class].completion_thresholds(query.second_step);
        let whole = query.first_step_complete || !query.second_step;
        if done >= thresholds.complete {
            self.answer_query(now, id, whole, actions);
        } else if possible < thresholds.minimum {
            self.give_up(now, id, actions);
        } else if possible < thresholds.complete
            && done >= thresholds.minimum
            && possible - done < WEIGHT_SLACK
        {
            self.answer_query(now, id, false, actions);
        }
    }

    pub(crate) fn on_objective_passed(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let (done, _) = self.completion_shares(now, id);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let Some(class) = self.settings.classes.get(query.class) else {
            return;
        };
        let thresholds = class.completion_thresholds(query.second_step);
        if done >= thresholds.minimum
            && class.partial_answer_share * done.min(class.complete_threshold)
                / class.complete_threshold
                >= class.late_answer_share
        {
            self.answer_query(now, id, false, actions);
        } else if class.late_answer_share <= 0.0 {
            self.give_up(now, id, actions);
        }
    }

    pub(crate) fn answer_query(
        &mut self,
        now: Time,
        id: RequestId,
        whole: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let step_follows =
            !query.second_step && self.settings.classes[query.class].second_step_parts > 0;
        actions.push(Action::Answer {
            query: id,
            complete: whole,
        });
        if step_follows {
            query.second_step = true;
            query.first_step_complete = whole;
            let parts = std::mem::take(&mut query.parts);
            self.drop_parts(now, parts, actions);
        } else {
            self.remove(now, id, actions);
        }
    }

    /// The final answer for a query that earns nothing more, given at once: a refusal with advice where
    /// trying again is harmless, else a failure.
    pub(crate) fn give_up(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let may_run =
            |part: &Part| part.may_have_run || part.answered || !part.in_flight.is_empty();
        let ran = query.second_step
            || query
                .parts
                .iter()
                .any(|p| self.parts.get(p).is_some_and(may_run));
        let effect = self
            .settings
            .classes
            .get(query.class)
            .map_or(Idempotency::AtMostOnce, |c| c.idempotency);
        let harmless = effect == Idempotency::Idempotent || !ran;
        // While its aim stands a query may come again within it; after that, as late as clients heed.
        let left = query.objective_at - now;
        let within = if left > 0.0 {
            left * RETRY_AFTER_SHARE
        } else {
            f64::MAX
        };
        let retry_after = self
            .settings
            .max_retry_after
            .map(|longest| longest.min(within));
        actions.push(match harmless {
            true => Action::Reject {
                query: id,
                retry_after,
            },
            false => Action::Fail { query: id },
        });
        self.remove(now, id, actions);
    }

    pub(crate) fn remove(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else {
            return;
        };
        if self.queries_by_number.get(&query.number) == Some(&id) {
            self.queries_by_number.remove(&query.number);
        }
        self.timers.remove(query.objective_at, Timer::Objective(id));
        self.timers.remove(query.finish_at, Timer::Deadline(id));
        self.drop_parts(now, query.parts, actions);
    }

    /// Forgets parts and cancels what they still have out.
    pub(crate) fn drop_parts(
        &mut self,
        now: Time,
        parts: Vec<RequestId>,
        actions: &mut Vec<Action>,
    ) {
        for id in parts {
            let Some(part) = self.parts.remove(&id) else {
                continue;
            };
            for attempt in part.in_flight {
                self.cancel(now, id, attempt, actions);
            }
        }
    }

    pub(crate) fn cancel(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u8,
        actions: &mut Vec<Action>,
    ) {
        if let Some(sent_attempt) = self
            .settings
            .cancellation
            .then(|| self.finish_attempt(id, attempt))
            .flatten()
        {
            self.record_outcome(now, &sent_attempt, Outcome::Cancelled);
            actions.push(Action::Cancel { part: id, attempt });
        }
    }
}
