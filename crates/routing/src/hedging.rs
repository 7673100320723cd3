//! Whether a part is sent again: the one copy, and what follows a failure.

use crate::router::*;

/// Copies stay under this share of the parts lately sent by this node. The design's tenth.
const HEDGE_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Whether the rules allow this part a further attempt.
    pub(crate) fn may_retry(&mut self, now: Time, id: RequestId) -> bool {
        let Some(part) = self.parts.get(&id) else {
            return false;
        };
        let Some(query) = self.queries.get(&part.query) else {
            return false;
        };
        let class = &self.settings.classes[query.class];
        let margin = self.settings.tick * DEADLINE_MARGIN_TICKS;
        let ran = part.may_have_run || !part.in_flight.is_empty();
        let allowed = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                !ran || part
                    .first_sent
                    .is_some_and(|at| now - at < class.dedup_window - margin)
            }
            Idempotency::AtMostOnce => !ran,
        };
        let open = !query.is_suspect()
            && !part.answered
            && now < query.finish_at
            && (part.tried.len() as u64)
                < u64::from(self.settings.max_attempts.min(u32::from(u8::MAX)));
        allowed
            && open
            && self
                .retry_budget
                .remaining(now, self.settings.retry_budget, margin)
                >= 1.0
    }

    /// The design's copy: one for a part unanswered after the fixed delay, to a replica that is not overdue.
    /// Exception: with no such replica there is no copy, as in a general slowdown it would only add load.
    pub(crate) fn hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let query = self
            .parts
            .get(&id)
            .and_then(|part| self.queries.get(&part.query));
        let calm = query.is_some_and(|query| 2 * query.answers as usize > query.parts.len());
        let span = self.recent_span * if calm { SPARSE_TRAFFIC_FACTOR } else { 1.0 };
        let room =
            self.hedges.count(now, span) + 1.0 <= HEDGE_SHARE * self.part_sends.count(now, span);
        if !room
            || self
                .parts
                .get(&id)
                .is_none_or(|part| part.in_flight.len() != 1)
            || !self.may_retry(now, id)
        {
            return;
        }
        if let Some((0, server)) = self.select_replica(now, id) {
            self.hedges
                .push(now, self.recent_span * SPARSE_TRAFFIC_FACTOR);
            self.send(now, id, server, actions);
        }
    }

    /// A failed attempt is followed by another at once, elsewhere if there is an elsewhere.
    pub(crate) fn retry(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let lost = |part: &&Part| part.in_flight.is_empty() && !part.answered;
        let Some(query) = self.parts.get(&id).filter(lost).map(|part| part.query) else {
            return;
        };
        if self.may_retry(now, id) {
            if let Some((_, server)) = self.select_replica(now, id) {
                self.send(now, id, server, actions);
            }
        }
        self.complete_if_ready(now, query, actions);
    }
}
