//! Whether a part is sent again: the one copy, and what follows a failure.

use super::*;

/// Copies stay under this share of the parts lately sent by this node. The design's tenth.
const HEDGE_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Whether the rules allow this part a further attempt.
    pub(super) fn may_repeat(&mut self, now: Time, id: RequestId) -> bool {
        let Some(part) = self.parts.get(&id) else {
            return false;
        };
        let Some(query) = self.queries.get(&part.query) else {
            return false;
        };
        let class = &self.settings.classes[query.class];
        let margin = self.settings.tick * END_TICKS;
        let ran = part.may_have_run || !part.out.is_empty();
        let allowed = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                !ran || part
                    .first_sent
                    .is_some_and(|at| now - at < class.dedup_window - margin)
            }
            Idempotency::AtMostOnce => !ran,
        };
        let open = !query.suspect()
            && !part.answered
            && now < query.end_at
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
    pub(super) fn hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let query = self
            .parts
            .get(&id)
            .and_then(|part| self.queries.get(&part.query));
        let calm = query.is_some_and(|query| 2 * query.answers as usize > query.parts.len());
        let span = self.recent * if calm { CALM_LATELY } else { 1.0 };
        let room =
            self.copies.count(now, span) + 1.0 <= HEDGE_SHARE * self.parts_sent.count(now, span);
        if !room
            || self.parts.get(&id).is_none_or(|part| part.out.len() != 1)
            || !self.may_repeat(now, id)
        {
            return;
        }
        if let Some((0, server)) = self.choose(now, id) {
            self.copies.push(now, self.recent * CALM_LATELY);
            self.send(now, id, server, actions);
        }
    }

    /// A failed attempt is followed by another at once, elsewhere if there is an elsewhere.
    pub(super) fn retry(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let lost = |part: &&Part| part.out.is_empty() && !part.answered;
        let Some(query) = self.parts.get(&id).filter(lost).map(|part| part.query) else {
            return;
        };
        if self.may_repeat(now, id) {
            if let Some((_, server)) = self.choose(now, id) {
                self.send(now, id, server, actions);
            }
        }
        self.settle(now, query, actions);
    }
}
