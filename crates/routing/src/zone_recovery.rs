//! Handling of zone outages and of zones that recover.
//!
//! Without it, a coordinator with little traffic would lose parts to each server of an unreachable zone
//! before it avoids that server.

use crate::router::RequestRouter;
use crate::server::Server;
use crate::tuning::{HEDGE_DELAY_SHARE, MAX_SLOWNESS_RATIO};
use cairnroad_types::{ServerId, Time};
use cairnroad_zone_outage::ServerObservation;

/// The servers of a zone that was unreachable for longer than this share of the slow-start duration may have
/// restarted, and go through slow start as if they had.
const RESTART_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Detects zone outages and makes all servers of an unreachable zone outliers.
    pub(crate) fn detect_zone_outages(&mut self, now: Time) {
        let observations: Vec<ServerObservation> = self
            .ready_servers()
            .map(|(_, server)| self.server_observation(now, server))
            .collect();
        let unreachable = self.zone_outages.detect_outages(now, &observations);
        for server in self.servers.values_mut() {
            if unreachable.contains(&server.zone) {
                server.slowness_ratio = MAX_SLOWNESS_RATIO;
                server.last_updated = now;
            }
        }
    }

    fn server_observation(&self, now: Time, server: &Server) -> ServerObservation {
        ServerObservation {
            zone: server.zone,
            last_answered_send: server.last_answered_send,
            unanswered_since: server
                .unanswered_since
                .or_else(|| self.oldest_send_past_hedge_delay(now, server)),
        }
    }

    /// Returns when the server's oldest attempt in flight was sent; `None` if the hedge delay hasn't passed
    /// since.
    fn oldest_send_past_hedge_delay(&self, now: Time, server: &Server) -> Option<Time> {
        let oldest = server.in_flight.first()?;
        let attempt = self.attempts.get(&oldest.attempt)?;
        let objective = self.settings.classes[attempt.class].latency_objective;
        (now - attempt.sent_at >= objective * HEDGE_DELAY_SHARE).then_some(attempt.sent_at)
    }

    /// Records that a server responded, which ends an outage of its zone.
    ///
    /// After a long outage the zone's servers go through slow start, because they may have restarted before the
    /// endpoint list shows it.
    pub(crate) fn on_server_response(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.unanswered_since = None;
        let zone = server.zone;
        let Some(outage_duration) = self.zone_outages.end_outage(now, zone) else {
            return;
        };
        let may_have_restarted =
            outage_duration > self.settings.slow_start_duration * RESTART_SHARE;
        for server in self.servers.values_mut() {
            if server.zone != zone {
                continue;
            }
            server.slowness_ratio = 1.0;
            server.unanswered_since = None;
            if may_have_restarted {
                server.ready_at = Some(now);
                server.slow_start_credit.parts = server.slow_start_credit.parts.min(0.0);
                server.slow_start_credit.updated_at = now;
            }
        }
    }
}
