//! The order to stop (SIGTERM), a graceful shutdown: what is done when, so that nothing that was taken is lost.
//!
//! Clients go on sending on every connection that stays open until the program is killed, and new connections keep
//! coming for a while. So idle connections are closed, then nobody is accepted any more, then those who stand in the
//! middle of a request are refused, and the program ends once all is answered. When the kill comes follows from the
//! deployment's deadlines, and every phase is over before it.

use cairnroad_types::Time;

/// When idle connections are closed. New connections keep coming for up to 0.4 s, and clients use the ones they have.
const CLOSE_IDLE_AFTER: f64 = 0.5;
/// When nobody is accepted any more, at the earliest and at the latest. Those who go on coming must not hold the end up:
/// the program is killed, and what is unanswered then is lost.
const EARLIEST_LISTENER_CLOSE: f64 = 0.9;
const LATEST_LISTENER_CLOSE: f64 = 1.2;
/// The same, counted back from the kill: with short deadlines it comes sooner, and what is accepted last needs its time.
const EARLIEST_LISTENER_CLOSE_BEFORE_KILL: f64 = 0.5;
const LATEST_LISTENER_CLOSE_BEFORE_KILL: f64 = 0.4;
/// For how long no request may have come before that.
const QUIET_PERIOD: f64 = 0.4;
/// For how long after that the rest of a request that has begun to come is waited for. What comes in pieces comes
/// within this, and a request that comes much later could not be answered before the kill.
const PARTIAL_REQUEST_GRACE: f64 = 0.3;
/// How long a client is given to read what it was told last, at least. A process that ends sooner resets its
/// connections where bytes lie unread, and the answer goes with them.
const FINAL_RESPONSE_GRACE: f64 = 0.05;
/// How long connections on which nothing came are waited for at the end: they are closed by then.
const UNNOTIFIED_CONNECTION_GRACE: f64 = 0.3;
/// The kill comes no sooner than the longest deadline, counted as this where it is longer, and this after the order.
const MAX_DEADLINE_COUNTED: f64 = 3.0;
const KILL_DELAY: f64 = 0.7;
/// Answers leave this long before the kill: the way to the client and a busy processor take time.
const RESPONSE_MARGIN: f64 = 0.1;

/// What the program does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Everybody is served and told that the connection ends.
    Serving,
    /// Idle connections are closed, too.
    IdleConnectionsClosed,
    /// Nobody is accepted any more.
    ListenerClosed,
    /// What has come in part is refused.
    Rejecting,
    /// The program ends.
    Finished,
}

/// What it goes by.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownObservation {
    /// When the last request came.
    pub last_request_at: Time,
    /// When the last answer, or refusal, was written.
    pub last_response_at: Time,
    /// Connections that stand in the middle of a request.
    pub partial_requests: usize,
    /// Requests that came and aren't answered.
    pub unanswered_requests: usize,
    /// Connections whose clients have not been told of the end.
    pub unnotified_connections: usize,
}

/// One order to stop, from its moment on.
#[derive(Debug)]
pub struct GracefulShutdown {
    ordered: Time,
    step: ShutdownPhase,
    since: Time,
    /// Seconds from the order to the kill, at the soonest.
    kill: f64,
}

impl GracefulShutdown {
    /// The order came now; `longest` is the longest deadline of all classes, in seconds.
    pub fn new(now: Time, longest: f64) -> GracefulShutdown {
        GracefulShutdown {
            ordered: now,
            step: ShutdownPhase::Serving,
            since: now,
            kill: longest.min(MAX_DEADLINE_COUNTED) + KILL_DELAY,
        }
    }

    /// The moment by which every request has to have its final answer.
    pub fn answer_deadline(&self) -> Time {
        self.ordered + (self.kill - RESPONSE_MARGIN)
    }

    /// What is done now. It only goes forward.
    pub fn advance(&mut self, now: Time, seen: ShutdownObservation) -> ShutdownPhase {
        let (age, for_so_long) = (now - self.ordered, now - self.since);
        let quiet = now - seen.last_request_at >= QUIET_PERIOD;
        let earliest = EARLIEST_LISTENER_CLOSE
            .min(self.kill - EARLIEST_LISTENER_CLOSE_BEFORE_KILL)
            .max(CLOSE_IDLE_AFTER);
        let latest = LATEST_LISTENER_CLOSE
            .min(self.kill - LATEST_LISTENER_CLOSE_BEFORE_KILL)
            .max(CLOSE_IDLE_AFTER);
        // Whoever is refused needs time to read it, too.
        let refused_by = self.kill - RESPONSE_MARGIN - FINAL_RESPONSE_GRACE;
        let told = now - self.since.max(seen.last_response_at) >= FINAL_RESPONSE_GRACE;
        let waited =
            for_so_long >= UNNOTIFIED_CONNECTION_GRACE || age >= self.kill - RESPONSE_MARGIN;
        let next = match self.step {
            ShutdownPhase::Serving if age >= CLOSE_IDLE_AFTER => {
                ShutdownPhase::IdleConnectionsClosed
            }
            ShutdownPhase::IdleConnectionsClosed if age >= latest || (age >= earliest && quiet) => {
                ShutdownPhase::ListenerClosed
            }
            ShutdownPhase::ListenerClosed
                if seen.partial_requests == 0
                    || for_so_long >= PARTIAL_REQUEST_GRACE
                    || age >= refused_by =>
            {
                ShutdownPhase::Rejecting
            }
            ShutdownPhase::Rejecting
                if seen.unanswered_requests == 0
                    && told
                    && (seen.unnotified_connections == 0 || waited) =>
            {
                ShutdownPhase::Finished
            }
            step => step,
        };
        if next != self.step {
            (self.step, self.since) = (next, now);
        }
        self.step
    }
}
