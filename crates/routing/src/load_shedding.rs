//! What is turned away before anything of it is sent, and the sending of the rest.

use crate::router::*;

/// A query of middling worth is shed if its slowest part would likely take this share of its aim.
const SHED_SHARE: f64 = 0.5;
/// The bounds of that share for queries of low and high worth for their work.
const SHED_RANGE: (f64, f64) = (0.5, 0.9);
/// Shares of its aim between which a query's slowest part, going by usual times, has it refused by chance.
const MISS_RANGE: (f64, f64) = (1.0, 2.4);
/// It fades from that over so many times "lately": a node asked little would refuse by a jam long over.
const MISS_MEMORY: f64 = 5.0;
/// The surest of such refusals: the rest of the queries tell when it is over.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// Under this share of sound servers doubt proves little, and parts are sent all the same.
const PANIC_SHARE: f64 = 0.5;

impl RequestRouter {
    /// All parts of a step are sent at once; a query that can't be served, or not in time, is turned away
    /// before any of its parts is sent.
    pub(crate) fn start_step(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.detect_zone_outages(now);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let unsent = |id: &RequestId| self.parts[id].first_sent.is_none();
        let parts: Vec<RequestId> = query.parts.iter().copied().filter(unsent).collect();
        if self.settings.classes.get(query.class).is_none() || query.parts.is_empty() {
            return self.give_up(now, id, actions);
        }
        let (class, second_step) = (query.class, query.second_step);
        let cells = self.settings.cells.max(1);
        let calls = parts
            .iter()
            .map(|id| self.parts[id].shard % cells)
            .collect::<BTreeSet<u32>>()
            .len();
        let thresholds = self.settings.classes[class].completion_thresholds(second_step);
        let aim_left = (query.asked_at + self.settings.classes[class].latency_objective) - now;
        self.suspect_queries
            .retain(|_, &mut at| now - at < self.recent_span);
        let suspect = query.repeat && self.suspect_queries.contains_key(&query.fingerprint);
        let late =
            suspect || aim_left <= 0.0 && self.settings.classes[class].late_answer_share <= 0.0;
        if late || (!second_step && self.misses_objective(now, class, calls, aim_left)) {
            return self.give_up(now, id, actions);
        }
        if !second_step {
            let limit = self.shed_limit(class, parts.len());
            let all: f64 = parts.iter().map(|part| self.parts[part].weight).sum();
            let mut servable = WEIGHT_SLACK * all;
            for part in &parts {
                servable += if self.answers_in_time(now, *part, limit) {
                    self.parts[part].weight
                } else {
                    0.0
                };
            }
            if servable < thresholds.minimum * all {
                return self.give_up(now, id, actions);
            }
        }
        // A call costs a server work beside that of its parts: those of one query that have the same holders
        // share one, and with it one turn. A trial stays a single part.
        let mut calls: BTreeMap<u32, (ServerId, u32)> = BTreeMap::new();
        for part in parts {
            let cell = self.parts[&part]
                .shard
                .checked_rem(self.settings.cells)
                .unwrap_or(0);
            let open = calls.get(&cell).filter(|&&(_, room)| room > 0).copied();
            let open = open.filter(|&(server, _)| self.slow_start_capacity(now, server));
            let room = open
                .map_or(self.settings.max_parts_per_call, |(_, room)| room)
                .saturating_sub(1);
            let chosen = open.or_else(|| {
                self.select_replica(now, part)
                    .map(|(_, server)| (server, room))
            });
            let Some((server, _)) = chosen else { continue };
            let trial = self.is_outlier(now, &self.servers[&server]);
            calls.insert(cell, (server, if trial { 0 } else { room }));
            self.send(now, part, server, actions);
        }
        self.complete_if_ready(now, id, actions);
    }

