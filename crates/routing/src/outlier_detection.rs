//! Detection of outliers from the outcomes of this router's own attempts.
//!
//! One figure per server, the slowness ratio, covers slow, failing, rejecting and unresponsive servers. It is
//! relative to the class's typical latency, so that a general slowdown makes no server an outlier. Health
//! checks and the advice of other coordinators supplement it: see `health_checks`.

use crate::attempt::Attempt;
use crate::router::RequestRouter;
use crate::server::{Server, SlownessSample, ANSWER_GAIN};
use crate::tuning::{MAX_SLOWNESS_RATIO, MIN_LATENCY, OUTLIER_RATIO, TYPICAL_LATENCY_GAIN};
use cairnroad_types::{Outcome, Seconds, Time};

/// Weight of one unanswered attempt in a server's slowness ratio. It is stronger evidence than a slow answer.
const UNANSWERED_GAIN: f64 = 0.5;

impl RequestRouter {
    /// Updates a server's health from the outcome of one attempt.
    pub(crate) fn record_outcome(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let elapsed = now - attempt.sent_at;
        let typical = self.class_latency[attempt.class].typical;
        let ratio = (elapsed / typical.max(MIN_LATENCY)).min(MAX_SLOWNESS_RATIO);
        let Some(server) = self.servers.get(&attempt.server) else {
            return;
        };
        let Some(sample) = slowness_sample(outcome, ratio, server.slowness_ratio) else {
            return;
        };
        if outcome == Outcome::Ok {
            self.record_answer(now, attempt);
        }
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        if is_unanswered_and_overdue(now, attempt, outcome) {
            server.unanswered_since.get_or_insert(attempt.sent_at);
        }
        server.update_slowness(now, &sample, self.recent_window);
        if outcome == Outcome::Ok && ratio < OUTLIER_RATIO {
            server.health_check_ratio = 1.0;
        }
        let latency = match outcome {
            Outcome::Ok => Some(elapsed),
            Outcome::Cancelled | Outcome::Timeout => {
                Some(elapsed.max(server.smoothed_latency.seconds))
            }
            Outcome::Rejected => Some(self.settings.classes[attempt.class].latency_objective),
            _ => None,
        };
        if let Some(latency) = latency {
            server.update_latency(now, latency);
        }
        if server.is_outlier_by_outcomes() {
            self.schedule_health_checks(now);
        }
    }

    /// Adds an answer to its class's typical latency and to its server's throughput.
    fn record_answer(&mut self, now: Time, attempt: &Attempt) {
        let window = self.throughput_window();
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        // The slowness of an outlier is that of the server or of the path to it, so it counts less for the
        // class.
        let outlier_discount = if server.is_outlier_by_outcomes() {
            ANSWER_GAIN
        } else {
            1.0
        };
        let latency = &mut self.class_latency[attempt.class];
        let elapsed: Seconds = now - attempt.sent_at;
        latency.typical += (elapsed - latency.typical) * TYPICAL_LATENCY_GAIN * outlier_discount;
        latency.updated_at = now;
        server.last_answered_send = server.last_answered_send.max(attempt.sent_at);
        server.recent_answers.push(now, window);
    }

    /// Returns whether a server is an outlier by its outcomes, or by a recent health check or outlier advice.
    pub(crate) fn is_outlier(&self, now: Time, server: &Server) -> bool {
        server.is_outlier(now, self.recent_window)
    }
}

/// Returns the slowness sample of an outcome; `None` for an attempt that was never sent.
///
/// An attempt that ended unanswered can only raise the slowness ratio: the elapsed time is a lower limit of its
/// latency.
fn slowness_sample(outcome: Outcome, ratio: f64, previous_ratio: f64) -> Option<SlownessSample> {
    match outcome {
        Outcome::NotSent => None,
        Outcome::Ok => Some(SlownessSample {
            ratio,
            gain: ANSWER_GAIN,
        }),
        Outcome::Cancelled | Outcome::Timeout => Some(SlownessSample {
            ratio: ratio.max(previous_ratio),
            gain: UNANSWERED_GAIN,
        }),
        _ => Some(SlownessSample {
            ratio: MAX_SLOWNESS_RATIO,
            gain: ANSWER_GAIN,
        }),
    }
}

/// Returns whether the attempt ended unanswered after it was overdue, which an outage of the server's zone
/// would explain. A failed connect counts, too.
fn is_unanswered_and_overdue(now: Time, attempt: &Attempt, outcome: Outcome) -> bool {
    match outcome {
        Outcome::ConnectFailed => true,
        Outcome::Cancelled | Outcome::Timeout => now >= attempt.overdue_at,
        _ => false,
    }
}
