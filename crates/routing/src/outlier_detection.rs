//! Which servers are doubted: by own parts, by what probes hint, by zones that are lost.

use crate::router::*;

/// Weight of one answer in a server's pace: the last few count.
const ANSWER_GAIN: f64 = 0.3;
/// Weight of one unanswered or failed part in a server's pace: surer evidence than a slow answer.
const FAILURE_GAIN: f64 = 0.5;
/// The worst pace that is remembered, and what an error counts for: two or so good trials restore trust.
const MAX_SLOWNESS_RATIO: f64 = 8.0;
/// A zone that was dark for this share of the warm-up time may have started anew, and warms up as if it had.
const RESTART_SHARE: f64 = 0.1;

impl RequestRouter {
    /// A server's health, from this node's own parts alone: one figure for slow, failing, refusing and
    /// silent servers. Measured against what is usual now, so that a general slowdown dooms nobody.
    pub(crate) fn record_outcome(&mut self, now: Time, sent_attempt: &Attempt, outcome: Outcome) {
        let took = now - sent_attempt.sent_at;
        let usual = &mut self.typical_latency[sent_attempt.class];
        let ratio = (took / usual.max(1e-6)).min(MAX_SLOWNESS_RATIO);
        let Some(server) = self.servers.get_mut(&sent_attempt.server) else {
            return;
        };
        let (sample, gain) = match outcome {
            Outcome::Ok => {
                // A doubted server's slowness is its own, or its path's, and counts less.
                *usual += (took - *usual)
                    * TYPICAL_LATENCY_GAIN
                    * if server.slowness_ratio > OUTLIER_RATIO {
                        ANSWER_GAIN
                    } else {
                        1.0
                    };
                self.latency_updated[sent_attempt.class] = now;
                server.last_answered_send = server.last_answered_send.max(sent_attempt.sent_at);
                server.answers.push(
                    now,
                    self.settings.slow_start_duration * THROUGHPUT_SPAN_RAMPS,
                );
                (ratio, ANSWER_GAIN)
            }
            // Silence so far: it says something only if it is worse than what was known.
            Outcome::Cancelled | Outcome::Timeout => {
                (ratio.max(server.slowness_ratio), FAILURE_GAIN)
            }
            Outcome::NotSent => return,
            _ => (MAX_SLOWNESS_RATIO, ANSWER_GAIN),
        };
        if outcome == Outcome::ConnectFailed
            || now >= sent_attempt.overdue_at
                && matches!(outcome, Outcome::Cancelled | Outcome::Timeout)
        {
            server.unanswered_since.get_or_insert(sent_attempt.sent_at);
        }
        let memory = (-(now - server.last_updated).max(0.0) / self.recent_span).exp();
        server.slowness_ratio += (sample - server.slowness_ratio) * (1.0 - (1.0 - gain) * memory);
        server.last_updated = now;
        server.health_check_ratio = if outcome == Outcome::Ok && ratio < OUTLIER_RATIO {
            1.0
        } else {
            server.health_check_ratio
        };
        if server.slowness_ratio > OUTLIER_RATIO
            && !self.health_checks.scheduled
            && self.settings.health_check_value.is_some()
        {
            self.health_checks.scheduled = true;
            self.timers.insert(now, Timer::HealthCheck);
        }
        let took = match outcome {
            Outcome::Ok => took,
            Outcome::Cancelled | Outcome::Timeout => took.max(server.smoothed_latency.0),
            Outcome::Rejected => self.settings.classes[sent_attempt.class].latency_objective,
            _ => return,
        };
        server.smoothed_latency = (
            server.smoothed_latency.0 + (took - server.smoothed_latency.0) * ANSWER_GAIN,
            now,
        );
    }

