//! Hedged requests: a second attempt for a part that is unanswered after a fixed delay.

use crate::attempt::AttemptId;
use crate::replica_selection::Rank;
use crate::router::RequestRouter;
use cairnroad_types::{Action, RequestId, Time};

/// Hedged requests stay under this share of the parts recently sent: the design's tenth.
const HEDGE_BUDGET_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Sends a part's one hedged request, if the budget has room, the part has exactly one attempt in flight
    /// and a replica in rotation is left.
    ///
    /// With no such replica there is none, as it would only add load in a general slowdown.
    pub(crate) fn hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else {
            return;
        };
        if part.in_flight.len() != 1
            || !self.hedge_budget_has_room(now, part.query)
            || !self.may_retry(now, id)
        {
            return;
        }
        let Some(selected) = self.select_replica(now, id) else {
            return;
        };
        if selected.rank == Rank::InRotation {
            self.hedges.push(now, self.long_recent_span());
            self.send(now, id, selected.server, actions);
        }
    }

    /// Whether the budget allows a hedged request for a part of this query.
    ///
    /// The budget is counted over the long span where most of the query is answered: the fleet isn't slow as a
    /// whole then, and a coordinator with little traffic sends too few parts in the short one.
    fn hedge_budget_has_room(&self, now: Time, query: RequestId) -> bool {
        let mostly_answered = self
            .queries
            .get(&query)
            .is_some_and(|query| 2 * query.answers as usize > query.parts.len());
        let span = if mostly_answered {
            self.long_recent_span()
        } else {
            self.recent_span
        };
        self.hedges.count(now, span) + 1.0 <= HEDGE_BUDGET_SHARE * self.part_sends.count(now, span)
    }

    /// Cancels the attempts still in flight of a part that was answered.
    pub(crate) fn cancel_hedge_pair(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        for number in std::mem::take(&mut part.in_flight) {
            self.cancel(now, AttemptId { part: id, number }, actions);
        }
    }
}
