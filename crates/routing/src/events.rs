//! What is noted of queries, parts and outcomes.

use crate::router::*;

/// A reset within this share of the usual answer time may be of an idle connection gone stale. The part goes
/// back there: on a fresh connection, or to a server that its own query felled.
const STALE_CONNECTION_SHARE: f64 = 0.1;
/// Answers for an aim leave this share of it before: the way to the client and a busy processor take time.
const OBJECTIVE_MARGIN: f64 = 0.03;

impl RequestRouter {
    pub(crate) fn on_query(&mut self, now: Time, event: &Event) {
        let &Event::Query {
            id,
            class,
            number,
            due,
            work,
            client_retry: repeat,
        } = event
        else {
            return;
        };
        self.retry_budget
            .on_arrival(now, self.settings.retry_budget);
        let class = usize::from(class.0);
        let margin = self.settings.tick * DEADLINE_MARGIN_TICKS;
        // A query of an unknown class is one that earns nothing: it ends at once, in `open_step`.
        let terms = self
            .settings
            .classes
            .get(class)
            .map(|class| (class.latency_objective_for(work), class.deadline));
        let (aim, deadline) = terms.unwrap_or_default();
        let end_at = due.min(now + deadline) + -margin;
        // What a marked repeat has left of the deadline tells when its client came first. Of a try that isn't
        // marked, time left says nothing: impatient clients come with little.
        let asked_at = if repeat {
            now.min(due + -deadline)
        } else {
            now
        };
        let query = Query {
            class,
            number,
            asked_at,
            objective_at: end_at.min(asked_at + (aim - margin.max(aim * OBJECTIVE_MARGIN))),
            finish_at: end_at,
            generation: self.generation,
            repeat,
            fingerprint: (class, 0),
            ..Query::default()
        };
        self.timers.insert(query.objective_at, Timer::Objective(id));
        self.timers.insert(query.finish_at, Timer::Deadline(id));
        self.queries_by_number.insert(number, id);
        self.queries.insert(id, query);
    }

    pub(crate) fn on_part(&mut self, now: Time, event: &Event) -> Option<RequestId> {
        let &Event::Part {
            id,
            number,
            shard,
            weight,
        } = event
        else {
            return None;
        };
        let query_id = *self.queries_by_number.get(&number)?;
        let query = self.queries.get_mut(&query_id)?;
        if self.parts.contains_key(&id) {
            return None;
        }
        query.parts.push(id);
        query.fingerprint.1 = query
            .fingerprint
            .1
            .wrapping_add(u64::from(shard).wrapping_mul(u64::from(shard)) + 1);
        let weight = if weight.is_finite() {
            weight.max(0.0)
        } else {
            0.0
        };
        let part = Part {
            query: query_id,
            class: query.class,
            shard,
            weight,
            ..Part::default()
        };
        self.parts.insert(id, part);
        self.part_arrivals
            .push(now, self.recent_span * SPARSE_TRAFFIC_FACTOR);
        self.retry_budget
            .on_arrival(now, self.settings.retry_budget);
        Some(query_id)
    }

    /// Books an outcome with its server and its part; the query, if that still runs.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
    ) -> Option<RequestId> {
        let sent_attempt = self.finish_attempt(id, attempt)?;
        let visits = |part: &Part| {
            part.tried
                .iter()
                .filter(|&&server| server == sent_attempt.server)
                .count()
        };
        let went_back = self.parts.get(&id).is_some_and(|part| visits(part) > 1);
        let at_once = now - sent_attempt.sent_at
            < self.typical_latency[sent_attempt.class] * STALE_CONNECTION_SHARE;
        let stale = outcome == Outcome::Reset && at_once && !went_back;
        if !stale {
            self.record_outcome(now, &sent_attempt, outcome);
        }
        if matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
        ) {
            self.on_server_heard(now, sent_attempt.server);
        }
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get_mut(&part.query)?;
        part.in_flight.retain(|&number| number != attempt);
        if outcome == Outcome::Ok {
            (part.answered, query.answers) = (true, query.answers + 1);
        }
        part.may_have_run |= !outcome.never_ran();
        part.retry_on = stale.then_some(sent_attempt.server);
        if !stale && (outcome == Outcome::Reset || went_back && outcome == Outcome::ConnectFailed) {
            query.resets += 1;
            if query.is_suspect() {
                self.suspect_queries.insert(query.fingerprint, now);
            }
        }
        Some(part.query)
    }

    pub(crate) fn finish_attempt(&mut self, id: RequestId, attempt: u8) -> Option<Attempt> {
        let sent_attempt = self.attempts.remove(&(id, attempt))?;
        if let Some(server) = self.servers.get_mut(&sent_attempt.server) {
            server
                .in_flight
                .remove(&(sent_attempt.overdue_at, id, attempt));
        }
        Some(sent_attempt)
    }
}
