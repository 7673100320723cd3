//! Arrival of queries and parts.

use crate::part::Part;
use crate::query::{Query, QueryFingerprint};
use crate::router::RequestRouter;
use crate::timer::Timer;
use cairnroad_types::{Event, RequestId, Seconds, Time};

/// Answers are due early by this share of the latency objective, because delivery to the client and a busy
/// processor take time.
const OBJECTIVE_MARGIN: f64 = 0.03;

impl RequestRouter {
    /// Opens a query. A query of a class that isn't configured is rejected when its step starts.
    pub(crate) fn on_query(&mut self, now: Time, event: &Event) {
        let &Event::Query {
            id,
            class,
            number,
            deadline: client_deadline,
            expected_work,
            is_client_retry,
        } = event
        else {
            return;
        };
        self.retry_budget
            .on_arrival(now, self.settings.retry_budget);
        let class = usize::from(class.0);
        let margin = self.deadline_margin();
        let (objective, class_deadline) = self
            .settings
            .classes
            .get(class)
            .map(|class| (class.latency_objective_for(expected_work), class.deadline))
            .unwrap_or_default();
        let finish_at = client_deadline.min(now + class_deadline) + -margin;
        let first_asked_at =
            estimate_first_asked_at(now, client_deadline, class_deadline, is_client_retry);
        let answer_within = objective - margin.max(objective * OBJECTIVE_MARGIN);
        let query = Query {
            class,
            number,
            first_asked_at,
            objective_at: finish_at.min(first_asked_at + answer_within),
            finish_at,
            list_generation: self.list_generation,
            is_client_retry,
            fingerprint: QueryFingerprint { class, shards: 0 },
            ..Query::default()
        };
        self.timers.insert(query.objective_at, Timer::Objective(id));
        self.timers.insert(query.finish_at, Timer::Deadline(id));
        self.queries_by_number.insert(number, id);
        self.queries.insert(id, query);
    }

    /// Adds a part to its query and returns the query's id. Returns `None` if the query isn't open or the
    /// part is already known.
    pub(crate) fn on_part(&mut self, now: Time, event: &Event) -> Option<RequestId> {
        let &Event::Part {
            id,
            query_number,
            shard,
            weight,
        } = event
        else {
            return None;
        };
        let query_id = *self.queries_by_number.get(&query_number)?;
        let query = self.queries.get_mut(&query_id)?;
        if self.parts.contains_key(&id) {
            return None;
        }
        query.parts.push(id);
        query.fingerprint.add_shard(shard);
        let part = Part {
            query: query_id,
            class: query.class,
            shard,
            weight: if weight.is_finite() {
                weight.max(0.0)
            } else {
                0.0
            },
            ..Part::default()
        };
        self.parts.insert(id, part);
        self.part_arrivals.push(now, self.long_recent_window());
        self.retry_budget
            .on_arrival(now, self.settings.retry_budget);
        Some(query_id)
    }
}

/// Estimates when the client first asked for a query.
///
/// For a marked client retry, the remaining time shows when the first query was sent. For other queries it
/// shows nothing, because some clients set short deadlines from the start.
fn estimate_first_asked_at(
    now: Time,
    client_deadline: Time,
    class_deadline: Seconds,
    is_client_retry: bool,
) -> Time {
    if is_client_retry {
        now.min(client_deadline + -class_deadline)
    } else {
        now
    }
}
