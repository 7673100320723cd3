//! What the decisions believe, told for the log. Nothing here decides.

use super::RequestRouter;
use cairnroad_types::{HealthSummary, ServerId, Time};

impl RequestRouter {
    /// How many servers are known.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// The servers that own answers of the last `secs` seconds make doubtful: what others may be told of.
    pub fn doubted_lately(&self, now: Time, secs: f64) -> Vec<ServerId> {
        let lately =
            |server: &super::Server| server.pace > super::DOUBT && now - server.judged <= secs;
        self.ready()
            .filter(|(_, server)| lately(server))
            .map(|(id, _)| id)
            .collect()
    }

    /// What is believed of the servers now.
    pub fn beliefs(&self, now: Time) -> HealthSummary {
        let mut beliefs = HealthSummary::default();
        for (_, server) in self.ready() {
            beliefs.ready += 1;
            beliefs.outliers += usize::from(self.doubted(now, server));
            beliefs.overdue += usize::from(server.out.first().is_some_and(|&(at, ..)| at <= now));
            beliefs.warming_up += usize::from(
                server
                    .ready_at
                    .is_some_and(|at| now - at < self.settings.slow_start_duration),
            );
        }
        beliefs.typical_latency_ms = self
            .usual
            .iter()
            .map(|usual| (usual * 1e3) as u32)
            .collect();
        beliefs
    }
}
