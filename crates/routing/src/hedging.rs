//! Hedged requests: a second attempt for a part that is unanswered after a fixed delay.

use crate::attempt::AttemptId;
use crate::replica_selection::Rank;
use crate::router::RequestRouter;
use cairnroad_types::{Action, RequestId, Time};

/// Upper limit of hedged requests, as a share of the parts recently sent. The design sets it to a tenth.
const HEDGE_BUDGET_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Sends a part's one hedged request, if the budget allows it, the part has exactly one attempt in flight
    /// and there is another replica in rotation.
    ///
    /// Without such a replica no hedged request is sent, because it would only add load during a general
    /// slowdown.
    pub(crate) fn hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if self.awaits_client(id) {
            self.defer_hedge(id);
            return;
        }
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
            self.hedge_sends.push(now, self.long_recent_window());
            self.send(now, id, selected.server, actions);
        }
    }

    /// Returns whether the budget allows a hedged request for a part of this query.
    ///
    /// The budget is counted over the long window if most of the query's parts are answered: the fleet as a
    /// whole isn't slow then, and a coordinator with little traffic sends too few parts within the short
    /// window.
    fn hedge_budget_has_room(&self, now: Time, query: RequestId) -> bool {
        let is_mostly_answered = self
            .queries
            .get(&query)
            .is_some_and(|query| 2 * query.answered_attempts as usize > query.parts.len());
        let window = if is_mostly_answered {
            self.long_recent_window()
        } else {
            self.recent_window
        };
        self.hedge_sends.count(now, window) + 1.0
            <= HEDGE_BUDGET_SHARE * self.part_sends.count(now, window)
    }

    /// Cancels the attempts of an answered part that are still in flight.
    pub(crate) fn cancel_remaining_attempts(
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
