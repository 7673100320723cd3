//! The graceful shutdown (SIGTERM): when each phase begins, so that no accepted request is lost.
//!
//! Clients keep sending on every open connection until the process is killed, and new connections keep arriving for a
//! while. So idle connections are closed first, then the listener, then partially received requests are rejected, and
//! the process ends once everything is answered. The time of the kill follows from the deployment's deadlines, and
//! every phase is over before it.

use cairnroad_types::{Seconds, Time};

/// When idle connections are closed. New connections keep arriving for up to 0.4 s, and clients use the ones they have.
const CLOSE_IDLE_AFTER: Seconds = 0.5;
/// Earliest close of the listener.
const EARLIEST_LISTENER_CLOSE: Seconds = 0.9;
/// Latest close of the listener. Clients that keep connecting must not delay the end: what is unanswered when the
/// process is killed is lost.
const LATEST_LISTENER_CLOSE: Seconds = 1.2;
/// Earliest close of the listener, counted back from the kill. Short deadlines bring the kill forward, and the
/// connections accepted last need their time.
const EARLIEST_LISTENER_CLOSE_BEFORE_KILL: Seconds = 0.5;
/// Latest close of the listener, counted back from the kill.
const LATEST_LISTENER_CLOSE_BEFORE_KILL: Seconds = 0.4;
/// How long no request may have arrived before the listener closes early.
const QUIET_PERIOD: Seconds = 0.4;
/// How long after the listener's close partially received requests are waited for. A request sent in pieces is
/// complete within this time, and one that takes longer could not be answered before the kill.
const PARTIAL_REQUEST_GRACE: Seconds = 0.3;
/// Shortest time a client gets to read the last response. A process that ends sooner resets connections with unread
/// bytes, and the response is lost with them.
const FINAL_RESPONSE_GRACE: Seconds = 0.05;
/// How long connections without any request are waited for at the end: they are closed by then.
const UNNOTIFIED_CONNECTION_GRACE: Seconds = 0.3;
/// Longest deadline that postpones the kill.
const MAX_DEADLINE_COUNTED: Seconds = 3.0;
/// The kill comes no sooner than this after the longest deadline.
const KILL_DELAY: Seconds = 0.7;
/// Responses are written this long before the kill: the way to the client and a busy processor take time.
const RESPONSE_MARGIN: Seconds = 0.1;

/// A phase of the shutdown. Phases only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Every request is served; its response announces that the connection closes.
    Serving,
    /// In addition, idle connections are closed.
    IdleConnectionsClosed,
    /// No connection is accepted.
    ListenerClosed,
    /// Partially received requests are rejected.
    Rejecting,
    /// The process ends.
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
    /// Requests received and not answered.
    pub unanswered_requests: usize,
    /// Connections whose clients have not been told that they close.
    pub unnotified_connections: usize,
}

/// One shutdown, from the signal on.
#[derive(Debug)]
pub struct GracefulShutdown {
    requested_at: Time,
    phase: ShutdownPhase,
    phase_since: Time,
    /// Earliest kill, counted from the request.
    kill_after: Seconds,
}

impl GracefulShutdown {
    /// Returns a shutdown requested now; `longest_deadline` is that of all classes.
    pub fn new(now: Time, longest_deadline: Seconds) -> GracefulShutdown {
        GracefulShutdown {
            requested_at: now,
            phase: ShutdownPhase::Serving,
            phase_since: now,
            kill_after: longest_deadline.min(MAX_DEADLINE_COUNTED) + KILL_DELAY,
        }
    }

    /// Returns the moment by which every request needs its final response.
    pub fn answer_deadline(&self) -> Time {
        self.requested_at + (self.kill_after - RESPONSE_MARGIN)
    }

    /// Moves to the next phase if it is due, and returns the phase in force.
    pub fn advance(&mut self, now: Time, observed: ShutdownObservation) -> ShutdownPhase {
        if let Some(next) = self.next_phase(now, observed) {
            self.phase = next;
            self.phase_since = now;
        }
        self.phase
    }

    fn next_phase(&self, now: Time, observed: ShutdownObservation) -> Option<ShutdownPhase> {
        let (due, next) = match self.phase {
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
        due.then_some(next)
    }

    /// The listener closes once requests pause, and at the latest moment in any case.
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

    /// Partial requests are rejected early enough that their clients can read the rejection before the kill.
    fn may_reject(&self, now: Time, observed: ShutdownObservation) -> bool {
        let latest = self.kill_after - RESPONSE_MARGIN - FINAL_RESPONSE_GRACE;
        observed.partial_requests == 0
            || now - self.phase_since >= PARTIAL_REQUEST_GRACE
            || now - self.requested_at >= latest
    }

    /// The process ends once all is answered, the last response had time to be read, and no client is left unnotified
    /// or has been waited for long enough.
    fn may_finish(&self, now: Time, observed: ShutdownObservation) -> bool {
        let last_write = self.phase_since.max(observed.last_response_at);
        let was_read = now - last_write >= FINAL_RESPONSE_GRACE;
        let waited_enough = now - self.phase_since >= UNNOTIFIED_CONNECTION_GRACE
            || now - self.requested_at >= self.kill_after - RESPONSE_MARGIN;
        let all_notified = observed.unnotified_connections == 0;
        observed.unanswered_requests == 0 && was_read && (all_notified || waited_enough)
    }
}
