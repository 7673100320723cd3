//! The start of a step: a query is admitted and its parts are sent, or it is rejected before any is sent.

use crate::router::RequestRouter;
use crate::tuning::WEIGHT_TOLERANCE;
use cairnroad_types::{Action, RequestId, ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A call to a server to which further parts with the same candidates can be added.
#[derive(Clone, Copy)]
struct Call {
    server: ServerId,
    /// Parts that it can still take.
    free_parts: u32,
}

impl RequestRouter {
    /// Sends all parts of a query's step at once. A query that can't be served, or not in time, is rejected
    /// before any of its parts is sent.
    pub(crate) fn start_step(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.detect_zone_outages(now);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let class_is_known = self.settings.classes.get(query.class).is_some();
        let unsent: Vec<RequestId> = query
            .parts
            .iter()
            .copied()
            .filter(|part| self.parts[part].first_sent.is_none())
            .collect();
        if !class_is_known || query.parts.is_empty() || !self.admits(now, id, &unsent) {
            return self.give_up(now, id, actions);
        }
        self.send_parts(now, unsent, actions);
        self.complete_if_ready(now, id, actions);
    }

    /// Whether a query with these parts to send is worth starting. Second steps are shed only if they are late.
    fn admits(&mut self, now: Time, id: RequestId, unsent: &[RequestId]) -> bool {
        let Some(query) = self.queries.get(&id) else {
            return false;
        };
        let class = query.class;
        let second_step = query.second_step;
        let client_retry = query.client_retry;
        let fingerprint = query.fingerprint;
        let terms = &self.settings.classes[class];
        let time_left = (query.asked_at + terms.latency_objective) - now;
        let too_late = time_left <= 0.0 && terms.late_answer_share <= 0.0;
        let recent_span = self.recent_span;
        self.suspect_queries
            .retain(|_, &mut at| now - at < recent_span);
        if too_late || client_retry && self.suspect_queries.contains_key(&fingerprint) {
            return false;
        }
        if second_step {
            return true;
        }
        let calls = self.count_calls(unsent);
        !self.misses_objective(now, class, calls, time_left)
            && self.enough_answers_in_time(now, class, unsent)
    }

    /// How many calls the parts take if those with the same candidates share one.
    fn count_calls(&self, parts: &[RequestId]) -> usize {
        let cells = self.settings.cells.max(1);
        let distinct: BTreeSet<u32> = parts
            .iter()
            .map(|part| self.parts[part].shard % cells)
            .collect();
        distinct.len()
    }

    /// Sends parts, those with the same candidates in shared calls.
    ///
    /// A call costs a server work beside that of its parts, and takes one turn. A trial part stays alone.
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
                call.free_parts = 0;
            }
            calls.insert(cell, call);
            self.send(now, part, call.server, actions);
        }
    }

    /// Adds a part to the open call if that has room, or else to a new one; `None` if no server may be sent it.
    fn call_for(&mut self, now: Time, part: RequestId, open_call: Option<Call>) -> Option<Call> {
        let joinable = open_call
            .filter(|call| call.free_parts > 0)
            .filter(|call| self.has_slow_start_capacity(now, call.server));
        let call = match joinable {
            Some(call) => call,
            None => Call {
                server: self.select_replica(now, part)?.server,
                free_parts: self.settings.max_parts_per_call,
            },
        };
        Some(Call {
            server: call.server,
            free_parts: call.free_parts.saturating_sub(1),
        })
    }

    /// Whether parts that make up the least acceptable answer would likely be answered in time.
    fn enough_answers_in_time(&mut self, now: Time, class: usize, parts: &[RequestId]) -> bool {
        let limit = self.max_expected_latency(class, parts.len());
        let minimum = self.settings.classes[class]
            .completion_thresholds(false)
            .minimum;
        let total: f64 = parts.iter().map(|part| self.parts[part].weight).sum();
        let mut in_time = WEIGHT_TOLERANCE * total;
        for &part in parts {
            if self.answers_in_time(now, part, limit) {
                in_time += self.parts[&part].weight;
            }
        }
        let too_few = in_time < minimum * total;
        !too_few
    }
}