    /// Whether the quickest sound replica would likely answer this part in time; with none sound, whether one
    /// is due for a trial or would within the hedge delay. If not, the query's other parts would be wasted.
    /// Where most servers are doubted that proves little, and it is sent.
    pub(crate) fn answers_in_time(&mut self, now: Time, id: RequestId, limit: f64) -> bool {
        let (shard, class) = (self.parts[&id].shard, self.parts[&id].class);
        let candidates = self.candidates(now, shard);
        let sound =
            |id: &&ServerId| !self.is_outlier(now, &self.servers[id]) || candidates.len() == 1;
        let waits = candidates
            .iter()
            .filter(sound)
            .map(|id| self.expected_latency(now, &self.servers[id]));
        if let Some(wait) = waits.reduce(f64::min) {
            return wait <= limit;
        }
        let may_try = self.may_try(now, class);
        let pace = |id: &ServerId| {
            self.servers[id]
                .slowness_ratio
                .max(self.servers[id].health_check_ratio)
        };
        let likely =
            self.typical_latency[class] * candidates.iter().map(pace).fold(f64::MAX, f64::min);
        let sound = || {
            self.ready()
                .filter(|(_, s)| !self.is_outlier(now, s))
                .count() as f64
        };
        !candidates.is_empty()
            && (likely <= self.settings.classes[class].latency_objective * HEDGE_DELAY_SHARE
                || candidates
                    .iter()
                    .any(|&id| self.standing(now, id, may_try).0 == 0)
                || sound() < PANIC_SHARE * self.ready().count() as f64)
    }

    /// Load shedding by the fleet as a whole: a query of many calls waits for its slowest (parts of one wait
    /// together). Refused by chance, the likelier the more of its aim that would take; so all nodes back off
    /// alike, and none stops learning.
    pub(crate) fn misses_objective(
        &mut self,
        now: Time,
        class: usize,
        calls: usize,
        left: f64,
    ) -> bool {
        let age = (self.latency_updated[class] - now) / (self.recent_span * MISS_MEMORY);
        let slowest =
            self.typical_latency[class] * (1.0 + (calls.max(1) as f64).ln()) * age.min(0.0).exp();
        let share = slowest / left.max(1e-6);
        self.random.next_unit()
            < ((share - MISS_RANGE.0) / (MISS_RANGE.1 - MISS_RANGE.0)).min(MAX_SHED_PROBABILITY)
    }

    /// Load shedding: the longest wait for a part with which a query is still let in. Queries that are worth
    /// more for their work are shed later.
    pub(crate) fn shed_limit(&mut self, class: usize, parts: usize) -> f64 {
        let (aim, worth) = (
            self.settings.classes[class].latency_objective,
            self.settings.classes[class].priority_weight,
        );
        let density = worth / (parts.max(1) as f64 * self.typical_latency[class].max(1e-6));
        let gain = if self.mean_value_density > 0.0 {
            TYPICAL_LATENCY_GAIN
        } else {
            1.0
        };
        self.mean_value_density += (density - self.mean_value_density) * gain;
        let share = SHED_SHARE * (density / self.mean_value_density.max(1e-9)).sqrt();
        let waits = if self.settings.classes[class].second_step_parts > 0 {
            2.0
        } else {
            1.0
        }; // both on one clock
        share.clamp(SHED_RANGE.0, SHED_RANGE.1) * aim / waits
    }

    /// How long a part sent now would likely take there. What was noted shrinks as time drains the queue,
    /// which lets work back in once a jam may have gone.
    pub(crate) fn expected_latency(&self, now: Time, server: &Server) -> f64 {
        let waiting = server
            .in_flight
            .iter()
            .filter_map(|&(_, id, attempt)| self.attempts.get(&(id, attempt)));
        let waiting =
            waiting.filter(|sent_attempt| sent_attempt.sent_at > server.last_answered_send);
        let oldest = waiting
            .map(|sent_attempt| now - sent_attempt.sent_at)
            .fold(0.0, f64::max);
        oldest.max(server.smoothed_latency.0 - (now - server.smoothed_latency.1))
    }
}
