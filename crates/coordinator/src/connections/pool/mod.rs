//! The connection pool, which is part of the core: it tracks the connections to servers and the attempts in flight on
//! each, and selects the connection for each call. Each connection has its own task (see
//! [`backends`](crate::backends)).

mod connection;
mod limits;
mod selection;
mod sweep;

use crate::clock::Clock;
use crate::configuration::{BackendKind, Config};
use crate::connections::handle::ConnectionCommand;
use crate::contract::Contracts;
use crate::memory::MemoryPool;
use crate::messages::{
    AttemptId, AttemptResult, ConnectionEvent, ConnectionId, ConnectionReport, CoreMessage,
    EndpointEntry, OutboundAttempt,
};
use cairnroad_settings::Deployment;
use cairnroad_types::{Outcome, Seconds, ServerId, ServerState, Time};
use connection::Connection;
use limits::Limits;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

pub use limits::sweep_interval;

/// An event of a connection that the rest of the core has to process.
pub enum PoolEvent {
    /// An attempt that was in flight ended.
    AttemptEnded(AttemptResult),
    /// The value of an attempt that has ended can't be trusted.
    AnswerRetracted(AttemptId),
    /// A health check ended. `report` contains the values of the load report; it is empty if there is no usable report.
    HealthCheckEnded {
        server: ServerId,
        outcome: Outcome,
        report: Vec<f64>,
    },
    /// A connection was closed before it was established.
    DialFailed,
}

/// A connection that is being dialled, and the time by which it must be established.
pub struct PendingDial {
    /// The id of the connection.
    pub connection: ConnectionId,
    /// The time at which [`Pool::on_dial_deadline`] must be called for the connection.
    pub deadline: Time,
}

/// The result of sending the staged parts.
#[derive(Default)]
pub struct FlushResult {
    /// The results of the parts for which no connection was available.
    pub unsent: Vec<AttemptResult>,
    /// The connections that were opened.
    pub dials: Vec<PendingDial>,
}

/// A server in the endpoint list.
struct Server {
    id: Arc<str>,
    address: SocketAddr,
    state: ServerState,
    ready_at: Option<Time>,
}

impl From<&EndpointEntry> for Server {
    fn from(entry: &EndpointEntry) -> Self {
        Server {
            id: entry.id.as_str().into(),
            address: entry.address,
            state: entry.state,
            ready_at: entry.ready_at,
        }
    }
}

/// An attempt in flight.
struct AwaitedAttempt {
    connection: ConnectionId,
    /// Whether the attempt may still be sent; shared with the queued [`OutboundAttempt`].
    send_allowed: Rc<Cell<bool>>,
}

/// The connections to all servers and the attempts in flight on them.
pub struct Pool {
    backend: BackendKind,
    limits: Limits,
    report_names: Arc<[String]>,
    contracts: Rc<Contracts>,
    clock: Clock,
    core: mpsc::Sender<CoreMessage>,
    /// The memory for what servers send.
    memory: MemoryPool,
    next_id: ConnectionId,
    servers: BTreeMap<ServerId, Server>,
    connections: BTreeMap<ConnectionId, Connection>,
    in_flight: BTreeMap<AttemptId, AwaitedAttempt>,
    /// Parts to be sent by the next flush, by server.
    staged: BTreeMap<ServerId, Vec<OutboundAttempt>>,
}

impl Pool {
    /// Creates a pool without servers. Its connections send their events to `core`.
    pub fn new(
        config: &Config,
        contracts: Rc<Contracts>,
        clock: Clock,
        core: mpsc::Sender<CoreMessage>,
    ) -> Self {
        Pool {
            backend: config.backend,
            limits: Limits::new(config),
            report_names: config.served.deployment.report_names.clone().into(),
            contracts,
            clock,
            core,
            memory: MemoryPool::new(config.limits.buffers.servers),
            next_id: ConnectionId::default(),
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            staged: BTreeMap::new(),
        }
    }

    /// Applies a reloaded deployment.
    pub fn reconfigure(&mut self, deployment: &Deployment) {
        self.limits.unresponsive_after = limits::unresponsive_after(deployment);
    }

