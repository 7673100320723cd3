//! Attempts that end: what the outcome means for the part, its query and its server.

use crate::attempt::{Attempt, AttemptId};
use crate::router::RequestRouter;
use cairnroad_types::{Outcome, RequestId, Time};

/// A reset within this share of the typical latency may be of an idle connection gone stale. The part goes
/// back to the same server: on a fresh connection, or to a server that its own query crashed.
const STALE_CONNECTION_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Applies an outcome to its server and its part and returns the query, if that is still open.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        number: u8,
        outcome: Outcome,
    ) -> Option<RequestId> {
        let attempt = self.finish_attempt(AttemptId { part: id, number })?;
        let went_back = self
            .parts
            .get(&id)
            .is_some_and(|part| part.attempts_on(attempt.server) > 1);
        let stale_connection =
            outcome == Outcome::Reset && self.ended_at_once(now, &attempt) && !went_back;
        if !stale_connection {
            self.record_outcome(now, &attempt, outcome);
        }
        if is_sign_of_life(outcome) {
            self.on_server_heard(now, attempt.server);
        }
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get_mut(&part.query)?;
        part.in_flight.retain(|&in_flight| in_flight != number);
        if outcome == Outcome::Ok {
            part.answered = true;
            query.answers += 1;
        }
        part.may_have_run |= !outcome.never_ran();
        part.retry_on = stale_connection.then_some(attempt.server);
        let reset = outcome == Outcome::Reset;
        let down_on_return = went_back && outcome == Outcome::ConnectFailed;
        if !stale_connection && (reset || down_on_return) {
            query.resets += 1;
            if query.is_suspect() {
                self.suspect_queries.insert(query.fingerprint, now);
            }
        }
        Some(part.query)
    }

    /// Whether the attempt ended too soon to have been worked on.
    fn ended_at_once(&self, now: Time, attempt: &Attempt) -> bool {
        let typical = self.class_latency[attempt.class].typical;
        now - attempt.sent_at < typical * STALE_CONNECTION_SHARE
    }

    /// Takes an attempt out of flight; `None` if it isn't in flight.
    pub(crate) fn finish_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.in_flight.remove(&attempt.as_in_flight(id));
        }
        Some(attempt)
    }
}

/// Whether the server itself said something.
fn is_sign_of_life(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
    )
}
