//! Summaries of the servers' health, for logs and for other coordinators. No decision is made here.

use crate::router::RequestRouter;
use crate::server::Server;
use cairnroad_types::{HealthSummary, Seconds, ServerId, Time};

const MILLISECONDS_PER_SECOND: f64 = 1e3;

impl RequestRouter {
    /// Returns the number of known servers, including removed ones that still have attempts in flight.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the servers that are outliers by the outcomes of this router's own attempts within the last
    /// `window` seconds. They are the advice for other coordinators.
    ///
    /// Health checks and received advice don't count, so that advice isn't passed on.
    pub fn recent_outliers(&self, now: Time, window: Seconds) -> Vec<ServerId> {
        self.ready_servers()
            .filter(|(_, server)| {
                server.is_outlier_by_outcomes() && now - server.last_updated <= window
            })
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns counts of the ready servers by their health, and the typical latency of each class.
    pub fn health_summary(&self, now: Time) -> HealthSummary {
        let slow_start = self.settings.slow_start_duration;
        let is_warming_up =
            |server: &Server| server.ready_at.is_some_and(|at| now - at < slow_start);
        let mut summary = HealthSummary::default();
        for (_, server) in self.ready_servers() {
            summary.ready += 1;
            summary.outliers += usize::from(self.is_outlier(now, server));
            summary.overdue += usize::from(server.is_overdue(now));
            summary.warming_up += usize::from(is_warming_up(server));
        }
        summary.typical_latency_ms = self
            .class_latency
            .iter()
            .map(|latency| (latency.typical * MILLISECONDS_PER_SECOND) as u32)
            .collect();
        summary
    }
}
