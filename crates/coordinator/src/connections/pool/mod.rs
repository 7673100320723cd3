//! The connections to servers, as the core sees them: which there are, what is in flight on each and which one the
//! next call takes. Each connection is a task of its own (see [`backends`](crate::backends)).

mod connection;
mod limits;
mod selection;
mod sweep;

use crate::clock::Clock;
use crate::configuration::{BackendKind, Config};
use crate::connections::handle::Command;
use crate::contract::Contracts;
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

/// What a connection's event means to the rest of the core.
pub enum PoolEvent {
    /// An attempt that was in flight ended.
    AttemptEnded(AttemptResult),
    /// A health check ended; `report` has the load report's values, and none if there was no report.
    HealthCheckEnded {
        server: ServerId,
        outcome: Outcome,
        report: Vec<f64>,
    },
    /// A connection closed that was never established.
    DialFailed,
}

/// A connection that is being dialled, and the moment by which it must be established.
pub struct Dial {
    /// The connection.
    pub connection: ConnectionId,
    /// When [`Pool::on_dial_deadline`] is to be called for it.
    pub deadline: Time,
}

/// The result of sending the staged parts.
#[derive(Default)]
pub struct Flushed {
    /// Parts that no connection takes.
    pub unsent: Vec<AttemptResult>,
    /// New connections.
    pub dials: Vec<Dial>,
}

/// A server of the endpoint list.
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

/// Where an attempt is in flight.
struct AwaitedAttempt {
    connection: ConnectionId,
    /// Shared with the queued part: whether it is still to be sent.
    wanted: Rc<Cell<bool>>,
}

/// The connections to all servers, and the attempts in flight on them.
pub struct Pool {
    backend: BackendKind,
    limits: Limits,
    report_names: Arc<[String]>,
    contracts: Rc<Contracts>,
    clock: Clock,
    core: mpsc::Sender<CoreMessage>,
    next_id: ConnectionId,
    servers: BTreeMap<ServerId, Server>,
    connections: BTreeMap<ConnectionId, Connection>,
    in_flight: BTreeMap<AttemptId, AwaitedAttempt>,
    /// Parts that leave with the next flush.
    staged: BTreeMap<ServerId, Vec<OutboundAttempt>>,
}

impl Pool {
    /// Returns a pool without servers, whose connections report to `core`.
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
            next_id: ConnectionId::default(),
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            staged: BTreeMap::new(),
        }
    }

    /// Applies a reloaded deployment.
    pub fn reconfigure(&mut self, deployment: &Deployment) {
        self.limits.silence = limits::silence_limit(deployment);
    }

    /// Whether any server takes requests.
    pub fn any_server_ready(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.state == ServerState::Ready)
    }

    /// Applies an endpoint list, or the changes of one. What is queued for a server that is draining or removed is no
    /// longer sent.
    pub fn on_endpoint_list(&mut self, entries: &[(ServerId, EndpointEntry)], complete: bool) {
        if complete && !entries.is_empty() {
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
                // A connection still being dialled may come up after the grace period, with calls in its queue.
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

    /// Keeps a part for the calls of this tick, so that parts for one server leave together.
    pub fn stage(&mut self, server: ServerId, part: OutboundAttempt) {
        self.staged.entry(server).or_default().push(part);
    }

    /// Whether an attempt is still awaited.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.in_flight.contains_key(&attempt)
    }

    /// Whether a server became ready less than `warm_up` seconds ago.
    pub fn is_warming_up(&self, now: Time, server: ServerId, warm_up: Seconds) -> bool {
        let ready_at = self.servers.get(&server).and_then(|server| server.ready_at);
        ready_at.is_some_and(|ready_at| now - ready_at < warm_up)
    }

    /// Returns how many connections there are, established or being dialled.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Stops waiting for an attempt and notifies its server, or drops it where it is still staged.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) {
        self.unstage(attempt);
        let Some(awaited) = self.in_flight.remove(&attempt) else {
            return;
        };
        awaited.wanted.set(false);
        let Some(connection) = self.connections.get_mut(&awaited.connection) else {
            return;
        };
        // A search is cancelled by closing its connection: nothing new may be queued there behind the cancel.
        connection.retired |= self.backend == BackendKind::OpenSearch;
        connection.cancel(now, attempt);
    }

    /// Keeps an attempt that nobody waits for any more from being sent, if that has not begun. Its server is not
    /// notified.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        self.unstage(attempt);
        if let Some(awaited) = self.in_flight.get(&attempt) {
            awaited.wanted.set(false);
        }
    }

    fn unstage(&mut self, attempt: AttemptId) {
        for parts in self.staged.values_mut() {
            parts.retain(|part| part.attempt != attempt);
        }
    }

    /// Cancels an attempt whose time is up. Returns whether it was still in flight.
    pub fn time_out(&mut self, attempt: AttemptId) -> bool {
        let in_flight = self.is_in_flight(attempt);
        if in_flight {
            self.cancel(self.clock.now(), attempt);
        }
        in_flight
    }

    /// Asks a server for its load report on an established connection. Without one it is not asked: dialling for a
    /// report would cost the server more than the report tells.
    pub fn request_health_check(&mut self, server: ServerId) {
        let mut usable = self.connections.values().filter(|connection| {
            connection.server == server && connection.established && !connection.retired
        });
        usable.any(|connection| connection.commands.try_send(Command::HealthCheck).is_ok());
    }

    /// Closes a connection that is not established by its deadline.
    pub fn on_dial_deadline(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|connection| !connection.established) {
            connection.close();
        }
    }

    /// Applies what a connection reports. Returns what the rest of the core has to know.
    pub fn on_connection_event(
        &mut self,
        now: Time,
        report: ConnectionReport,
    ) -> Option<PoolEvent> {
        let connection = self.connections.get_mut(&report.connection)?;
        match report.event {
            ConnectionEvent::Connected => {
                connection.established = true;
                connection.heard(now);
                None
            }
            ConnectionEvent::CancelledAttemptAnswered => {
                connection.heard(now);
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
                    connection.heard(now);
                }
                if !awaited {
                    return None; // cancelled or timed out meanwhile
                }
                self.in_flight.remove(&attempt);
                Some(PoolEvent::AttemptEnded(AttemptResult {
                    attempt,
                    outcome,
                    value,
                }))
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

    /// Returns how many servers and connections are known.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.servers.len(), self.connections.len())
    }
}

#[cfg(test)]
mod tests;
