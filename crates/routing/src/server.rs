//! The router's state of one server.

use crate::attempt::InFlightAttempt;
use crate::tuning::OUTLIER_RATIO;
use cairnroad_flow_control::SlidingWindow;
use cairnroad_types::{Endpoint, Seconds, ServerState, Time};
use std::collections::BTreeSet;

/// Weight of one answer in a server's smoothed figures, which thus cover the last few answers.
pub(crate) const ANSWER_GAIN: f64 = 0.3;

/// A smoothed latency.
#[derive(Clone, Copy, Default)]
pub(crate) struct SmoothedLatency {
    pub(crate) seconds: Seconds,
    pub(crate) updated_at: Time,
}

/// Credit for parts that a server in slow start may be sent.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit {
    pub(crate) parts: f64,
    pub(crate) updated_at: Time,
}

impl SlowStartCredit {
    /// Adds the credit earned since the last update at `rate` parts per second, up to a total of `limit` parts.
    pub(crate) fn accrue(&mut self, now: Time, rate: f64, limit: f64) {
        self.parts = (self.parts + rate * (now - self.updated_at)).min(limit);
        self.updated_at = now;
    }
}

/// Sample of a server's slowness, from one outcome.
pub(crate) struct SlownessSample {
    /// Latency as a multiple of the class's typical latency.
    pub(crate) ratio: f64,
    /// Weight of the sample, from 0 to 1.
    pub(crate) gain: f64,
}

/// One server: its properties from the endpoint list, and its health from this router's own attempts.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) cell: u32,
    /// 0 if the zone is unknown.
    pub(crate) zone: u32,
    /// Capacity relative to a standard server, which has 1.
    pub(crate) relative_capacity: f64,
    /// Share of turns relative to the other replicas.
    pub(crate) weight: f64,
    pub(crate) state: ServerState,
    pub(crate) ready_at: Option<Time>,
    /// Generation of the endpoint list that placed the server in its cell.
    pub(crate) list_generation: u64,

    /// Turns that the server is owed, in units of weight.
    pub(crate) round_robin_credit: f64,
    /// Number of the server's last turn, counted over all servers; negative before its first turn.
    pub(crate) last_turn: i64,
    pub(crate) last_sent: Time,
    /// Attempts in flight, ordered by the moment at which they are overdue.
    pub(crate) in_flight: BTreeSet<InFlightAttempt>,

    /// Smoothed latency as a multiple of the typical latency. Errors and unanswered attempts count as slow
    /// answers.
    pub(crate) slowness_ratio: f64,
    /// When the slowness ratio was last updated.
    pub(crate) last_updated: Time,
    /// Rating by the last health check or outlier advice, on the scale of the slowness ratio. Answers to this
    /// router override it.
    pub(crate) health_check_ratio: f64,
    /// When the last health check was sent or outlier advice was received.
    pub(crate) last_health_check: Time,
    /// Smoothed latency. An attempt that ended unanswered counts with the time elapsed until then.
    pub(crate) smoothed_latency: SmoothedLatency,
    /// Send time of the first attempt since the server's last response that it left unanswered until the
    /// attempt was overdue.
    pub(crate) unanswered_since: Option<Time>,
    /// Send time of the latest attempt that the server answered. Older attempts in flight were overtaken, so
    /// they are long-running rather than queued.
    pub(crate) last_answered_send: Time,
    /// Answers within the window of the throughput estimate.
    pub(crate) recent_answers: SlidingWindow,
    pub(crate) slow_start_credit: SlowStartCredit,
}

impl Server {
    /// Creates a server that was just added to the endpoint list.
    pub(crate) fn new(
        now: Time,
        endpoint: &Endpoint,
        last_turn: i64,
        slow_start_credit: SlowStartCredit,
    ) -> Self {
        Server {
            last_turn,
            slowness_ratio: 1.0,
            health_check_ratio: 1.0,
            last_updated: now,
            last_sent: now,
            smoothed_latency: SmoothedLatency {
                seconds: 0.0,
                updated_at: now,
            },
            ready_at: endpoint.ready_at,
            slow_start_credit,
            ..Server::default()
        }
    }

    /// Returns whether the server is an outlier by its outcomes, or by a health check or advice within
    /// `recent_window`.
    pub(crate) fn is_outlier(&self, now: Time, recent_window: Seconds) -> bool {
        self.is_outlier_by_outcomes() || self.failed_recent_health_check(now, recent_window)
    }

    /// Returns whether the server is an outlier by the outcomes of this router's attempts.
    pub(crate) fn is_outlier_by_outcomes(&self) -> bool {
        self.slowness_ratio > OUTLIER_RATIO
    }

    /// Returns whether the server failed a health check, or was reported by outlier advice, within
    /// `recent_window`.
    pub(crate) fn failed_recent_health_check(&self, now: Time, recent_window: Seconds) -> bool {
        self.health_check_ratio > OUTLIER_RATIO && now - self.last_health_check < recent_window
    }

    /// Returns whether an attempt in flight is overdue.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        self.in_flight
            .first()
            .is_some_and(|oldest| oldest.overdue_at <= now)
    }

    /// Returns the seconds since the server became ready, from 0; `None` if the server isn't in slow start.
    pub(crate) fn slow_start_age(&self, now: Time, duration: Seconds) -> Option<Seconds> {
        let age = (now - self.ready_at?).max(0.0);
        (age < duration).then_some(age)
    }

    /// Records an attempt that is sent to the server as turn number `turn`.
    pub(crate) fn on_send(&mut self, now: Time, turn: i64, attempt: InFlightAttempt) {
        self.last_turn = turn;
        self.last_sent = now;
        self.slow_start_credit.parts -= 1.0;
        self.in_flight.insert(attempt);
    }

    /// Adds a sample to the slowness ratio. Earlier samples lose weight with the time since the last one.
    pub(crate) fn update_slowness(
        &mut self,
        now: Time,
        sample: &SlownessSample,
        recent_window: Seconds,
    ) {
        let memory = (-(now - self.last_updated).max(0.0) / recent_window).exp();
        let gain = 1.0 - (1.0 - sample.gain) * memory;
        self.slowness_ratio += (sample.ratio - self.slowness_ratio) * gain;
        self.last_updated = now;
    }

    /// Adds a sample to the smoothed latency.
    pub(crate) fn update_latency(&mut self, now: Time, sample: Seconds) {
        let latency = &mut self.smoothed_latency;
        latency.seconds += (sample - latency.seconds) * ANSWER_GAIN;
        latency.updated_at = now;
    }
}
