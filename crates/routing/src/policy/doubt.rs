//! Which servers are doubted: by own parts, by what probes hint, by zones that are lost.

use super::*;

/// Weight of one answer in a server's pace: the last few count.
const PACE_GAIN: f64 = 0.3;
/// Weight of one unanswered or failed part in a server's pace: surer evidence than a slow answer.
const BAD_GAIN: f64 = 0.5;
/// The worst pace that is remembered, and what an error counts for: two or so good trials restore trust.
const WORST_PACE: f64 = 8.0;
/// A zone that was dark for this share of the warm-up time may have started anew, and warms up as if it had.
const DARK_START: f64 = 0.1;

impl RequestRouter {
    /// A server's health, from this node's own parts alone: one figure for slow, failing, refusing and
    /// silent servers. Measured against what is usual now, so that a general slowdown dooms nobody.
    pub(super) fn judge(&mut self, now: Time, flight: &Flight, outcome: Outcome) {
        let took = now - flight.sent;
        let usual = &mut self.usual[flight.class];
        let ratio = (took / usual.max(1e-6)).min(WORST_PACE);
        let Some(server) = self.servers.get_mut(&flight.server) else {
            return;
        };
        let (sample, gain) = match outcome {
            Outcome::Ok => {
                // A doubted server's slowness is its own, or its path's, and counts less.
                *usual += (took - *usual)
                    * USUAL_GAIN
                    * if server.pace > DOUBT { PACE_GAIN } else { 1.0 };
                self.noted[flight.class] = now;
                server.passed = server.passed.max(flight.sent);
                server
                    .answers
                    .push(now, self.settings.slow_start_duration * TAKE_WARM_UPS);
                (ratio, PACE_GAIN)
            }
            // Silence so far: it says something only if it is worse than what was known.
            Outcome::Cancelled | Outcome::Timeout => (ratio.max(server.pace), BAD_GAIN),
            Outcome::NotSent => return,
            _ => (WORST_PACE, PACE_GAIN),
        };
        if outcome == Outcome::ConnectFailed
            || now >= flight.overdue && matches!(outcome, Outcome::Cancelled | Outcome::Timeout)
        {
            server.kept.get_or_insert(flight.sent);
        }
        let memory = (-(now - server.judged).max(0.0) / self.recent).exp();
        server.pace += (sample - server.pace) * (1.0 - (1.0 - gain) * memory);
        server.judged = now;
        server.hint = if outcome == Outcome::Ok && ratio < DOUBT {
            1.0
        } else {
            server.hint
        };
        if server.pace > DOUBT
            && !self.health_checks.scheduled
            && self.settings.health_check_value.is_some()
        {
            self.health_checks.scheduled = true;
            self.timers.insert(now, Due::Probe);
        }
        let took = match outcome {
            Outcome::Ok => took,
            Outcome::Cancelled | Outcome::Timeout => took.max(server.wait.0),
            Outcome::Rejected => self.settings.classes[flight.class].latency_objective,
            _ => return,
        };
        server.wait = (server.wait.0 + (took - server.wait.0) * PACE_GAIN, now);
    }

    /// ZoneOutages are lost whole: a node with little traffic must not lose parts to each server of one to find it.
    /// Those of a dark zone are doubted until one of them is heard.
    pub(super) fn note_dark(&mut self, now: Time) {
        let sightings = self.ready().map(|(_, server)| {
            let oldest = server
                .out
                .first()
                .and_then(|&(_, id, attempt)| self.flights.get(&(id, attempt)));
            let delay = |flight: &Flight| {
                self.settings.classes[flight.class].latency_objective * HEDGE_DELAY
            };
            let waiting = oldest
                .filter(|flight| now - flight.sent >= delay(flight))
                .map(|flight| flight.sent);
            ZoneObservation {
                zone: server.zone,
                last_answered_send: server.passed,
                unanswered_since: server.kept.or(waiting),
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
            (server.pace, server.judged) = (WORST_PACE, now);
        }
    }

    /// A server said something. Its zone is back, perhaps from a start of which the list is yet to tell.
    pub(super) fn note_heard(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.kept = None;
        let zone = server.zone;
        let Some(dark_for) = self.zone_outages.recovered(now, zone) else {
            return;
        };
        let restarted = dark_for > self.settings.slow_start_duration * DARK_START;
        for server in self.servers.values_mut().filter(|s| s.zone == zone) {
            (server.pace, server.kept) = (1.0, None);
            if restarted {
                (server.ready_at, server.earned) = (Some(now), (server.earned.0.min(0.0), now));
            }
        }
    }

    /// Doubted by this node's own parts or, while that is fresh, by what its probe showed.
    pub(super) fn doubted(&self, now: Time, server: &Server) -> bool {
        server.pace > DOUBT || (server.hint > DOUBT && now - server.probed < self.recent)
    }

    /// What a probe shows is a hint: a server that holds many more requests than is typical, or whose probe
    /// failed, is likely slow, hung or far for this node.
    pub(super) fn note_probe(&mut self, id: ServerId, outcome: Outcome, report: &[f64]) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let held = self
            .settings
            .health_check_value
            .and_then(|at| report.get(at))
            .copied();
        server.hint = self
            .health_checks
            .load_ratio(outcome, held, WORST_PACE)
            .unwrap_or(server.hint);
    }

    /// Others doubt these servers: a hint as a probe gives, which own answers override.
    pub(super) fn note_advice(&mut self, now: Time, servers: &[ServerId]) {
        for (_, server) in self
            .servers
            .iter_mut()
            .filter(|(id, _)| servers.contains(id))
        {
            (server.hint, server.probed) = (WORST_PACE, now);
        }
    }

    /// While any server is doubted, one is probed after another, first that of which nothing was heard for
    /// longest; of a doubted one, only probes count as news.
    pub(super) fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let doubts = self.ready().any(|(_, s)| self.doubted(now, s));
        self.health_checks.scheduled = doubts;
        if !doubts {
            return;
        }
        let heard = |s: &Server| {
            if self.doubted(now, s) {
                s.probed
            } else {
                s.judged.max(s.probed)
            }
        };
        let oldest = self.ready().map(|(id, s)| (heard(s), id)).min();
        let due = oldest.filter(|&(at, _)| now - at > self.shortest);
        if let Some((_, id)) = due.filter(|_| self.health_checks.try_spend()) {
            actions.push(Action::HealthCheck(id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.probed = now;
            }
        }
        let gap = HealthCheckSchedule::delay(self.shortest, self.random.next_unit());
        self.timers
            .insert(now + gap.max(self.settings.tick), Due::Probe);
    }
}