    /// ZoneOutages are lost whole: a node with little traffic must not lose parts to each server of one to find it.
    /// Those of a dark zone are doubted until one of them is heard.
    pub(crate) fn detect_zone_outages(&mut self, now: Time) {
        let sightings = self.ready().map(|(_, server)| {
            let oldest = server
                .in_flight
                .first()
                .and_then(|&(_, id, attempt)| self.attempts.get(&(id, attempt)));
            let delay = |sent_attempt: &Attempt| {
                self.settings.classes[sent_attempt.class].latency_objective * HEDGE_DELAY_SHARE
            };
            let waiting = oldest
                .filter(|sent_attempt| now - sent_attempt.sent_at >= delay(sent_attempt))
                .map(|sent_attempt| sent_attempt.sent_at);
            ZoneObservation {
                zone: server.zone,
                last_answered_send: server.last_answered_send,
                unanswered_since: server.unanswered_since.or(waiting),
            }
        });
        let dark = self
            .zone_outages
            .detect_outage(now, &sightings.collect::<Vec<_>>());
        for server in self
            .servers
            .values_mut()
            .filter(|server| dark.contains(&server.zone))
        {
            (server.slowness_ratio, server.last_updated) = (MAX_SLOWNESS_RATIO, now);
        }
    }

    /// A server said something. Its zone is back, perhaps from a start of which the list is yet to tell.
    pub(crate) fn on_server_heard(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.unanswered_since = None;
        let zone = server.zone;
        let Some(dark_for) = self.zone_outages.recovered(now, zone) else {
            return;
        };
        let restarted = dark_for > self.settings.slow_start_duration * RESTART_SHARE;
        for server in self.servers.values_mut().filter(|s| s.zone == zone) {
            (server.slowness_ratio, server.unanswered_since) = (1.0, None);
            if restarted {
                (server.ready_at, server.slow_start_credit) =
                    (Some(now), (server.slow_start_credit.0.min(0.0), now));
            }
        }
    }

    /// Doubted by this node's own parts or, while that is fresh, by what its probe showed.
    pub(crate) fn is_outlier(&self, now: Time, server: &Server) -> bool {
        server.slowness_ratio > OUTLIER_RATIO
            || (server.health_check_ratio > OUTLIER_RATIO
                && now - server.last_health_check < self.recent_span)
    }

    /// What a probe shows is a hint: a server that holds many more requests than is typical, or whose probe
    /// failed, is likely slow, hung or far for this node.
    pub(crate) fn on_health_check_ended(&mut self, id: ServerId, outcome: Outcome, report: &[f64]) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let held = self
            .settings
            .health_check_value
            .and_then(|at| report.get(at))
            .copied();
        server.health_check_ratio = self
            .health_checks
            .load_ratio(outcome, held, MAX_SLOWNESS_RATIO)
            .unwrap_or(server.health_check_ratio);
    }

    /// Others doubt these servers: a hint as a probe gives, which own answers override.
    pub(crate) fn on_outlier_advice(&mut self, now: Time, servers: &[ServerId]) {
        for (_, server) in self
            .servers
            .iter_mut()
            .filter(|(id, _)| servers.contains(id))
        {
            (server.health_check_ratio, server.last_health_check) = (MAX_SLOWNESS_RATIO, now);
        }
    }

    /// While any server is doubted, one is probed after another, first that of which nothing was heard for
    /// longest; of a doubted one, only probes count as news.
    pub(crate) fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let doubts = self.ready().any(|(_, s)| self.is_outlier(now, s));
        self.health_checks.scheduled = doubts;
        if !doubts {
            return;
        }
        let heard = |s: &Server| {
            if self.is_outlier(now, s) {
                s.last_health_check
            } else {
                s.last_updated.max(s.last_health_check)
            }
        };
        let oldest = self.ready().map(|(id, s)| (heard(s), id)).min();
        let due = oldest.filter(|&(at, _)| now - at > self.shortest_objective);
        if let Some((_, id)) = due.filter(|_| self.health_checks.try_spend()) {
            actions.push(Action::HealthCheck(id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.last_health_check = now;
            }
        }
        let gap = HealthCheckSchedule::delay(self.shortest_objective, self.random.next_unit());
        self.timers
            .insert(now + gap.max(self.settings.tick), Timer::HealthCheck);
    }
}
