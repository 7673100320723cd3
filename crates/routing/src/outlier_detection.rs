//! Which servers are outliers, from the outcomes of this router's own attempts.
//!
//! One figure a server, its slowness ratio, covers slow, failing, rejecting and silent servers. It is relative
//! to the class's typical latency, so that a general slowdown makes no server an outlier. Health checks and
//! the advice of other coordinators add to it: see `health_checks`.

use crate::attempt::Attempt;
use crate::router::RequestRouter;
use crate::server::{Server, SlownessSample, ANSWER_GAIN};
use crate::tuning::{MAX_SLOWNESS_RATIO, MIN_LATENCY, OUTLIER_RATIO, TYPICAL_LATENCY_GAIN};
use cairnroad_types::{Outcome, Seconds, Time};

/// Weight of one unanswered part in a server's slowness ratio: surer evidence than a slow answer.
const SILENCE_GAIN: f64 = 0.5;

impl RequestRouter {
    /// Updates a server's health by the outcome of one attempt.
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
        if leaves_unanswered(now, attempt, outcome) {
            server.unanswered_since.get_or_insert(attempt.sent_at);
        }
        server.update_slowness(now, &sample, self.recent_span);
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
        if server.answers_as_outlier() {
            self.schedule_health_checks(now);
        }
    }

    /// Counts an answer for its class's typical latency and for its server's throughput.
    fn record_answer(&mut self, now: Time, attempt: &Attempt) {
        let span = self.throughput_span();
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        // An outlier's slowness is its own or its path's, and counts less for the class.
        let outlier_discount = if server.answers_as_outlier() {
            ANSWER_GAIN
        } else {
            1.0
        };
        let latency = &mut self.class_latency[attempt.class];
        let elapsed: Seconds = now - attempt.sent_at;
        latency.typical += (elapsed - latency.typical) * TYPICAL_LATENCY_GAIN * outlier_discount;
        latency.updated_at = now;
        server.last_answered_send = server.last_answered_send.max(attempt.sent_at);
        server.recent_answers.push(now, span);
    }

    /// Whether a server is an outlier: by its own answers or, while that is recent, by a health check.
    pub(crate) fn is_outlier(&self, now: Time, server: &Server) -> bool {
        server.is_outlier(now, self.recent_span)
    }
}

/// What an outcome says of a server's slowness; `None` for an attempt that was never sent.
///
/// Silence so far says something only if it is worse than what was known.
fn slowness_sample(outcome: Outcome, ratio: f64, known_ratio: f64) -> Option<SlownessSample> {
    match outcome {
        Outcome::NotSent => None,
        Outcome::Ok => Some(SlownessSample {
            ratio,
            gain: ANSWER_GAIN,
        }),
        Outcome::Cancelled | Outcome::Timeout => Some(SlownessSample {
            ratio: ratio.max(known_ratio),
            gain: SILENCE_GAIN,
        }),
        _ => Some(SlownessSample {
            ratio: MAX_SLOWNESS_RATIO,
            gain: ANSWER_GAIN,
        }),
    }
}

/// Whether the server left the attempt unanswered past its time, which an outage of its zone would explain.
fn leaves_unanswered(now: Time, attempt: &Attempt, outcome: Outcome) -> bool {
    match outcome {
        Outcome::ConnectFailed => true,
        Outcome::Cancelled | Outcome::Timeout => now >= attempt.overdue_at,
        _ => false,
    }
}
