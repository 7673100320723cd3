//! Health checks and outlier advice: hints about a server that its answers to this coordinator override.

use crate::router::RequestRouter;
use crate::server::Server;
use crate::timer::Timer;
use crate::tuning::MAX_SLOWNESS_RATIO;
use cairnroad_flow_control::HealthCheckSchedule;
use cairnroad_types::{Action, Outcome, ServerId, Time};

impl RequestRouter {
    /// Starts health checks after a server was found to be an outlier, if the deployment allows health checks.
    pub(crate) fn schedule_health_checks(&mut self, now: Time) {
        if self.health_checks.is_scheduled || self.settings.in_flight_report_index.is_none() {
            return;
        }
        self.health_checks.is_scheduled = true;
        self.timers.insert(now, Timer::HealthCheck);
    }

    /// Applies the result of a health check.
    ///
    /// A server with many more requests in flight than is typical, or with a failed check, is likely slow or
    /// hung, or its path to this coordinator is slow.
    pub(crate) fn on_health_check_ended(&mut self, id: ServerId, outcome: Outcome, report: &[f64]) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let in_flight = self
            .settings
            .in_flight_report_index
            .and_then(|index| report.get(index))
            .copied();
        let ratio = self
            .health_checks
            .load_ratio(outcome, in_flight, MAX_SLOWNESS_RATIO);
        server.health_check_ratio = ratio.unwrap_or(server.health_check_ratio);
    }

    /// Applies outlier advice of other coordinators like a failed health check of each server.
    pub(crate) fn on_outlier_advice(&mut self, now: Time, servers: &[ServerId]) {
        for (id, server) in &mut self.servers {
            if servers.contains(id) {
                server.health_check_ratio = MAX_SLOWNESS_RATIO;
                server.last_health_check = now;
            }
        }
    }

    /// Sends the next health check and schedules another one, as long as any server is an outlier.
    ///
    /// The server whose latest health evidence is oldest is checked first.
    pub(crate) fn check_health(&mut self, now: Time, actions: &mut Vec<Action>) {
        let has_outlier = self
            .ready_servers()
            .any(|(_, server)| self.is_outlier(now, server));
        self.health_checks.is_scheduled = has_outlier;
        if !has_outlier {
            return;
        }
        let least_recently_observed = self
            .ready_servers()
            .map(|(id, server)| (self.last_health_evidence(now, server), id))
            .min();
        if let Some((last_health_evidence, id)) = least_recently_observed {
            let is_due = now - last_health_evidence > self.shortest_objective;
            if is_due && self.health_checks.try_spend() {
                actions.push(Action::HealthCheck(id));
                if let Some(server) = self.servers.get_mut(&id) {
                    server.last_health_check = now;
                }
            }
        }
        let delay = HealthCheckSchedule::delay(self.shortest_objective, self.random.next_f64());
        self.timers
            .insert(now + delay.max(self.settings.tick), Timer::HealthCheck);
    }

    /// Returns when there was the latest evidence of a server's health. For an outlier, only health checks
    /// count.
    fn last_health_evidence(&self, now: Time, server: &Server) -> Time {
        if self.is_outlier(now, server) {
            server.last_health_check
        } else {
            server.last_updated.max(server.last_health_check)
        }
    }
}