    /// Returns whether at least one server accepts requests.
    pub fn any_server_ready(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.state == ServerState::Ready)
    }

    /// Applies an endpoint list snapshot or delta. Calls that are queued for a server that is draining or removed are
    /// no longer sent.
    pub fn on_endpoint_list(&mut self, entries: &[(ServerId, EndpointEntry)], is_snapshot: bool) {
        if is_snapshot && !entries.is_empty() {
            self.remove_servers_absent_from(entries);
        }
        for (id, entry) in entries {
            self.servers.insert(*id, Server::from(entry));
        }
        for connection in self.connections.values_mut() {
            let Some(server) = self.servers.get(&connection.server) else {
                continue;
            };
            let draining = server.state != ServerState::Ready;
            connection.shared.set_draining(draining);
            if draining && !connection.established {
                // A connection that is still being dialled might be established after the drain's grace period, with
                // calls in its queue.
                connection.close();
            }
            if connection.address != server.address {
                connection.retired = true;
            }
        }
    }

    fn remove_servers_absent_from(&mut self, entries: &[(ServerId, EndpointEntry)]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|(id, _)| *id).collect();
        for (id, server) in &mut self.servers {
            if !listed.contains(id) {
                server.state = ServerState::Removed;
            }
        }
    }

    /// Stages a part until the next flush, so that the parts for a server in this tick are sent together.
    pub fn stage(&mut self, server: ServerId, part: OutboundAttempt) {
        self.staged.entry(server).or_default().push(part);
    }

    /// Returns whether an attempt is in flight, that is, queued or sent and still awaited.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.in_flight.contains_key(&attempt)
    }

    /// Returns whether a server is in slow start: it became ready less than `duration` seconds ago.
    pub fn is_in_slow_start(&self, now: Time, server: ServerId, duration: Seconds) -> bool {
        let ready_at = self.servers.get(&server).and_then(|server| server.ready_at);
        ready_at.is_some_and(|ready_at| now - ready_at < duration)
    }

    /// Returns the number of connections, established or being dialled.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Cancels an attempt: drops it if it is still staged; otherwise stops waiting for it and notifies its server.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) {
        self.unstage(attempt);
        let Some(awaited) = self.in_flight.remove(&attempt) else {
            return;
        };
        awaited.send_allowed.set(false);
        let Some(connection) = self.connections.get_mut(&awaited.connection) else {
            return;
        };
        // A search is cancelled by closing its connection, so no further call may be queued behind the cancel.
        connection.retired |= self.backend == BackendKind::OpenSearch;
        connection.cancel(now, attempt);
    }

    /// Withdraws an attempt whose request has ended: the attempt is not sent unless sending has already begun. Its
    /// server is not notified.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        self.unstage(attempt);
        if let Some(awaited) = self.in_flight.get(&attempt) {
            awaited.send_allowed.set(false);
        }
    }

    fn unstage(&mut self, attempt: AttemptId) {
        for parts in self.staged.values_mut() {
            parts.retain(|part| part.attempt != attempt);
        }
    }

    /// Cancels an attempt whose deadline has passed. Returns whether the attempt was still in flight.
    pub fn time_out(&mut self, attempt: AttemptId) -> bool {
        let in_flight = self.is_in_flight(attempt);
        if in_flight {
            self.cancel(self.clock.now(), attempt);
        }
        in_flight
    }

    /// Requests a server's load report on an established connection. Without such a connection the request is skipped:
    /// dialling would cost the server more than the report is worth.
    pub fn request_health_check(&mut self, server: ServerId) {
        let mut usable = self.connections.values().filter(|connection| {
            connection.server == server && connection.established && !connection.retired
        });
        usable.any(|connection| {
            connection
                .commands
                .try_send(ConnectionCommand::HealthCheck)
                .is_ok()
        });
    }

    /// Closes a connection that has not been established by its dial deadline.
    pub fn on_dial_deadline(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|connection| !connection.established) {
            connection.close();
        }
    }

    /// Applies an event of a connection. Returns the event that the rest of the core has to process, if any.
    pub fn on_connection_event(
        &mut self,
        now: Time,
        report: ConnectionReport,
    ) -> Option<PoolEvent> {
        let connection = self.connections.get_mut(&report.connection)?;
        match report.event {
            ConnectionEvent::Connected => {
                connection.established = true;
                connection.record_received(now);
                None
            }
            ConnectionEvent::CancelledAttemptAnswered => {
                connection.record_received(now);
                None
            }
            ConnectionEvent::AttemptEnded {
                attempt,
                outcome,
                value,
            } => {
                let awaited = connection.in_flight.remove(&attempt);
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
                    connection.last_used = now;
                    connection.record_received(now);
                }
                if !awaited {
                    return None; // The attempt has been cancelled or has timed out.
                }
                self.in_flight.remove(&attempt);
                Some(PoolEvent::AttemptEnded(AttemptResult {
                    attempt,
                    outcome,
                    value,
                }))
            }
            ConnectionEvent::AnswerRetracted { attempt } => {
                Some(PoolEvent::AnswerRetracted(attempt))
            }
            ConnectionEvent::HealthCheckEnded { outcome, report } => {
                Some(PoolEvent::HealthCheckEnded {
                    server: connection.server,
                    outcome,
                    report,
                })
            }
            ConnectionEvent::Closed => {
                let connection = self.connections.remove(&report.connection)?;
                (!connection.established).then_some(PoolEvent::DialFailed)
            }
        }
    }

    /// Returns the number of servers and the number of connections.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.servers.len(), self.connections.len())
    }
}

#[cfg(test)]
mod tests;
