//! What a server that has just started may be sent.

use crate::router::*;

/// Share of a cold server's stated limit that the nodes together may use; the rest is for chance.
const CAPACITY_MARGIN: f64 = 0.75;
/// What a cold server earned is kept for this share of the window in which its limit is counted: parts of one
/// query come together, and what is earned between two queries would be lost.
const BURST_SHARE: f64 = 0.1;

impl RequestRouter {
    /// The cold guard. A server that has just started earns parts at the stated multiple of its guaranteed
    /// capacity, taken to be what warm servers answer this node, its share of what they do for all. Fractions
    /// are carried over and begin at chance, so that sparse nodes send theirs, and not in step.
    pub(crate) fn slow_start_capacity(&mut self, now: Time, id: ServerId) -> bool {
        self.sample_throughput(now);
        let s = &self.settings;
        let Some(server) = self.servers.get_mut(&id) else {
            return false;
        };
        let Some(age) = server
            .ready_at
            .map(|at| (now - at).max(0.0))
            .filter(|&age| age < s.slow_start_duration)
        else {
            return true;
        };
        let ramp = s.slow_start_share
            + (1.0 - s.slow_start_share) * (age - s.overload_window / 2.0).max(0.0)
                / s.slow_start_duration;
        let earned =
            CAPACITY_MARGIN * s.overload_multiple * ramp * self.throughput.best() * server.size;
        let (earlier, at) = server.slow_start_credit;
        let most = (earned * s.overload_window * BURST_SHARE).max(1.0);
        server.slow_start_credit = ((earlier + earned * (now - at)).min(most), now);
        server.slow_start_credit.0 >= 1.0
    }

    /// Notes once a tick what a warm server of size 1 answers this node a second.
    fn sample_throughput(&mut self, now: Time) {
        if !self.throughput.start_sample(now) {
            return;
        }
        let span = self.settings.slow_start_duration * THROUGHPUT_SPAN_RAMPS;
        let seen = span
            .min(self.started_at.map_or(0.0, |at| now - at))
            .max(self.settings.overload_window);
        let warm_up = self.settings.slow_start_duration;
        let warm = |s: &&mut Server| {
            s.state == ServerState::Ready && s.ready_at.is_none_or(|at| now - at >= warm_up)
        };
        let counts = self
            .servers
            .values_mut()
            .filter(warm)
            .map(|s| ServerThroughput {
                answers: s.answers.count(now, span),
                size: s.size,
            });
        self.throughput.record(counts, seen);
    }
}
