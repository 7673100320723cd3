//! The core's record of a connection: its attempts in flight, and how long it has been unresponsive.

use super::limits::Limits;
use crate::connections::handle::{ConnectionCommand, SharedState};
use crate::messages::{AttemptId, OutboundAttempt};
use cairnroad_types::{Seconds, ServerId, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A connection to a server, as tracked by the core.
pub(super) struct Connection {
    pub(super) server: ServerId,
    /// The address that was dialled; the endpoint list may state a different one by now.
    pub(super) address: SocketAddr,
    pub(super) commands: mpsc::Sender<ConnectionCommand>,
    pub(super) shared: Rc<SharedState>,
    /// Whether the connection was established; it may have been lost since.
    pub(super) established: bool,
    pub(super) in_flight: BTreeSet<AttemptId>,
    /// When the connection last carried a call, a cancel or an answer.
    pub(super) last_used: Time,
    /// How long answers were awaited without any data from the server, up to the last time that nothing was in flight.
    pub(super) earlier_unanswered_time: Seconds,
    /// When the current wait for an answer began; `None` if no answer is awaited.
    pub(super) awaiting_since: Option<Time>,
    /// Whether the connection accepts no further calls.
    pub(super) retired: bool,
}

impl Connection {
    /// Creates the record of a connection that is being dialled.
    pub(super) fn dialing(
        server: ServerId,
        address: SocketAddr,
        commands: mpsc::Sender<ConnectionCommand>,
        shared: Rc<SharedState>,
        now: Time,
    ) -> Self {
        Connection {
            server,
            address,
            commands,
            shared,
            established: false,
            in_flight: BTreeSet::new(),
            last_used: now,
            earlier_unanswered_time: 0.0,
            awaiting_since: None,
            retired: false,
        }
    }

    /// Returns whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns whether the connection accepts further calls.
    pub(super) fn accepts_calls(&self) -> bool {
        !self.retired && !self.shared.is_poisoned()
    }

    /// Returns whether a call can be queued in addition to the attempts in flight. At most `max_parts` parts may be in
    /// flight.
    pub(super) fn has_room_for(&self, call: &[OutboundAttempt], max_parts: usize) -> bool {
        // Ids on the wire distinguish parts, not attempts. Two attempts at the same part must therefore use different
        // connections.
        let shares_a_part = || {
            call.iter().any(|new| {
                self.in_flight
                    .iter()
                    .any(|attempt| attempt.part == new.attempt.part)
            })
        };
        self.in_flight.len() + call.len() <= max_parts
            && self.commands.capacity() > 0
            && !shares_a_part()
    }

    /// Queues a call. The caller has checked that there is room for it.
    pub(super) fn send_call(&mut self, now: Time, call: Vec<OutboundAttempt>) {
        self.in_flight.extend(call.iter().map(|part| part.attempt));
        self.last_used = now;
        self.expect_answer(now);
        let _ = self.commands.try_send(ConnectionCommand::Call(call));
    }

    /// Queues the cancel of an attempt. If the command queue is full, the connection task is considered hung, and the
    /// connection is closed.
    pub(super) fn cancel(&mut self, now: Time, attempt: AttemptId) {
        self.in_flight.remove(&attempt);
        self.last_used = now;
        if self
            .commands
            .try_send(ConnectionCommand::Cancel(attempt))
            .is_err()
        {
            self.close();
        }
        self.pause_wait_if_idle(now);
    }

    /// Records that an answer is awaited from now on.
    pub(super) fn expect_answer(&mut self, now: Time) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records that data was received from the server, which ends the unanswered time.
    pub(super) fn record_received(&mut self, now: Time) {
        self.earlier_unanswered_time = 0.0;
        self.awaiting_since = (!self.is_idle()).then_some(now);
    }

    /// Pauses the wait for answers if nothing is in flight any more. The unanswered time is kept, because a cancel does
    /// not prove that the server is alive; only received data does.
    fn pause_wait_if_idle(&mut self, now: Time) {
        if self.is_idle() {
            self.earlier_unanswered_time = self.unanswered_time(now);
            self.awaiting_since = None;
        }
    }

    /// Returns how long answers have been awaited without any data from the server.
    pub(super) fn unanswered_time(&self, now: Time) -> Seconds {
        self.earlier_unanswered_time + self.awaiting_since.map_or(0.0, |since| now - since)
    }

    /// Returns whether the connection should be closed if it is idle, regardless of the state of its server.
    pub(super) fn is_unneeded(&self, now: Time, limits: &Limits) -> bool {
        !self.accepts_calls()
            || now - self.last_used > limits.idle_timeout
            || self.unanswered_time(now) > limits.unresponsive_after
    }

    /// Asks the task to close the connection, which accepts no further calls from now on.
    pub(super) fn close(&mut self) {
        self.retired = true;
        self.shared.request_close();
    }
}
