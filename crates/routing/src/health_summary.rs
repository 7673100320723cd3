//! What the decisions believe, told for the log. Nothing here decides.

use crate::router::RequestRouter;
use cairnroad_types::{HealthSummary, ServerId, Time};

impl RequestRouter {
    /// How many servers are known.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// The servers that own answers of the last `secs` seconds make doubtful: what others may be told of.
    pub fn recent_outliers(&self, now: Time, secs: f64) -> Vec<ServerId> {
        let lately = |server: &crate::state::Server| {
            server.slowness_ratio > crate::router::OUTLIER_RATIO
                && now - server.last_updated <= secs
        };
        self.ready()
            .filter(|(_, server)| lately(server))
            .map(|(id, _)| id)
            .collect()
    }

    /// What is believed of the servers now.
    pub fn health_summary(&self, now: Time) -> HealthSummary {
        let mut summary = HealthSummary::default();
        for (_, server) in self.ready() {
            summary.ready += 1;
            summary.outliers += usize::from(self.is_outlier(now, server));
            summary.overdue +=
                usize::from(server.in_flight.first().is_some_and(|&(at, ..)| at <= now));
            summary.warming_up += usize::from(
                server
                    .ready_at
                    .is_some_and(|at| now - at < self.settings.slow_start_duration),
            );
        }
        summary.typical_latency_ms = self
            .typical_latency
            .iter()
            .map(|usual| (usual * 1e3) as u32)
            .collect();
        summary
    }
}
