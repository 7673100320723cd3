//! Servers of zones that are unreachable as a whole, and their return.
//!
//! A coordinator with little traffic would otherwise lose parts to each server of the zone to find it out.

use crate::router::RequestRouter;
use crate::server::Server;
use crate::tuning::{HEDGE_DELAY_SHARE, MAX_SLOWNESS_RATIO};
use cairnroad_types::{ServerId, Time};
use cairnroad_zone_outage::ServerObservation;

/// A zone that was unreachable for this share of the slow-start duration may have restarted, and goes through
/// slow start as if it had.
const RESTART_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Makes all servers of a zone outliers once the zone is found to be unreachable.
    pub(crate) fn detect_zone_outages(&mut self, now: Time) {
        let observations: Vec<ServerObservation> = self
            .ready_servers()
            .map(|(_, server)| self.zone_observation(now, server))
            .collect();
        let unreachable = self.zone_outages.detect_outages(now, &observations);
        for server in self.servers.values_mut() {
            if unreachable.contains(&server.zone) {
                server.slowness_ratio = MAX_SLOWNESS_RATIO;
                server.last_updated = now;
            }
        }
    }

    fn zone_observation(&self, now: Time, server: &Server) -> ServerObservation {
        ServerObservation {
            zone: server.zone,
            last_answered_send: server.last_answered_send,
            unanswered_since: server
                .unanswered_since
                .or_else(|| self.late_attempt_sent_at(now, server)),
        }
    }

    /// When the server's oldest attempt in flight was sent, if that is past the hedge delay.
    fn late_attempt_sent_at(&self, now: Time, server: &Server) -> Option<Time> {
        let oldest = server.in_flight.first()?;
        let attempt = self.attempts.get(&oldest.attempt)?;
        let objective = self.settings.classes[attempt.class].latency_objective;
        (now - attempt.sent_at >= objective * HEDGE_DELAY_SHARE).then_some(attempt.sent_at)
    }

    /// A server was heard from, which ends an outage of its zone.
    ///
    /// After a long outage the zone's servers may have restarted before the endpoint list tells so, and go
    /// through slow start.
    pub(crate) fn on_server_heard(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.unanswered_since = None;
        let zone = server.zone;
        let Some(outage_duration) = self.zone_outages.end_outage(now, zone) else {
            return;
        };
        let restarted = outage_duration > self.settings.slow_start_duration * RESTART_SHARE;
        for server in self.servers.values_mut() {
            if server.zone != zone {
                continue;
            }
            server.slowness_ratio = 1.0;
            server.unanswered_since = None;
            if restarted {
                server.ready_at = Some(now);
                server.slow_start_credit.parts = server.slow_start_credit.parts.min(0.0);
                server.slow_start_credit.updated_at = now;
            }
        }
    }
}
