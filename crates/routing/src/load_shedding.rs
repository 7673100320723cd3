//! Load shedding: rejects queries that would likely be answered too late.

use crate::attempt::InFlightAttempt;
use crate::router::RequestRouter;
use crate::server::Server;
use crate::tuning::{HEDGE_DELAY_SHARE, MIN_LATENCY, TYPICAL_LATENCY_GAIN};
use cairnroad_types::{RequestId, Seconds, ServerId, Time};

/// A query of average value density is shed if its slowest part would likely take this share of its latency
/// objective.
const SHED_SHARE: f64 = 0.5;
/// Lower limit of that share, for queries of low value density.
const MIN_SHED_SHARE: f64 = 0.5;
/// Upper limit of that share, for queries of high value density.
const MAX_SHED_SHARE: f64 = 0.9;
/// Lower limit of the mean value density, which is used as a divisor.
const MIN_VALUE_DENSITY: f64 = 1e-9;

/// Random shedding starts if, by typical latencies, a query's slowest part would take this share of the time
/// left.
const RANDOM_SHED_START_SHARE: f64 = 1.0;
/// Share at which all queries would be shed if [`MAX_SHED_PROBABILITY`] didn't limit shedding.
const RANDOM_SHED_FULL_SHARE: f64 = 2.4;
/// Highest probability of random shedding. The remaining queries show when an overload is over.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// Typical latencies decay over this many recent windows without an answer. Otherwise a coordinator with little
/// traffic would keep shedding because of an overload that ended long ago.
const LATENCY_MEMORY_WINDOWS: f64 = 5.0;

/// Below this share of healthy servers, outlier detection proves little, and parts are sent to outliers, too.
const PANIC_THRESHOLD: f64 = 0.5;

impl RequestRouter {
    /// Returns whether a part would likely be answered within `limit` seconds.
    ///
    /// If there are healthy replicas, the one with the lowest expected latency decides. A shard's only candidate
    /// counts as healthy. If all replicas are outliers, the part counts as answered in time if a replica is due
    /// for a trial part, if one would answer within the hedge delay, or if most servers of the fleet are
    /// outliers, since detection proves little then. A query with a part that isn't answered in time would waste
    /// the work on its other parts.
    pub(crate) fn answers_in_time(&mut self, now: Time, id: RequestId, limit: Seconds) -> bool {
        let shard = self.parts[&id].shard;
        let class = self.parts[&id].class;
        let candidates = self.candidates(now, shard);
        let is_only_candidate = candidates.len() == 1;
        let lowest_healthy_latency = candidates
            .iter()
            .map(|id| &self.servers[id])
            .filter(|server| is_only_candidate || !self.is_outlier(now, server))
            .map(|server| self.expected_latency(now, server))
            .reduce(f64::min);
        if let Some(latency) = lowest_healthy_latency {
            return latency <= limit;
        }
        !candidates.is_empty()
            && (self.outlier_answers_before_hedge(class, &candidates)
                || self.has_candidate_due_for_trial(now, class, &candidates)
                || self.most_servers_are_outliers(now))
    }

    fn outlier_answers_before_hedge(&self, class: usize, candidates: &[ServerId]) -> bool {
        let best_ratio = candidates
            .iter()
            .map(|id| &self.servers[id])
            .map(|server| server.slowness_ratio.max(server.health_check_ratio))
            .fold(f64::MAX, f64::min);
        let hedge_delay = self.settings.classes[class].latency_objective * HEDGE_DELAY_SHARE;
        self.class_latency[class].typical * best_ratio <= hedge_delay
    }

    fn has_candidate_due_for_trial(
        &self,
        now: Time,
        class: usize,
        candidates: &[ServerId],
    ) -> bool {
        let trial_allowed = self.may_send_trial(now, class);
        candidates
            .iter()
            .any(|&id| self.is_in_rotation(now, id, trial_allowed))
    }

    fn most_servers_are_outliers(&self, now: Time) -> bool {
        let healthy = self
            .ready_servers()
            .filter(|(_, server)| !self.is_outlier(now, server))
            .count();
        (healthy as f64) < PANIC_THRESHOLD * self.ready_servers().count() as f64
    }

    /// Decides at random whether a query is shed because the fleet as a whole is too slow for it.
    ///
    /// A query of `calls` calls waits for its slowest one. The larger the share of the time left until the
    /// objective that the slowest call would take, the higher the probability of shedding. All coordinators
    /// thus back off alike, and each still sends enough queries to see when the fleet recovers.
    pub(crate) fn misses_objective(
        &mut self,
        now: Time,
        class: usize,
        calls: usize,
        time_left: Seconds,
    ) -> bool {
        let latency = self.class_latency[class];
        let elapsed_windows =
            (latency.updated_at - now) / (self.recent_window * LATENCY_MEMORY_WINDOWS);
        // The expected maximum of exponentially distributed latencies grows with the logarithm of their count.
        let slowest_factor = 1.0 + (calls.max(1) as f64).ln();
        let slowest = latency.typical * slowest_factor * elapsed_windows.min(0.0).exp();
        let share = slowest / time_left.max(MIN_LATENCY);
        let probability =
            (share - RANDOM_SHED_START_SHARE) / (RANDOM_SHED_FULL_SHARE - RANDOM_SHED_START_SHARE);
        self.random.next_f64() < probability.min(MAX_SHED_PROBABILITY)
    }

    /// Returns the longest expected latency of a part, in seconds, at which a query of this class is still
    /// admitted.
    ///
    /// Queries of higher value density (priority weight per unit of work) are shed later. In a class with a
    /// second step, both steps share the latency objective.
    pub(crate) fn max_expected_latency(&mut self, class: usize, parts: usize) -> Seconds {
        let class_settings = &self.settings.classes[class];
        let work = parts.max(1) as f64 * self.class_latency[class].typical.max(MIN_LATENCY);
        let value_density = class_settings.priority_weight / work;
        let gain = if self.mean_value_density > 0.0 {
            TYPICAL_LATENCY_GAIN
        } else {
            1.0
        };
        self.mean_value_density += (value_density - self.mean_value_density) * gain;
        let relative_value = value_density / self.mean_value_density.max(MIN_VALUE_DENSITY);
        let share = (SHED_SHARE * relative_value.sqrt()).clamp(MIN_SHED_SHARE, MAX_SHED_SHARE);
        let steps = if class_settings.second_step_parts > 0 {
            2.0
        } else {
            1.0
        };
        share * class_settings.latency_objective / steps
    }

    /// Returns how long a part sent to a server now would likely take, in seconds.
    ///
    /// The observed latency decreases as time passes and the server works off its queue, so that queries are
    /// admitted again once an overload may be over. Attempts that were overtaken by later ones say nothing
    /// about the queue.
    pub(crate) fn expected_latency(&self, now: Time, server: &Server) -> Seconds {
        let longest_wait = server
            .in_flight
            .iter()
            .filter_map(|&InFlightAttempt { attempt, .. }| self.attempts.get(&attempt))
            .filter(|attempt| attempt.sent_at > server.last_answered_send)
            .map(|attempt| now - attempt.sent_at)
            .fold(0.0, f64::max);
        let latency = server.smoothed_latency;
        longest_wait.max(latency.seconds - (now - latency.updated_at))
    }
}
