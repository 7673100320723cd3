//! What the router knows of one server.

use crate::attempt::InFlight;
use crate::tuning::OUTLIER_RATIO;
use cairnroad_flow_control::SlidingWindow;
use cairnroad_types::{Endpoint, Seconds, ServerState, Time};
use std::collections::BTreeSet;

/// Weight of one answer in a server's figures, which thus cover the last few.
pub(crate) const ANSWER_GAIN: f64 = 0.3;

/// A smoothed latency.
#[derive(Clone, Copy, Default)]
pub(crate) struct SmoothedLatency {
    pub(crate) seconds: Seconds,
    pub(crate) updated_at: Time,
}

/// The parts that a server in slow start may be sent.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit {
    pub(crate) parts: f64,
    pub(crate) updated_at: Time,
}

impl SlowStartCredit {
    /// Adds what was earned at `rate` parts a second since the last update, up to `limit` parts.
    pub(crate) fn accrue(&mut self, now: Time, rate: f64, limit: f64) {
        self.parts = (self.parts + rate * (now - self.updated_at)).min(limit);
        self.updated_at = now;
    }
}

/// What one outcome says of a server's slowness.
pub(crate) struct SlownessSample {
    /// Latency over the class's typical latency.
    pub(crate) ratio: f64,
    /// The sample's weight, from 0 to 1.
    pub(crate) gain: f64,
}

/// One server: what the endpoint list says of it, and what this router's own sends met.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) cell: u32,
    /// 0 if the list doesn't tell it.
    pub(crate) zone: u32,
    /// Capacity relative to a standard server.
    pub(crate) relative_capacity: f64,
    /// Its share of turns, relative to the other replicas.
    pub(crate) weight: f64,
    pub(crate) state: ServerState,
    pub(crate) ready_at: Option<Time>,
    /// The generation of the endpoint list that brought it to its cell.
    pub(crate) generation: u64,

    /// Turns that it is owed, in units of weight.
    pub(crate) round_robin_credit: f64,
    /// When its last turn was, as a count of turns; negative before the first.
    pub(crate) last_turn: i64,
    pub(crate) last_sent: Time,
    /// Attempts in flight, by the moment at which they are overdue.
    pub(crate) in_flight: BTreeSet<InFlight>,

    /// Latencies over the typical ones, smoothed. Errors and silence count as slow answers.
    pub(crate) slowness_ratio: f64,
    /// When the slowness ratio was last updated.
    pub(crate) last_updated: Time,
    /// What its last health check makes of it, on the scale of the slowness ratio. Own answers override it.
    pub(crate) health_check_ratio: f64,
    /// When the last health check was sent, or another coordinator's outlier advice was received.
    pub(crate) last_health_check: Time,
    /// Latency, smoothed. Silence counts at its length so far.
    pub(crate) smoothed_latency: SmoothedLatency,
    /// The first send that it left unanswered past its time since it was last heard from.
    pub(crate) unanswered_since: Option<Time>,
    /// The latest send that it answered. Older parts in flight were overtaken: they are long, not queued.
    pub(crate) last_answered_send: Time,
    /// Answers within the span of the throughput estimate.
    pub(crate) recent_answers: SlidingWindow,
    pub(crate) slow_start_credit: SlowStartCredit,
}

impl Server {
    /// Creates a server that was just listed and of which nothing else is known.
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

    /// Whether its own answers, or a health check within the recent span, make it an outlier.
    pub(crate) fn is_outlier(&self, now: Time, recent_span: Seconds) -> bool {
        self.answers_as_outlier() || self.failed_recent_health_check(now, recent_span)
    }

    /// Whether its own answers make it an outlier.
    pub(crate) fn answers_as_outlier(&self) -> bool {
        self.slowness_ratio > OUTLIER_RATIO
    }

    /// Whether a health check or outlier advice within the recent span speaks against it.
    pub(crate) fn failed_recent_health_check(&self, now: Time, recent_span: Seconds) -> bool {
        self.health_check_ratio > OUTLIER_RATIO && now - self.last_health_check < recent_span
    }

    /// Whether an attempt in flight is overdue.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        self.in_flight
            .first()
            .is_some_and(|oldest| oldest.overdue_at <= now)
    }

    /// Its time since it became ready in seconds, while that is within the slow start. Not negative.
    pub(crate) fn slow_start_age(&self, now: Time, duration: Seconds) -> Option<Seconds> {
        let age = (now - self.ready_at?).max(0.0);
        (age < duration).then_some(age)
    }

    /// Notes an attempt that is sent to it, as its turn number `turn`.
    pub(crate) fn on_send(&mut self, now: Time, turn: i64, attempt: InFlight) {
        self.last_turn = turn;
        self.last_sent = now;
        self.slow_start_credit.parts -= 1.0;
        self.in_flight.insert(attempt);
    }

    /// Adds a sample to the slowness ratio. What was known fades with the time since the last sample.
    pub(crate) fn update_slowness(
        &mut self,
        now: Time,
        sample: &SlownessSample,
        recent_span: Seconds,
    ) {
        let memory = (-(now - self.last_updated).max(0.0) / recent_span).exp();
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
