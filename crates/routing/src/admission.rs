//! Admission of queries: the parts of a query's step are sent at once, or the query is rejected before any
//! part is sent.

use crate::router::RequestRouter;
use crate::tuning::WEIGHT_TOLERANCE;
use cairnroad_types::{Action, RequestId, ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A call to a server that can take further parts with the same candidates.
#[derive(Clone, Copy)]
struct Call {
    server: ServerId,
    /// Number of parts that the call can still take.
    remaining_capacity: u32,
}

impl RequestRouter {
    /// Sends all parts of a query's step at once.
    ///
    /// A query that can't be served, or not in time, is rejected before any of its parts is sent.
    pub(crate) fn start_step(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.detect_zone_outages(now);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let is_known_class = self.settings.classes.get(query.class).is_some();
        let unsent: Vec<RequestId> = query
            .parts
            .iter()
            .copied()
            .filter(|part| self.parts[part].first_sent.is_none())
            .collect();
        if !is_known_class || query.parts.is_empty() || !self.admits(now, id, &unsent) {
            return self.reject_or_fail(now, id, actions);
        }
        self.send_parts(now, unsent, actions);
        self.complete_if_ready(now, id, actions);
    }

    /// Returns whether a query with these parts to send is admitted.
    ///
    /// A second step isn't shed because of load: it is rejected only if it is late, or a client retry of a
    /// suspect query.
    fn admits(&mut self, now: Time, id: RequestId, unsent: &[RequestId]) -> bool {
        let Some(query) = self.queries.get(&id) else {
            return false;
        };
        let class = query.class;
        let is_second_step = query.is_second_step;
        let is_client_retry = query.is_client_retry;
        let fingerprint = query.fingerprint;
        let class_settings = &self.settings.classes[class];
        let time_left = (query.first_asked_at + class_settings.latency_objective) - now;
        let is_too_late = time_left <= 0.0 && class_settings.late_answer_share <= 0.0;
        let recent_window = self.recent_window;
        self.suspect_queries
            .retain(|_, &mut at| now - at < recent_window);
        if is_too_late || is_client_retry && self.suspect_queries.contains_key(&fingerprint) {
            return false;
        }
        if is_second_step {
            return true;
        }
        let calls = self.count_calls(unsent);
        !self.misses_objective(now, class, calls, time_left)
            && self.enough_answers_in_time(now, class, unsent)
    }

    /// Returns how many calls the parts take if parts with the same candidates share one call.
    fn count_calls(&self, parts: &[RequestId]) -> usize {
        let cells = self.settings.cells.max(1);
        let distinct_cells: BTreeSet<u32> = parts
            .iter()
            .map(|part| self.parts[part].shard % cells)
            .collect();
        distinct_cells.len()
    }

    /// Sends parts; those with the same candidates share calls.
    ///
    /// Each call costs the server work in addition to that of its parts, and takes one turn. A trial part
    /// doesn't share its call.
    fn send_parts(&mut self, now: Time, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        let mut calls: BTreeMap<u32, Call> = BTreeMap::new();
        for part in parts {
            let shard = self.parts[&part].shard;
            let cell = shard.checked_rem(self.settings.cells).unwrap_or(0);
            let open_call = calls.get(&cell).copied();
            let Some(mut call) = self.call_for(now, part, open_call) else {
                continue;
            };
            if self.is_outlier(now, &self.servers[&call.server]) {
                call.remaining_capacity = 0;
            }
            calls.insert(cell, call);
            self.send(now, part, call.server, actions);
        }
    }

    /// Adds a part to the open call if that has capacity left, or to a new call otherwise. Returns `None` if
    /// the part may be sent to no server.
    fn call_for(&mut self, now: Time, part: RequestId, open_call: Option<Call>) -> Option<Call> {
        let reusable_call = open_call
            .filter(|call| call.remaining_capacity > 0)
            .filter(|call| self.has_slow_start_capacity(now, call.server));
        let call = match reusable_call {
            Some(call) => call,
            None => Call {
                server: self.select_replica(now, part)?.server,
                remaining_capacity: self.settings.max_parts_per_call,
            },
        };
        Some(Call {
            server: call.server,
            remaining_capacity: call.remaining_capacity.saturating_sub(1),
        })
    }

    /// Returns whether enough parts for the smallest acceptable answer would likely be answered in time.
    fn enough_answers_in_time(&mut self, now: Time, class: usize, parts: &[RequestId]) -> bool {
        let limit = self.max_expected_latency(class, parts.len());
        let minimum = self.settings.classes[class]
            .completion_thresholds(false)
            .minimum;
        let total_weight: f64 = parts.iter().map(|part| self.parts[part].weight).sum();
        let mut weight_in_time = WEIGHT_TOLERANCE * total_weight;
        for &part in parts {
            if self.answers_in_time(now, part, limit) {
                weight_in_time += self.parts[&part].weight;
            }
        }
        let is_below_minimum = weight_in_time < minimum * total_weight;
        !is_below_minimum
    }
}
