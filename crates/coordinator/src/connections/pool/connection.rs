//! The core's record of one connection: what is in flight on it, and for how long it has been silent.

use super::limits::Limits;
use crate::connections::handle::{Command, SharedState};
use crate::messages::{AttemptId, OutboundAttempt};
use cairnroad_types::{Seconds, ServerId, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The core's side of a connection.
pub(super) struct Connection {
    pub(super) server: ServerId,
    /// The address that was dialled; the list may name another one meanwhile.
    pub(super) address: SocketAddr,
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) shared: Rc<SharedState>,
    /// It has been up, though it may have broken since.
    pub(super) established: bool,
    pub(super) in_flight: BTreeSet<AttemptId>,
    /// When it last carried a call, a cancel or an answer.
    pub(super) last_used: Time,
    /// For how long answers were awaited in silence, up to when the last of them was released.
    pub(super) earlier_silence: Seconds,
    /// Since when an answer is awaited; `None` where none is.
    pub(super) awaiting_since: Option<Time>,
    /// It gets nothing new.
    pub(super) retired: bool,
}

impl Connection {
    /// Records a connection that is being dialled.
    pub(super) fn dialing(
        server: ServerId,
        address: SocketAddr,
        commands: mpsc::Sender<Command>,
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
            earlier_silence: 0.0,
            awaiting_since: None,
            retired: false,
        }
    }

    /// Whether nothing is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether new calls may be queued at all.
    pub(super) fn accepts_calls(&self) -> bool {
        !self.retired && !self.shared.is_poisoned()
    }

    /// Whether a call fits beside what is in flight, `max_parts` in all.
    pub(super) fn has_room_for(&self, call: &[OutboundAttempt], max_parts: usize) -> bool {
        // Ids distinguish parts on a connection, not attempts: two attempts of one part never share one.
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

    /// Queues a call, for which the caller has seen room.
    pub(super) fn send_call(&mut self, now: Time, call: Vec<OutboundAttempt>) {
        self.in_flight.extend(call.iter().map(|part| part.attempt));
        self.last_used = now;
        self.expect_answer(now);
        let _ = self.commands.try_send(Command::Call(call));
    }

    /// Queues the cancel of an attempt. A connection whose queue is full has hung and is closed.
    pub(super) fn cancel(&mut self, now: Time, attempt: AttemptId) {
        self.in_flight.remove(&attempt);
        self.last_used = now;
        if self.commands.try_send(Command::Cancel(attempt)).is_err() {
            self.close();
        }
        self.release(now);
    }

    /// From now on an answer is awaited.
    pub(super) fn expect_answer(&mut self, now: Time) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Something was received from the server.
    pub(super) fn heard(&mut self, now: Time) {
        self.earlier_silence = 0.0;
        self.awaiting_since = (!self.is_idle()).then_some(now);
    }

    /// An attempt is no longer awaited. That ends the wait, yet is no proof of life: only what is heard is.
    fn release(&mut self, now: Time) {
        if self.is_idle() {
            self.earlier_silence = self.silence(now);
            self.awaiting_since = None;
        }
    }

    /// Returns for how long answers have been awaited in silence.
    pub(super) fn silence(&self, now: Time) -> Seconds {
        self.earlier_silence + self.awaiting_since.map_or(0.0, |since| now - since)
    }

    /// Whether an idle connection is of no further use, its server aside.
    pub(super) fn is_superfluous(&self, now: Time, limits: &Limits) -> bool {
        !self.accepts_calls()
            || now - self.last_used > limits.idle_timeout
            || self.silence(now) > limits.silence
    }

    /// Asks the task to close the connection, and sends nothing new on it.
    pub(super) fn close(&mut self) {
        self.retired = true;
        self.shared.request_close();
    }
}
