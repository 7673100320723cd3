//! Selects the connection for each call and dials new connections.

use super::connection::Connection;
use super::limits::{COMMAND_QUEUE_LENGTH, MAX_UNRESPONSIVE_PER_SERVER};
use super::{AwaitedAttempt, FlushResult, PendingDial, Pool};
use crate::backends;
use crate::connections::handle::{ConnectionHandle, SharedState};
use crate::messages::{AttemptResult, ConnectionId, OutboundAttempt};
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{Outcome, ServerId, ServerState, Time};
use std::rc::Rc;
use tokio::sync::mpsc;

impl Pool {
    /// Sends the staged parts, grouped into calls by server.
    pub fn flush(&mut self, now: Time, metrics: &mut Metrics) -> FlushResult {
        let mut result = FlushResult::default();
        for (server, mut parts) in std::mem::take(&mut self.staged) {
            while !parts.is_empty() {
                let rest = parts.split_off(parts.len().min(self.limits.max_parts_per_call));
                let call = std::mem::replace(&mut parts, rest);
                match self.select_connection(now, server, &call, &mut result.dials) {
                    Some(id) => self.send_call(now, id, call, metrics),
                    None => result.unsent.extend(call.into_iter().map(connect_failed)),
                }
            }
        }
        result
    }

    fn send_call(
        &mut self,
        now: Time,
        id: ConnectionId,
        call: Vec<OutboundAttempt>,
        metrics: &mut Metrics,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        metrics.increment(Counter::Calls);
        for part in &call {
            let awaited = AwaitedAttempt {
                connection: id,
                send_allowed: part.send_allowed.clone(),
            };
            self.in_flight.insert(part.attempt, awaited);
        }
        connection.send_call(now, call);
    }

    /// Returns the connection for a call and dials a new one if necessary. Returns `None` if the server accepts no
    /// requests or the connection limit is reached.
    fn select_connection(
        &mut self,
        now: Time,
        server: ServerId,
        call: &[OutboundAttempt],
        dials: &mut Vec<PendingDial>,
    ) -> Option<ConnectionId> {
        let target = self.servers.get(&server)?;
        if target.state != ServerState::Ready {
            return None;
        }
        let address = target.address;
        if let Some(id) = self.least_loaded(now, server, call) {
            return Some(id);
        }
        let open = self.connections.len();
        if open >= self.limits.max_connections && !self.close_most_recent_idle() {
            tracing::warn!(server = %address, open, "connection limit reached");
            return None;
        }
        self.open_connection(now, server, dials)
    }

    /// Returns the usable connection with the fewest parts in flight. Responsive connections are preferred over
    /// unresponsive ones, then established ones over those being dialled.
    fn least_loaded(
        &self,
        now: Time,
        server: ServerId,
        call: &[OutboundAttempt],
    ) -> Option<ConnectionId> {
        let max_parts = self.limits.max_parts_per_connection;
        let is_unresponsive = |connection: &Connection| {
            connection.unanswered_time(now) > self.limits.unresponsive_after
        };
        let to_server = || {
            let all = self.connections.iter();
            all.filter(|(_, connection)| connection.server == server)
        };
        let unresponsive_count = to_server()
            .filter(|(_, connection)| is_unresponsive(connection))
            .count();
        let allow_unresponsive = unresponsive_count >= MAX_UNRESPONSIVE_PER_SERVER;
        to_server()
            .filter(|(_, connection)| connection.accepts_calls())
            .filter(|(_, connection)| allow_unresponsive || !is_unresponsive(connection))
            .filter(|(_, connection)| connection.has_room_for(call, max_parts))
            .min_by_key(|(_, connection)| {
                let in_flight = connection.in_flight.len();
                (
                    is_unresponsive(connection),
                    !connection.established,
                    in_flight,
                )
            })
            .map(|(&id, _)| id)
    }

    /// Starts the task of a new connection, which dials the server.
    fn open_connection(
        &mut self,
        now: Time,
        server: ServerId,
        dials: &mut Vec<PendingDial>,
    ) -> Option<ConnectionId> {
        let target = self.servers.get(&server)?;
        let address = target.address;
        let id = self.next_id;
        self.next_id = id.next();
        let shared = Rc::new(SharedState::default());
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let handle = ConnectionHandle {
            id,
            server: target.id.clone(),
            address,
            contracts: self.contracts.clone(),
            commands: command_queue,
            shared: shared.clone(),
            clock: self.clock.clone(),
            report_names: self.report_names.clone(),
            core: self.core.clone(),
            memory: self.memory.empty_reservation(),
        };
        backends::spawn(self.backend, handle);
        let connection = Connection::dialing(server, address, commands, shared, now);
        self.connections.insert(id, connection);
        dials.push(PendingDial {
            connection: id,
            deadline: now + self.limits.dial_timeout,
        });
        Some(id)
    }

    /// Closes the idle connection that was used most recently, to make room under the connection limit. Returns whether
    /// there was such a connection.
    ///
    /// If there are more servers than the limit allows connections, and calls go to the servers in turn, the connection
    /// used least recently is the one that is needed next. Closing that one instead would make every call dial.
    pub(super) fn close_most_recent_idle(&mut self) -> bool {
        let all = self.connections.values_mut();
        let idle = all.filter(|connection| connection.is_idle() && !connection.retired);
        match idle.max_by_key(|connection| connection.last_used) {
            Some(connection) => {
                connection.close();
                true
            }
            None => false,
        }
    }
}

/// Returns the result of a part for which no connection was available. Its outcome states that the part never ran.
fn connect_failed(part: OutboundAttempt) -> AttemptResult {
    AttemptResult {
        attempt: part.attempt,
        outcome: Outcome::ConnectFailed,
        value: None,
    }
}
