//! What is turned away before anything of it is sent, and the sending of the rest.

use super::*;

/// A query of middling worth is shed if its slowest part would likely take this share of its aim.
const SHED_AT: f64 = 0.5;
/// The bounds of that share for queries of low and high worth for their work.
const SHED_RANGE: (f64, f64) = (0.5, 0.9);
/// Shares of its aim between which a query's slowest part, going by usual times, has it refused by chance.
const SLOW_RANGE: (f64, f64) = (1.0, 2.4);
/// It fades from that over so many times "lately": a node asked little would refuse by a jam long over.
const SLOW_MEMORY: f64 = 5.0;
/// The surest of such refusals: the rest of the queries tell when it is over.
const SURE_REFUSAL: f64 = 0.9;
/// Under this share of sound servers doubt proves little, and parts are sent all the same.
const PANIC_SHARE: f64 = 0.5;

impl RequestRouter {
    /// All parts of a step are sent at once; a query that can't be served, or not in time, is turned away
    /// before any of its parts is sent.
    pub(super) fn open_step(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.note_dark(now);
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
        self.suspects.retain(|_, &mut at| now - at < self.recent);
        let suspect = query.repeat && self.suspects.contains_key(&query.kind);
        let late =
            suspect || aim_left <= 0.0 && self.settings.classes[class].late_answer_share <= 0.0;
        if late || (!second_step && self.too_slow(now, class, calls, aim_left)) {
            return self.give_up(now, id, actions);
        }
        if !second_step {
            let limit = self.shed_limit(class, parts.len());
            let all: f64 = parts.iter().map(|part| self.parts[part].weight).sum();
            let mut servable = WEIGHT_SLACK * all;
            for part in &parts {
                servable += if self.in_time(now, *part, limit) {
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
            let open = open.filter(|&(server, _)| self.cold_room(now, server));
            let room = open
                .map_or(self.settings.max_parts_per_call, |(_, room)| room)
                .saturating_sub(1);
            let chosen = open.or_else(|| self.choose(now, part).map(|(_, server)| (server, room)));
            let Some((server, _)) = chosen else { continue };
            let trial = self.doubted(now, &self.servers[&server]);
            calls.insert(cell, (server, if trial { 0 } else { room }));
            self.send(now, part, server, actions);
        }
        self.settle(now, id, actions);
    }

    /// Whether the quickest sound replica would likely answer this part in time; with none sound, whether one
    /// is due for a trial or would within the hedge delay. If not, the query's other parts would be wasted.
    /// Where most servers are doubted that proves little, and it is sent.
    pub(super) fn in_time(&mut self, now: Time, id: RequestId, limit: f64) -> bool {
        let (shard, class) = (self.parts[&id].shard, self.parts[&id].class);
        let holders = self.holders(now, shard);
        let sound = |id: &&ServerId| !self.doubted(now, &self.servers[id]) || holders.len() == 1;
        let waits = holders
            .iter()
            .filter(sound)
            .map(|id| self.likely_wait(now, &self.servers[id]));
        if let Some(wait) = waits.reduce(f64::min) {
            return wait <= limit;
        }
        let may_try = self.may_try(now, class);
        let pace = |id: &ServerId| self.servers[id].pace.max(self.servers[id].hint);
        let likely = self.usual[class] * holders.iter().map(pace).fold(f64::MAX, f64::min);
        let sound = || self.ready().filter(|(_, s)| !self.doubted(now, s)).count() as f64;
        !holders.is_empty()
            && (likely <= self.settings.classes[class].latency_objective * HEDGE_DELAY
                || holders
                    .iter()
                    .any(|&id| self.standing(now, id, may_try).0 == 0)
                || sound() < PANIC_SHARE * self.ready().count() as f64)
    }

    /// Load shedding by the fleet as a whole: a query of many calls waits for its slowest (parts of one wait
    /// together). Refused by chance, the likelier the more of its aim that would take; so all nodes back off
    /// alike, and none stops learning.
    pub(super) fn too_slow(&mut self, now: Time, class: usize, calls: usize, left: f64) -> bool {
        let age = (self.noted[class] - now) / (self.recent * SLOW_MEMORY);
        let slowest = self.usual[class] * (1.0 + (calls.max(1) as f64).ln()) * age.min(0.0).exp();
        let share = slowest / left.max(1e-6);
        self.random.next_unit()
            < ((share - SLOW_RANGE.0) / (SLOW_RANGE.1 - SLOW_RANGE.0)).min(SURE_REFUSAL)
    }

    /// Load shedding: the longest wait for a part with which a query is still let in. Queries that are worth
    /// more for their work are shed later.
    pub(super) fn shed_limit(&mut self, class: usize, parts: usize) -> f64 {
        let (aim, worth) = (
            self.settings.classes[class].latency_objective,
            self.settings.classes[class].priority_weight,
        );
        let density = worth / (parts.max(1) as f64 * self.usual[class].max(1e-6));
        let gain = if self.density > 0.0 { USUAL_GAIN } else { 1.0 };
        self.density += (density - self.density) * gain;
        let share = SHED_AT * (density / self.density.max(1e-9)).sqrt();
        let waits = if self.settings.classes[class].second_step_parts > 0 {
            2.0
        } else {
            1.0
        }; // both on one clock
        share.clamp(SHED_RANGE.0, SHED_RANGE.1) * aim / waits
    }

    /// How long a part sent now would likely take there. What was noted shrinks as time drains the queue,
    /// which lets work back in once a jam may have gone.
    pub(super) fn likely_wait(&self, now: Time, server: &Server) -> f64 {
        let waiting = server
            .out
            .iter()
            .filter_map(|&(_, id, attempt)| self.flights.get(&(id, attempt)));
        let waiting = waiting.filter(|flight| flight.sent > server.passed);
        let oldest = waiting.map(|flight| now - flight.sent).fold(0.0, f64::max);
        oldest.max(server.wait.0 - (now - server.wait.1))
    }
}
