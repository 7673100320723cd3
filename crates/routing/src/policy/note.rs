//! What is noted of queries, parts and outcomes.

use super::*;

/// A reset within this share of the usual answer time may be of an idle connection gone stale. The part goes
/// back there: on a fresh connection, or to a server that its own query felled.
const AT_ONCE: f64 = 0.1;
/// Answers for an aim leave this share of it before: the way to the client and a busy processor take time.
const AIM_MARGIN: f64 = 0.03;

impl RequestRouter {
    pub(super) fn note_query(&mut self, now: Time, event: &Event) {
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
        let margin = self.settings.tick * END_TICKS;
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
            aim_at: end_at.min(asked_at + (aim - margin.max(aim * AIM_MARGIN))),
            end_at,
            generation: self.generation,
            repeat,
            kind: (class, 0),
            ..Query::default()
        };
        self.timers.insert(query.aim_at, Due::Aim(id));
        self.timers.insert(query.end_at, Due::End(id));
        self.numbers.insert(number, id);
        self.queries.insert(id, query);
    }

    pub(super) fn note_part(&mut self, now: Time, event: &Event) -> Option<RequestId> {
        let &Event::Part {
            id,
            number,
            shard,
            weight,
        } = event
        else {
            return None;
        };
        let query_id = *self.numbers.get(&number)?;
        let query = self.queries.get_mut(&query_id)?;
        if self.parts.contains_key(&id) {
            return None;
        }
        query.parts.push(id);
        query.kind.1 = query
            .kind
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
        self.asked.push(now, self.recent * CALM_LATELY);
        self.retry_budget
            .on_arrival(now, self.settings.retry_budget);
        Some(query_id)
    }

    /// Books an outcome with its server and its part; the query, if that still runs.
    pub(super) fn note_outcome(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
    ) -> Option<RequestId> {
        let flight = self.land(id, attempt)?;
        let visits = |part: &Part| {
            part.tried
                .iter()
                .filter(|&&server| server == flight.server)
                .count()
        };
        let went_back = self.parts.get(&id).is_some_and(|part| visits(part) > 1);
        let at_once = now - flight.sent < self.usual[flight.class] * AT_ONCE;
        let stale = outcome == Outcome::Reset && at_once && !went_back;
        if !stale {
            self.judge(now, &flight, outcome);
        }
        if matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
        ) {
            self.note_heard(now, flight.server);
        }
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get_mut(&part.query)?;
        part.out.retain(|&number| number != attempt);
        if outcome == Outcome::Ok {
            (part.answered, query.answers) = (true, query.answers + 1);
        }
        part.may_have_run |= !outcome.never_ran();
        part.back = stale.then_some(flight.server);
        if !stale && (outcome == Outcome::Reset || went_back && outcome == Outcome::ConnectFailed) {
            query.resets += 1;
            if query.suspect() {
                self.suspects.insert(query.kind, now);
            }
        }
        Some(part.query)
    }

    pub(super) fn land(&mut self, id: RequestId, attempt: u8) -> Option<Flight> {
        let flight = self.flights.remove(&(id, attempt))?;
        if let Some(server) = self.servers.get_mut(&flight.server) {
            server.out.remove(&(flight.overdue, id, attempt));
        }
        Some(flight)
    }
}
