//! Load shedding: which queries are rejected because they would likely be answered too late.

use crate::attempt::InFlight;
use crate::router::RequestRouter;
use crate::server::Server;
use crate::tuning::{HEDGE_DELAY_SHARE, MIN_LATENCY, TYPICAL_LATENCY_GAIN};
use cairnroad_types::{RequestId, Seconds, ServerId, Time};

/// A query of average value is shed if its slowest part would likely take this share of its latency objective.
const SHED_SHARE: f64 = 0.5;
/// Lower bound of that share, for queries of low value for their work.
const MIN_SHED_SHARE: f64 = 0.5;
/// Upper bound of that share, for queries of high value for their work.
const MAX_SHED_SHARE: f64 = 0.9;
/// Floor for the mean value density, which is divided by.
const MIN_VALUE_DENSITY: f64 = 1e-9;

/// Share of the time left that a query's slowest part may take, going by typical latencies, before queries are
/// shed at random.
const RANDOM_SHED_FROM: f64 = 1.0;
/// The share at which all queries would be shed, were it not for the limit below.
const RANDOM_SHED_FULL: f64 = 2.4;
/// Highest probability of shedding at random: the remaining queries show when the overload is over.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// Typical latencies fade over this many recent spans without an answer: a coordinator with little traffic
/// would otherwise shed because of an overload long over.
const LATENCY_MEMORY_SPANS: f64 = 5.0;

/// Below this share of sound servers, outlier detection proves little, and parts are sent all the same.
const PANIC_SHARE: f64 = 0.5;

impl RequestRouter {
    /// Whether a part would likely be answered within `limit` seconds.
    ///
    /// That is so if the quickest sound replica would answer in time. With no sound replica it is so if one is
    /// due for a trial part, would answer within the hedge delay, or if most servers are outliers, which proves
    /// little. If not, the query's other parts would be wasted.
    pub(crate) fn answers_in_time(&mut self, now: Time, id: RequestId, limit: Seconds) -> bool {
        let shard = self.parts[&id].shard;
        let class = self.parts[&id].class;
        let candidates = self.candidates(now, shard);
        let only_candidate = candidates.len() == 1;
        let quickest_sound = candidates
            .iter()
            .map(|id| &self.servers[id])
            .filter(|server| only_candidate || !self.is_outlier(now, server))
            .map(|server| self.expected_latency(now, server))
            .reduce(f64::min);
        if let Some(latency) = quickest_sound {
            return latency <= limit;
        }
        !candidates.is_empty()
            && (self.outliers_answer_before_hedge(class, &candidates)
                || self.any_due_for_trial(now, class, &candidates)
                || self.most_servers_are_outliers(now))
    }

    fn outliers_answer_before_hedge(&self, class: usize, candidates: &[ServerId]) -> bool {
        let best_ratio = candidates
            .iter()
            .map(|id| &self.servers[id])
            .map(|server| server.slowness_ratio.max(server.health_check_ratio))
            .fold(f64::MAX, f64::min);
        let hedge_delay = self.settings.classes[class].latency_objective * HEDGE_DELAY_SHARE;
        self.class_latency[class].typical * best_ratio <= hedge_delay
    }

    fn any_due_for_trial(&self, now: Time, class: usize, candidates: &[ServerId]) -> bool {
        let trial_allowed = self.may_send_trial(now, class);
        candidates
            .iter()
            .any(|&id| self.is_in_rotation(now, id, trial_allowed))
    }

    fn most_servers_are_outliers(&self, now: Time) -> bool {
        let sound = self
            .ready_servers()
            .filter(|(_, server)| !self.is_outlier(now, server))
            .count();
        (sound as f64) < PANIC_SHARE * self.ready_servers().count() as f64
    }

    /// Decides, at random, whether a query is shed because the fleet as a whole is too slow for it.
    ///
    /// A query of `calls` calls waits for its slowest one. It is shed the likelier, the more of the time left
    /// until its objective that would take, so that all coordinators back off alike and none stops learning.
    pub(crate) fn misses_objective(
        &mut self,
        now: Time,
        class: usize,
        calls: usize,
        time_left: Seconds,
    ) -> bool {
        let latency = self.class_latency[class];
        let spans = (latency.updated_at - now) / (self.recent_span * LATENCY_MEMORY_SPANS);
        // The expected maximum of exponentially distributed latencies grows with the logarithm of their count.
        let slowest_factor = 1.0 + (calls.max(1) as f64).ln();
        let slowest = latency.typical * slowest_factor * spans.min(0.0).exp();
        let share = slowest / time_left.max(MIN_LATENCY);
        let probability = (share - RANDOM_SHED_FROM) / (RANDOM_SHED_FULL - RANDOM_SHED_FROM);
        self.random.next_f64() < probability.min(MAX_SHED_PROBABILITY)
    }

    /// The longest expected latency of a part in seconds with which a query of this class is still admitted.
    ///
    /// Queries with a higher priority weight for their work are shed later. Both steps of a class that has a
    /// second one share the latency objective.
    pub(crate) fn max_expected_latency(&mut self, class: usize, parts: usize) -> Seconds {
        let terms = &self.settings.classes[class];
        let work = parts.max(1) as f64 * self.class_latency[class].typical.max(MIN_LATENCY);
        let value_density = terms.priority_weight / work;
        let gain = if self.mean_value_density > 0.0 {
            TYPICAL_LATENCY_GAIN
        } else {
            1.0
        };
        self.mean_value_density += (value_density - self.mean_value_density) * gain;
        let relative_value = value_density / self.mean_value_density.max(MIN_VALUE_DENSITY);
        let share = (SHED_SHARE * relative_value.sqrt()).clamp(MIN_SHED_SHARE, MAX_SHED_SHARE);
        let steps = if terms.second_step_parts > 0 {
            2.0
        } else {
            1.0
        };
        share * terms.latency_objective / steps
    }

    /// How long a part sent to a server now would likely take, in seconds.
    ///
    /// What was observed shrinks as time drains the server's queue, which lets work back in once an overload may
    /// be over. Attempts that later ones overtook say nothing of the queue.
    pub(crate) fn expected_latency(&self, now: Time, server: &Server) -> Seconds {
        let longest_wait = server
            .in_flight
            .iter()
            .filter_map(|&InFlight { attempt, .. }| self.attempts.get(&attempt))
            .filter(|attempt| attempt.sent_at > server.last_answered_send)
            .map(|attempt| now - attempt.sent_at)
            .fold(0.0, f64::max);
        let latency = server.smoothed_latency;
        longest_wait.max(latency.seconds - (now - latency.updated_at))
    }
}
