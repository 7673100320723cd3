//! Timing of the graceful shutdown (SIGTERM), chosen so that no accepted request is lost.
//!
//! Clients keep sending on every open connection until the process is killed, and new connections keep arriving for a
//! while. So idle connections are closed first, then the listener; then partially received requests are rejected, and
//! the process ends once every request is answered. The time of the kill follows from the deployment's deadlines, and
//! every phase ends before the kill.

use cairnroad_types::{Seconds, Time};

/// Time from the shutdown request to the close of idle connections. New connections keep arriving for up to 0.4 s, and
/// clients keep using the connections they have.
const CLOSE_IDLE_AFTER: Seconds = 0.5;
/// Earliest close of the listener, counted from the shutdown request.
const EARLIEST_LISTENER_CLOSE: Seconds = 0.9;
/// Latest close of the listener, counted from the shutdown request. Clients that keep connecting must not delay the
/// end, because requests that are unanswered when the process is killed are lost.
const LATEST_LISTENER_CLOSE: Seconds = 1.2;
/// Earliest close of the listener, counted back from the kill. Short deadlines bring the kill forward, and the
/// connections accepted last need time for their requests.
const EARLIEST_LISTENER_CLOSE_BEFORE_KILL: Seconds = 0.5;
/// Latest close of the listener, counted back from the kill.
const LATEST_LISTENER_CLOSE_BEFORE_KILL: Seconds = 0.4;
/// Time without a new request after which the listener may close before its latest time.
const QUIET_PERIOD: Seconds = 0.4;
/// Time after the listener's close for partially received requests to become complete. A request sent in pieces is
/// complete within this time, and one that takes longer could not be answered before the kill.
const PARTIAL_REQUEST_GRACE: Seconds = 0.3;
/// Minimum time for a client to read the last response. A process that ends sooner resets connections with unread
/// bytes, and the response is lost.
const FINAL_RESPONSE_GRACE: Seconds = 0.05;
/// Time for which the last phase waits for connections without any request; they are closed by then.
const UNNOTIFIED_CONNECTION_GRACE: Seconds = 0.3;
/// Cap on the longest deadline when the time of the kill is computed.
const MAX_DEADLINE_COUNTED: Seconds = 3.0;
/// Minimum time from the longest deadline to the kill.
const KILL_DELAY: Seconds = 0.7;
/// Margin between the last response and the kill, for network latency and a busy processor.
const RESPONSE_MARGIN: Seconds = 0.1;

/// A phase of the shutdown. Phases only advance in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served; each response announces that its connection closes.
    Serving,
    /// Requests are served, and idle connections are closed.
    IdleConnectionsClosed,
    /// No new connection is accepted.
    ListenerClosed,
    /// Partially received requests are rejected.
    Rejecting,
    /// The process may end.
    Finished,
}

/// The state of the clients' connections that the phases depend on.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownObservation {
    /// When the last request arrived.
    pub last_request_at: Time,
    /// When the last response or rejection was written.
    pub last_response_at: Time,
    /// Connections with a partially received request.
    pub partial_requests: usize,
    /// Complete requests that are not answered yet.
    pub unanswered_requests: usize,
    /// Connections whose clients have not been told that the connection closes.
    pub unnotified_connections: usize,
}

/// The state of a graceful shutdown, from the signal on.
#[derive(Debug)]
pub struct GracefulShutdown {
    requested_at: Time,
    phase: ShutdownPhase,
    phase_since: Time,
    /// Time from the request to the earliest kill.
    kill_after: Seconds,
}

impl GracefulShutdown {
    /// Returns a shutdown requested at `now`. `longest_deadline` is the longest deadline of any class.
    pub fn new(now: Time, longest_deadline: Seconds) -> GracefulShutdown {
        GracefulShutdown {
            requested_at: now,
            phase: ShutdownPhase::Serving,
            phase_since: now,
            kill_after: longest_deadline.min(MAX_DEADLINE_COUNTED) + KILL_DELAY,
        }
    }

    /// Returns the time by which every request needs its final response.
    pub fn answer_deadline(&self) -> Time {
        self.requested_at + (self.kill_after - RESPONSE_MARGIN)
    }

    /// Enters the next phase if it is due, and returns the current phase.
    pub fn advance(&mut self, now: Time, observed: ShutdownObservation) -> ShutdownPhase {
        if let Some(next) = self.next_phase(now, observed) {
            self.phase = next;
            self.phase_since = now;
        }
        self.phase
    }

    fn next_phase(&self, now: Time, observed: ShutdownObservation) -> Option<ShutdownPhase> {
        let (is_due, next) = match self.phase {
            ShutdownPhase::Serving => (
                now - self.requested_at >= CLOSE_IDLE_AFTER,
                ShutdownPhase::IdleConnectionsClosed,
            ),
            ShutdownPhase::IdleConnectionsClosed => (
                self.may_close_listener(now, observed),
                ShutdownPhase::ListenerClosed,
            ),
            ShutdownPhase::ListenerClosed => {
                (self.may_reject(now, observed), ShutdownPhase::Rejecting)
            }
            ShutdownPhase::Rejecting => (self.may_finish(now, observed), ShutdownPhase::Finished),
            ShutdownPhase::Finished => return None,
        };
        is_due.then_some(next)
    }

    /// Returns whether the listener may close: once requests pause, and at the latest time in any case.
    fn may_close_listener(&self, now: Time, observed: ShutdownObservation) -> bool {
        let earliest = EARLIEST_LISTENER_CLOSE
            .min(self.kill_after - EARLIEST_LISTENER_CLOSE_BEFORE_KILL)
            .max(CLOSE_IDLE_AFTER);
        let latest = LATEST_LISTENER_CLOSE
            .min(self.kill_after - LATEST_LISTENER_CLOSE_BEFORE_KILL)
            .max(CLOSE_IDLE_AFTER);
        let age = now - self.requested_at;
        let is_quiet = now - observed.last_request_at >= QUIET_PERIOD;
        age >= latest || (age >= earliest && is_quiet)
    }

    /// Returns whether partial requests may be rejected: none is left, their grace period is over, or it is the latest
    /// time at which their clients can still read the rejection before the kill.
    fn may_reject(&self, now: Time, observed: ShutdownObservation) -> bool {
        let latest = self.kill_after - RESPONSE_MARGIN - FINAL_RESPONSE_GRACE;
        observed.partial_requests == 0
            || now - self.phase_since >= PARTIAL_REQUEST_GRACE
            || now - self.requested_at >= latest
    }

    /// Returns whether the process may end: every request is answered, the client had time to read the last response,
    /// and every client was notified or the wait for the others is over.
    fn may_finish(&self, now: Time, observed: ShutdownObservation) -> bool {
        let last_write = self.phase_since.max(observed.last_response_at);
        let last_response_read = now - last_write >= FINAL_RESPONSE_GRACE;
        let wait_is_over = now - self.phase_since >= UNNOTIFIED_CONNECTION_GRACE
            || now - self.requested_at >= self.kill_after - RESPONSE_MARGIN;
        let all_notified = observed.unnotified_connections == 0;
        observed.unanswered_requests == 0 && last_response_read && (all_notified || wait_is_over)
    }
}
