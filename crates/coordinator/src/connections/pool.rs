//! The connections to servers, as the core sees them: which there are, what is out on each, and which one the
//! next call takes. Each connection is a task of its own (see `backends`), reached through a bounded queue.

use crate::backends;
use crate::clock::Clock;
use crate::configuration::{BackendKind, Config};
use crate::connections::connection::{Command, ConnectionHandle, Shared};
use crate::contract::Contracts;
use crate::messages::{
    Attempt, AttemptResult, ConnectionEvent, ConnectionReport, EndpointEntry, Message,
    OutboundAttempt,
};
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_settings::Deployment;
use cairnroad_types::{Outcome, Seconds, ServerId, ServerState, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Commands that may wait for a connection. One that lets them pile up has hung.
const COMMAND_QUEUE_LENGTH: usize = 256;
/// A connection that owes an answer and has been silent for this share of the shortest aim gets nothing new: its
/// machine may be gone, or the connection alone. A fresh one answers, or fails in the dial time-out, which proves
/// that a part never ran; silence proves nothing. Many answers pass on a sound connection in that time.
const SILENCE_SHARE: f64 = 0.25;
/// Most connections to one server that may be silent: where a server is slow as a whole, more would not help it.
const MAX_SILENT_PER_SERVER: usize = 3;
/// Idle connections are closed after this share of the time after which their other side does so.
const IDLE_SHARE: f64 = 0.7;
/// How often idle connections are looked for, in seconds; and in shares of that time, if that is less: each must be found
/// before its other side closes it.
const MAX_SWEEP_INTERVAL: f64 = 0.5;
const SWEEP_SHARE: f64 = 0.1;

/// What a connection brought to the core's table.
pub enum PoolEvent {
    AttemptEnded(AttemptResult),
    HealthCheckEnded {
        server: ServerId,
        outcome: Outcome,
        report: Vec<f64>,
    },
    /// A connection ended that was never up.
    DialFailed,
}

/// The core's end of a connection.
struct Connection {
    server: ServerId,
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    shared: Rc<Shared>,
    established: bool,
    in_flight: BTreeSet<Attempt>,
    last_used: Time,
    /// How long it owed answers and said nothing, up to when it last owed none; and from when on it owes one. A
    /// cancel ends a debt, yet proves nothing: only what is heard does.
    earlier_silence: f64,
    awaiting_since: Option<Time>,
    /// It gets nothing new.
    retired: bool,
}

impl Connection {
    fn expect_answer(&mut self, now: Time) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Something came from the server.
    fn heard(&mut self, now: Time) {
        self.earlier_silence = 0.0;
        self.awaiting_since = (!self.in_flight.is_empty()).then_some(now);
    }

    /// An attempt is not waited for any more.
    fn release(&mut self, now: Time) {
        if self.in_flight.is_empty() {
            self.earlier_silence = self.silence(now);
            self.awaiting_since = None;
        }
    }

    /// For how long it has owed answers and said nothing.
    fn silence(&self, now: Time) -> f64 {
        self.earlier_silence + self.awaiting_since.map_or(0.0, |at| now - at)
    }

    fn close(&mut self) {
        self.retired = true;
        self.shared.close.notify_one();
    }
}

struct Server {
    id: Arc<str>,
    address: SocketAddr,
    state: ServerState,
    ready_at: Option<Time>,
}

/// Silence, in seconds, after which a connection gets nothing new.
fn silence_limit(deployment: &Deployment) -> f64 {
    deployment.shortest_aim() * SILENCE_SHARE
}

/// Seconds between two sweeps of a pool.
pub fn sweep_interval(deployment: &Deployment) -> f64 {
    MAX_SWEEP_INTERVAL.min(SWEEP_SHARE * deployment.keepalive)
}

pub struct Pool {
    kind: BackendKind,
    max_connections: usize,
    /// Parts that one connection may carry at a time, and parts of one call.
    max_parts_per_connection: usize,
    max_parts_per_call: usize,
    dial_timeout: f64,
    idle_timeout: Seconds,
    /// Silence, in seconds, after which a connection gets nothing new.
    silence_limit: Seconds,
    report_names: Arc<[String]>,
    contracts: Rc<Contracts>,
    clock: Clock,
    core: mpsc::Sender<Message>,
    next_id: u64,
    servers: BTreeMap<ServerId, Server>,
    connections: BTreeMap<u64, Connection>,
    /// On which connection each attempt is out, and whether it is still to be sent.
    in_flight: BTreeMap<Attempt, (u64, Rc<Cell<bool>>)>,
    staged: BTreeMap<ServerId, Vec<OutboundAttempt>>,
}

impl Pool {
    pub fn new(
        config: &Config,
        contracts: Rc<Contracts>,
        clock: Clock,
        core: mpsc::Sender<Message>,
    ) -> Self {
        let deployment = &config.offer.deployment;
        // HTTP/1.1 carries one request at a time, and a search is a request of its own.
        let (streams, batch) = match config.backend {
            BackendKind::Frames => {
                let batch = deployment.policy.max_parts_per_call as usize;
                (deployment.streams, batch.min(deployment.streams))
            }
            BackendKind::OpenSearch => (1, 1),
        };
        Pool {
            kind: config.backend,
            max_connections: config.limits.links,
            max_parts_per_connection: streams,
            max_parts_per_call: batch,
            dial_timeout: deployment.dial_timeout,
            idle_timeout: deployment.keepalive * IDLE_SHARE,
            silence_limit: silence_limit(deployment),
            report_names: deployment.report_names.clone().into(),
            contracts,
            clock,
            core,
            next_id: 0,
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            staged: BTreeMap::new(),
        }
    }

    /// Takes other settings.
    pub fn reconfigure(&mut self, deployment: &Deployment) {
        self.silence_limit = silence_limit(deployment);
    }

    pub fn any_server_ready(&self) -> bool {
        self.servers
            .values()
            .any(|server_entry| server_entry.state == ServerState::Ready)
    }

    /// Takes in the list. What is queued for a server that drains or is gone is not sent any more.
    pub fn on_endpoint_list(&mut self, rows: &[(ServerId, EndpointEntry)], complete: bool) {
        if complete && !rows.is_empty() {
            let listed: BTreeSet<ServerId> = rows.iter().map(|(server, _)| *server).collect();
            for (server, server_entry) in &mut self.servers {
                if !listed.contains(server) {
                    server_entry.state = ServerState::Removed;
                }
            }
        }
        for (server, row) in rows {
            let id = row.id.as_str().into();
            self.servers.insert(
                *server,
                Server {
                    id,
                    address: row.address,
                    state: row.state,
                    ready_at: row.ready_at,
                },
            );
        }
        for connection in self.connections.values_mut() {
            let Some(server_entry) = self.servers.get(&connection.server) else {
                continue;
            };
            let draining = server_entry.state != ServerState::Ready;
            connection.shared.draining.set(draining);
            if draining && !connection.established {
                // A connection still being dialled may come up after the grace, with calls in its queue.
                connection.close();
            }
            if connection.address != server_entry.address {
                connection.retired = true;
            }
        }
    }

    /// Keeps a part for the tick's calls.
    pub fn stage(&mut self, server: ServerId, job: OutboundAttempt) {
        self.staged.entry(server).or_default().push(job);
    }

    /// Sends what is staged, call by call. Returns the parts that no connection takes, and new dials with the
    /// moment by which each must be up.
    pub fn flush(
        &mut self,
        now: Time,
        metrics: &mut Metrics,
    ) -> (Vec<AttemptResult>, Vec<(u64, Time)>) {
        let (mut failed, mut dials) = (Vec::new(), Vec::new());
        for (server, mut jobs) in std::mem::take(&mut self.staged) {
            while !jobs.is_empty() {
                let rest = jobs.split_off(jobs.len().min(self.max_parts_per_call));
                let call = std::mem::replace(&mut jobs, rest);
                let Some(id) = self.select_connection(now, server, &call, &mut dials) else {
                    let ended = |job: OutboundAttempt| AttemptResult {
                        attempt: job.attempt,
                        outcome: Outcome::ConnectFailed,
                        value: None,
                    };
                    failed.extend(call.into_iter().map(ended));
                    continue;
                };
                let Some(connection) = self.connections.get_mut(&id) else {
                    continue;
                };
                metrics.add(Counter::Calls);
                for job in &call {
                    connection.in_flight.insert(job.attempt);
                    self.in_flight.insert(job.attempt, (id, job.wanted.clone()));
                }
                connection.last_used = now;
                connection.expect_answer(now);
                // `select_connection` saw room in the queue.
                let _ = connection.commands.try_send(Command::Call(call));
            }
        }
        (failed, dials)
    }

    /// The connection that a call takes: the one with the least out that has room, else a new one.
    fn select_connection(
        &mut self,
        now: Time,
        server: ServerId,
        call: &[OutboundAttempt],
        dials: &mut Vec<(u64, Time)>,
    ) -> Option<u64> {
        let server_entry = self
            .servers
            .get(&server)
            .filter(|server_entry| server_entry.state == ServerState::Ready)?;
        let (address, name) = (server_entry.address, server_entry.id.clone());
        let silent = |connection: &Connection| connection.silence(now) > self.silence_limit;
        let to_server = self
            .connections
            .values()
            .filter(|connection| connection.server == server);
        let too_many =
            to_server.filter(|connection| silent(connection)).count() >= MAX_SILENT_PER_SERVER;
        let usable = self.connections.iter().filter(|(_, connection)| {
            connection.server == server
                && !connection.retired
                && !connection.shared.poisoned.get()
                && (too_many || !silent(connection))
                && connection.in_flight.len() + call.len() <= self.max_parts_per_connection
                && connection.commands.capacity() > 0
                // Names tell parts apart on a connection: two attempts of one part never share one.
                && !call.iter().any(|job| connection.in_flight.iter().any(|out| out.part == job.attempt.part))
        });
        let best = usable
            .min_by_key(|(_, connection)| {
                (
                    silent(connection),
                    !connection.established,
                    connection.in_flight.len(),
                )
            })
            .map(|(&id, _)| id);
        if best.is_some() {
            return best;
        }
        if self.connections.len() >= self.max_connections && !self.close_most_recent_idle() {
            tracing::warn!(server = %address, open = self.connections.len(), "no connection is left for a server");
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        let shared = Rc::new(Shared::default());
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let end = ConnectionHandle {
            id,
            server: name,
            address,
            contracts: self.contracts.clone(),
            commands: queue,
            shared: shared.clone(),
            clock: self.clock.clone(),
            report_names: self.report_names.clone(),
            core: self.core.clone(),
        };
        backends::spawn(self.kind, end);
        let connection = Connection {
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
        };
        self.connections.insert(id, connection);
        dials.push((id, now + self.dial_timeout));
        Some(id)
    }

    /// Makes room under the limit on connections: closes the idle one used last. Turns come back to that server
    /// last of all, while the one used longest ago is next; closing that one misses each time where a fleet has
    /// more servers than the table has room.
    fn close_most_recent_idle(&mut self) -> bool {
        let idle = self
            .connections
            .values_mut()
            .filter(|connection| connection.in_flight.is_empty() && !connection.retired);
        match idle.max_by_key(|connection| connection.last_used) {
            Some(connection) => {
                connection.close();
                true
            }
            None => false,
        }
    }

    /// Whether an attempt is still waited for.
    pub fn is_in_flight(&self, attempt: Attempt) -> bool {
        self.in_flight.contains_key(&attempt)
    }

    /// Whether a server started less than so many seconds ago.
    pub fn is_warming_up(&self, now: Time, server: ServerId, warm_up: f64) -> bool {
        self.servers
            .get(&server)
            .and_then(|server_entry| server_entry.ready_at)
            .is_some_and(|at| now - at < warm_up)
    }

    /// How many connections there are, up or being dialled.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Stops waiting for an attempt and tells the server, or drops it where it is still staged.
    pub fn cancel(&mut self, now: Time, attempt: Attempt) {
        for jobs in self.staged.values_mut() {
            jobs.retain(|job| job.attempt != attempt);
        }
        let Some((id, wanted)) = self.in_flight.remove(&attempt) else {
            return;
        };
        wanted.set(false);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.in_flight.remove(&attempt);
        connection.last_used = now;
        // A search is cancelled by closing its connection: nothing new may queue there behind the cancel.
        connection.retired |= self.kind == BackendKind::OpenSearch;
        if connection
            .commands
            .try_send(Command::Cancel(attempt))
            .is_err()
        {
            connection.close();
        }
        connection.release(now);
    }

    /// Nobody waits for an attempt any more: it isn't sent if that has not begun. Its server isn't told.
    pub fn withdraw(&mut self, attempt: Attempt) {
        for jobs in self.staged.values_mut() {
            jobs.retain(|job| job.attempt != attempt);
        }
        if let Some((_, wanted)) = self.in_flight.get(&attempt) {
            wanted.set(false);
        }
    }

    /// An attempt's time is up. Whether it was still out.
    pub fn time_out(&mut self, attempt: Attempt) -> bool {
        let out = self.in_flight.contains_key(&attempt);
        if out {
            self.cancel(self.clock.now(), attempt);
        }
        out
    }

    /// Asks a server for its load report, on a connection that is up. Without one it goes unasked: dialling for
    /// a hint would cost the server more than the hint tells.
    pub fn request_health_check(&mut self, server: ServerId) {
        let mut connections = self.connections.values().filter(|connection| {
            connection.server == server && connection.established && !connection.retired
        });
        connections.any(|connection| connection.commands.try_send(Command::HealthCheck).is_ok());
    }

    /// A connection that is not up by now has failed.
    pub fn on_dial_deadline(&mut self, connection: u64) {
        if let Some(connection) = self
            .connections
            .get_mut(&connection)
            .filter(|connection| !connection.established)
        {
            connection.close();
        }
    }

    /// Closes connections that stand idle, before their other side does so without a word, and those that get
    /// nothing new; forgets servers that are gone once no connection to them is left.
    pub fn sweep(&mut self, now: Time) {
        for connection in self.connections.values_mut() {
            let gone = self
                .servers
                .get(&connection.server)
                .is_none_or(|server_entry| server_entry.state == ServerState::Removed);
            let over = now - connection.last_used > self.idle_timeout
                || connection.silence(now) > self.silence_limit;
            let done = gone || connection.retired || connection.shared.poisoned.get() || over;
            if connection.established && connection.in_flight.is_empty() && done {
                connection.close();
            }
        }
        let linked: BTreeSet<ServerId> = self
            .connections
            .values()
            .map(|connection| connection.server)
            .collect();
        self.servers.retain(|server, server_entry| {
            server_entry.state != ServerState::Removed || linked.contains(server)
        });
    }

    /// How many servers and connections are known.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.servers.len(), self.connections.len())
    }

    /// Notes what a connection tells; returns what the decisions must hear.
    pub fn on_connection_event(&mut self, now: Time, event: ConnectionReport) -> Option<PoolEvent> {
        let connection = self.connections.get_mut(&event.connection)?;
        match event.event {
            ConnectionEvent::Connected => {
                connection.established = true;
                connection.heard(now);
                None
            }
            ConnectionEvent::Heard => {
                connection.heard(now);
                None
            }
            ConnectionEvent::AttemptEnded {
                attempt,
                outcome,
                value,
            } => {
                let known = connection.in_flight.remove(&attempt);
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
                    connection.last_used = now;
                    connection.heard(now);
                }
                if !known {
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
                let connection = self.connections.remove(&event.connection)?;
                (!connection.established).then_some(PoolEvent::DialFailed)
            }
        }
    }
}

#[cfg(test)]
mod tests;
