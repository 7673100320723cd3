//! Slow start: limits the parts sent to a server that has just started.

use crate::router::RequestRouter;
use crate::server::Server;
use cairnroad_flow_control::ServerThroughput;
use cairnroad_types::{Seconds, ServerId, ServerState, Settings, Time};

/// Share of the limit of a server in slow start that all coordinators together use on average. The rest is a
/// margin for random variation.
const USABLE_LIMIT_SHARE: f64 = 0.75;
/// Credit accumulates over up to this share of the window in which the limit is counted. The parts of one
/// query are sent together, and without accumulation the credit earned between two queries would be lost.
const BURST_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Returns whether a server's slow start allows another part now. Always `true` for a warm server.
    ///
    /// A server in slow start earns credit for parts at `overload_multiple` times its guaranteed capacity.
    /// This coordinator estimates its share of that capacity by the rate at which warm servers answer it.
    /// Fractions of a part are carried over, so that coordinators with little traffic use their share, too.
    /// Their initial value is random, so that coordinators don't send their first parts at the same time.
    pub(crate) fn has_slow_start_capacity(&mut self, now: Time, id: ServerId) -> bool {
        self.sample_throughput(now);
        let settings = &self.settings;
        let Some(server) = self.servers.get_mut(&id) else {
            return false;
        };
        let Some(age) = server.slow_start_age(now, settings.slow_start_duration) else {
            return true;
        };
        let rate = USABLE_LIMIT_SHARE
            * settings.overload_multiple
            * capacity_share(settings, age)
            * self.throughput_estimate.best()
            * server.relative_capacity;
        let limit = (rate * settings.overload_window * BURST_SHARE).max(1.0);
        server.slow_start_credit.accrue(now, rate, limit);
        server.slow_start_credit.parts >= 1.0
    }

    /// Samples the rate at which warm servers answer this coordinator, once per value of `now`.
    fn sample_throughput(&mut self, now: Time) {
        if !self.throughput_estimate.try_start_sample(now) {
            return;
        }
        let window = self.throughput_window();
        let uptime = self.started_at.map_or(0.0, |at| now - at);
        let observed = window.min(uptime).max(self.settings.overload_window);
        let slow_start = self.settings.slow_start_duration;
        let samples = self
            .servers
            .values()
            .filter(|server| is_warm(now, server, slow_start))
            .map(|server| ServerThroughput {
                answers: server.recent_answers.count(now, window),
                relative_capacity: server.relative_capacity,
            });
        self.throughput_estimate.record(samples, observed);
    }
}

/// Returns the share of its full capacity that a server of this age has reached: `slow_start_share` to 1.
///
/// Half of the window in which the limit is counted is subtracted from the age, because the limit is that of
/// the beginning of the window.
fn capacity_share(settings: &Settings, age: Seconds) -> f64 {
    let effective_age = (age - settings.overload_window / 2.0).max(0.0);
    let share = settings.slow_start_share;
    share + (1.0 - share) * effective_age / settings.slow_start_duration
}

fn is_warm(now: Time, server: &Server, slow_start: Seconds) -> bool {
    server.state == ServerState::Ready && server.ready_at.is_none_or(|at| now - at >= slow_start)
}
