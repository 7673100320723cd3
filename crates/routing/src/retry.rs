//! Retries of failed attempts, and the rules that allow further attempts.

use crate::part::Part;
use crate::router::RequestRouter;
use cairnroad_types::{Action, Class, Idempotency, RequestId, Seconds, Time};

impl RequestRouter {
    /// Retries a part immediately after an attempt failed, on another server if there is one. Ends the query
    /// if the failure determines its result.
    pub(crate) fn retry(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id).filter(|part| part.is_idle()) else {
            return;
        };
        let query = part.query;
        if !self.awaits_client(id) && self.may_retry(now, id) {
            if let Some(selected) = self.select_replica(now, id) {
                self.send(now, id, selected.server, actions);
            }
        }
        self.complete_if_ready(now, query, actions);
    }

    /// Returns whether the rules allow this part a further attempt: a retry or a hedged request.
    pub(crate) fn may_retry(&self, now: Time, id: RequestId) -> bool {
        let Some(part) = self.parts.get(&id) else {
            return false;
        };
        let Some(query) = self.queries.get(&part.query) else {
            return false;
        };
        let margin = self.deadline_margin();
        let max_attempts = self.settings.max_attempts.min(u32::from(u8::MAX));
        let is_open = !query.is_suspect()
            && !part.is_answered
            && now < query.finish_at
            && (part.tried_servers.len() as u64) < u64::from(max_attempts);
        is_open
            && idempotency_allows_retry(now, part, &self.settings.classes[query.class], margin)
            && self
                .retry_budget
                .remaining(now, self.settings.retry_budget, margin)
                >= 1.0
    }
}

/// Returns whether the class's idempotency makes a further attempt safe.
///
/// `margin`, in seconds, is subtracted from the window in which servers recognize an idempotency key.
fn idempotency_allows_retry(now: Time, part: &Part, class: &Class, margin: Seconds) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey => {
            let is_within_window = |at: Time| now - at < class.dedup_window - margin;
            !part.is_possibly_executed() || part.first_sent.is_some_and(is_within_window)
        }
        Idempotency::AtMostOnce => !part.is_possibly_executed(),
    }
}
