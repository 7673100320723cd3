//! End of attempts: the effects of an outcome on the part, its query and its server.

use crate::attempt::{Attempt, AttemptId};
use crate::router::RequestRouter;
use cairnroad_types::{Outcome, RequestId, Time};

/// A reset within this share of the typical latency may come from a stale idle connection. The part is then
/// resent to the same server: either a new connection succeeds, or the query crashed the server, which the
/// resend shows.
const STALE_CONNECTION_LATENCY_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Applies an attempt's outcome to its server and its part. Returns the id of the query if that is still
    /// open.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        number: u8,
        outcome: Outcome,
    ) -> Option<RequestId> {
        let attempt = self.finish_attempt(AttemptId { part: id, number })?;
        let was_resent = self
            .parts
            .get(&id)
            .is_some_and(|part| part.attempts_on(attempt.server) > 1);
        let is_stale_connection =
            outcome == Outcome::Reset && self.ended_immediately(now, &attempt) && !was_resent;
        if !is_stale_connection {
            self.record_outcome(now, &attempt, outcome);
        }
        if is_server_response(outcome) {
            self.on_server_response(now, attempt.server);
        }
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get_mut(&part.query)?;
        part.in_flight.retain(|&in_flight| in_flight != number);
        if outcome == Outcome::Ok {
            part.is_answered = true;
            query.answered_attempts += 1;
        }
        part.may_have_run |= !outcome.never_ran();
        part.resend_to = is_stale_connection.then_some(attempt.server);
        let is_reset = outcome == Outcome::Reset;
        let is_server_down_on_resend = was_resent && outcome == Outcome::ConnectFailed;
        if !is_stale_connection && (is_reset || is_server_down_on_resend) {
            query.reset_attempts += 1;
            if query.is_suspect() {
                self.suspect_queries.insert(query.fingerprint, now);
            }
        }
        Some(part.query)
    }

    /// Returns whether the attempt ended too soon for the server to have worked on it.
    fn ended_immediately(&self, now: Time, attempt: &Attempt) -> bool {
        let typical = self.class_latency[attempt.class].typical;
        now - attempt.sent_at < typical * STALE_CONNECTION_LATENCY_SHARE
    }

    /// Removes an attempt from those in flight and returns it. Returns `None` if it isn't in flight.
    pub(crate) fn finish_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.in_flight.remove(&attempt.in_flight_entry(id));
        }
        Some(attempt)
    }
}

/// Returns whether the outcome shows that the server itself responded.
fn is_server_response(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
    )
}
