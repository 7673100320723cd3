//! Queries whose clients may have disconnected unnoticed: no attempt begins for them until their client is confirmed.

use crate::router::RequestRouter;
use crate::timer::Timer;
use cairnroad_types::{RequestId, Time};

impl RequestRouter {
    /// Suspends retries and hedged requests of a query. Attempts in flight are still awaited.
    pub(crate) fn on_client_unconfirmed(&mut self, id: RequestId) {
        if let Some(query) = self.queries.get_mut(&id) {
            query.is_client_unconfirmed = true;
        }
    }

    /// Resumes retries and hedged requests of a query: schedules its deferred hedged requests, and returns the parts
    /// whose retry was suspended.
    pub(crate) fn on_client_confirmed(&mut self, now: Time, id: RequestId) -> Vec<RequestId> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        query.is_client_unconfirmed = false;
        let mut suspended = Vec::new();
        for id in &query.parts {
            let Some(part) = self.parts.get_mut(id) else {
                continue;
            };
            if std::mem::take(&mut part.is_hedge_deferred) {
                self.timers.insert(now, Timer::Hedge(*id));
            }
            if part.first_sent.is_some() && part.is_idle() {
                suspended.push(*id);
            }
        }
        suspended
    }

    /// Returns whether no attempt at this part may begin because its client may have disconnected.
    pub(crate) fn awaits_client(&self, part: RequestId) -> bool {
        let query = self.parts.get(&part).map(|part| part.query);
        query
            .and_then(|query| self.queries.get(&query))
            .is_some_and(|query| query.is_client_unconfirmed)
    }

    /// Remembers that a part's hedged request is due once its client is confirmed.
    pub(crate) fn defer_hedge(&mut self, id: RequestId) {
        if let Some(part) = self.parts.get_mut(&id) {
            part.is_hedge_deferred = true;
        }
    }
}
