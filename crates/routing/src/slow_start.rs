//! What a server that has just started may be sent.

use crate::router::RequestRouter;
use crate::server::Server;
use cairnroad_flow_control::ServerThroughput;
use cairnroad_types::{Seconds, ServerId, ServerState, Settings, Time};

/// Share of the stated limit of a server in slow start that the coordinators together may use; the rest is
/// for chance.
const CAPACITY_MARGIN: f64 = 0.75;
/// Credit is saved up for this share of the window in which the limit is counted: parts of one query come
/// together, and credit that is earned between two queries would be lost.
const BURST_SHARE: f64 = 0.1;

impl RequestRouter {
    /// Whether a server may be sent a part now as far as its slow start is concerned.
    ///
    /// A server in slow start earns parts at the stated multiple of its guaranteed capacity. That is taken to be
    /// what warm servers answer this coordinator, its share of what they do for all. Fractions are carried over
    /// and begin at random, so that coordinators with little traffic send theirs, and not in step.
    pub(crate) fn has_slow_start_capacity(&mut self, now: Time, id: ServerId) -> bool {
        self.sample_throughput(now);
        let settings = &self.settings;
        let Some(server) = self.servers.get_mut(&id) else {
            return false;
        };
        let Some(age) = server.slow_start_age(now, settings.slow_start_duration) else {
            return true;
        };
        let rate = CAPACITY_MARGIN
            * settings.overload_multiple
            * ramp(settings, age)
            * self.throughput.best()
            * server.relative_capacity;
        let limit = (rate * settings.overload_window * BURST_SHARE).max(1.0);
        server.slow_start_credit.accrue(now, rate, limit);
        server.slow_start_credit.parts >= 1.0
    }

    /// Samples, once a moment, what a warm server of size 1 answers this coordinator a second.
    fn sample_throughput(&mut self, now: Time) {
        if !self.throughput.try_start_sample(now) {
            return;
        }
        let span = self.throughput_span();
        let uptime = self.started_at.map_or(0.0, |at| now - at);
        let observed = span.min(uptime).max(self.settings.overload_window);
        let slow_start = self.settings.slow_start_duration;
        let samples = self
            .servers
            .values()
            .filter(|server| is_warm(now, server, slow_start))
            .map(|server| ServerThroughput {
                answers: server.recent_answers.count(now, span),
                relative_capacity: server.relative_capacity,
            });
        self.throughput.record(samples, observed);
    }
}

/// The share of its full rate that a server of this age has reached, from `slow_start_share` up to 1.
///
/// Half of the window in which the limit is counted is taken off the age, as the limit is that of the window's
/// begin.
fn ramp(settings: &Settings, age: Seconds) -> f64 {
    let counted_age = (age - settings.overload_window / 2.0).max(0.0);
    let share = settings.slow_start_share;
    share + (1.0 - share) * counted_age / settings.slow_start_duration
}

fn is_warm(now: Time, server: &Server, slow_start: Seconds) -> bool {
    server.state == ServerState::Ready && server.ready_at.is_none_or(|at| now - at >= slow_start)
}
