//! Health checks and outlier advice: hints about a server that own answers override.

use crate::router::RequestRouter;
use crate::server::Server;
use crate::timer::Timer;
use crate::tuning::MAX_SLOWNESS_RATIO;
use cairnroad_flow_control::HealthCheckSchedule;
use cairnroad_types::{Action, Outcome, ServerId, Time};

impl RequestRouter {
    /// Starts health checks once a server is found to be an outlier, if the deployment has any.
    pub(crate) fn schedule_health_checks(&mut self, now: Time) {
        if self.health_checks.is_scheduled || self.settings.in_flight_report_index.is_none() {
            return;
        }
        self.health_checks.is_scheduled = true;
        self.timers.insert(now, Timer::HealthCheck);
    }

    /// Applies a health check's result.
    ///
    /// A server that holds many more requests than is typical, or whose check failed, is likely slow, hung or
    /// far from this coordinator.
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

    /// Applies outlier advice of other coordinators as a failed health check of each server.
    pub(crate) fn on_outlier_advice(&mut self, now: Time, servers: &[ServerId]) {
        for (id, server) in &mut self.servers {
            if servers.contains(id) {
                server.health_check_ratio = MAX_SLOWNESS_RATIO;
                server.last_health_check = now;
            }
        }
    }

    /// Sends the next health check and schedules another, as long as any server is an outlier.
    ///
    /// The server of which nothing was heard for longest comes first.
    pub(crate) fn check_health(&mut self, now: Time, actions: &mut Vec<Action>) {
        let any_outlier = self
            .ready_servers()
            .any(|(_, server)| self.is_outlier(now, server));
        self.health_checks.is_scheduled = any_outlier;
        if !any_outlier {
            return;
        }
        let longest_unheard = self
            .ready_servers()
            .map(|(id, server)| (self.last_news(now, server), id))
            .min();
        if let Some((last_news, id)) = longest_unheard {
            let due = now - last_news > self.shortest_objective;
            if due && self.health_checks.try_spend() {
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

    /// When there was news of a server; of an outlier, only health checks count as news.
    fn last_news(&self, now: Time, server: &Server) -> Time {
        if self.is_outlier(now, server) {
            server.last_health_check
        } else {
            server.last_updated.max(server.last_health_check)
        }
    }
}
