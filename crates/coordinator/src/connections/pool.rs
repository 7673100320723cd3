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
use cairnroad_types::{Outcome, ServerId, ServerState, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Commands that may wait for a connection. One that lets them pile up has hung.
const QUEUE: usize = 256;
/// A connection that owes an answer and has been silent for this share of the shortest aim gets nothing new: its
/// machine may be gone, or the connection alone. A fresh one answers, or fails in the dial time-out, which proves
/// that a part never ran; silence proves nothing. Many answers pass on a sound connection in that time.
const SILENT_SHARE: f64 = 0.25;
/// Most connections to one server that may be silent: where a server is slow as a whole, more would not help it.
const MOST_SILENT: usize = 3;
/// Idle connections are closed after this share of the time after which their other side does so.
const IDLE_SHARE: f64 = 0.7;
/// How often idle connections are looked for, in seconds; and in shares of that time, if that is less: each must be found
/// before its other side closes it.
const SWEEP: f64 = 0.5;
const SWEEP_SHARE: f64 = 0.1;

/// What a connection brought to the core's table.
pub enum PoolEvent {
    Attempt(AttemptResult),
    Probe {
        server: ServerId,
        outcome: Outcome,
        report: Vec<f64>,
    },
    /// A connection ended that was never up.
    NotUp,
}

/// The core's end of a connection.
struct Connection {
    server: ServerId,
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    shared: Rc<Shared>,
    up: bool,
    out: BTreeSet<Attempt>,
    used: Time,
    /// How long it owed answers and said nothing, up to when it last owed none; and from when on it owes one. A
    /// cancel ends a debt, yet proves nothing: only what is heard does.
    unheard: f64,
    owes_since: Option<Time>,
    /// It gets nothing new.
    retired: bool,
}

impl Connection {
    fn owe(&mut self, now: Time) {
        self.owes_since.get_or_insert(now);
    }

    /// Something came from the server.
    fn hear(&mut self, now: Time) {
        self.unheard = 0.0;
        self.owes_since = (!self.out.is_empty()).then_some(now);
    }

    /// An attempt is not waited for any more.
    fn let_off(&mut self, now: Time) {
        if self.out.is_empty() {
            self.unheard = self.silence(now);
            self.owes_since = None;
        }
    }

    /// For how long it has owed answers and said nothing.
    fn silence(&self, now: Time) -> f64 {
        self.unheard + self.owes_since.map_or(0.0, |at| now - at)
    }

    fn end(&mut self) {
        self.retired = true;
        self.shared.ended.notify_one();
    }
}

struct Node {
    id: Arc<str>,
    address: SocketAddr,
    state: ServerState,
    ready_at: Option<Time>,
}

/// Silence, in seconds, after which a connection gets nothing new.
fn silent(deployment: &Deployment) -> f64 {
    deployment.shortest_aim() * SILENT_SHARE
}

/// Seconds between two sweeps of a pool.
pub fn sweep_every(deployment: &Deployment) -> f64 {
    SWEEP.min(SWEEP_SHARE * deployment.keepalive)
}

pub struct Pool {
    kind: BackendKind,
    most_links: usize,
    /// Parts that one connection may carry at a time, and parts of one call.
    streams: usize,
    batch: usize,
    dial_timeout: f64,
    idle: f64,
    /// Silence, in seconds, after which a connection gets nothing new.
    silent: f64,
    report_names: Arc<[String]>,
    contracts: Rc<Contracts>,
    clock: Clock,
    core: mpsc::Sender<Message>,
    next: u64,
    nodes: BTreeMap<ServerId, Node>,
    links: BTreeMap<u64, Connection>,
    /// On which connection each attempt is out, and whether it is still to be sent.
    out: BTreeMap<Attempt, (u64, Rc<Cell<bool>>)>,
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
            most_links: config.limits.links,
            streams,
            batch,
            dial_timeout: deployment.dial_timeout,
            idle: deployment.keepalive * IDLE_SHARE,
            silent: silent(deployment),
            report_names: deployment.report_names.clone().into(),
            contracts,
            clock,
            core,
            next: 0,
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            out: BTreeMap::new(),
            staged: BTreeMap::new(),
        }
    }

    /// Takes other settings.
    pub fn retune(&mut self, deployment: &Deployment) {
        self.silent = silent(deployment);
    }

    pub fn any_ready(&self) -> bool {
        self.nodes
            .values()
            .any(|node| node.state == ServerState::Ready)
    }

    /// Takes in the list. What is queued for a server that drains or is gone is not sent any more.
    pub fn note_list(&mut self, rows: &[(ServerId, EndpointEntry)], complete: bool) {
        if complete && !rows.is_empty() {
            let listed: BTreeSet<ServerId> = rows.iter().map(|(server, _)| *server).collect();
            for (server, node) in &mut self.nodes {
                if !listed.contains(server) {
                    node.state = ServerState::Removed;
                }
            }
        }
        for (server, row) in rows {
            let id = row.id.as_str().into();
            self.nodes.insert(
                *server,
                Node {
                    id,
                    address: row.address,
                    state: row.state,
                    ready_at: row.ready_at,
                },
            );
        }
        for link in self.links.values_mut() {
            let Some(node) = self.nodes.get(&link.server) else {
                continue;
            };
            let barred = node.state != ServerState::Ready;
            link.shared.barred.set(barred);
            if barred && !link.up {
                // A connection still being dialled may come up after the grace, with calls in its queue.
                link.end();
            }
            if link.address != node.address {
                link.retired = true;
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
        tally: &mut Metrics,
    ) -> (Vec<AttemptResult>, Vec<(u64, Time)>) {
        let (mut failed, mut dials) = (Vec::new(), Vec::new());
        for (server, mut jobs) in std::mem::take(&mut self.staged) {
            while !jobs.is_empty() {
                let rest = jobs.split_off(jobs.len().min(self.batch));
                let call = std::mem::replace(&mut jobs, rest);
                let Some(id) = self.link_for(now, server, &call, &mut dials) else {
                    let ended = |job: OutboundAttempt| AttemptResult {
                        attempt: job.attempt,
                        outcome: Outcome::ConnectFailed,
                        value: None,
                    };
                    failed.extend(call.into_iter().map(ended));
                    continue;
                };
                let Some(link) = self.links.get_mut(&id) else {
                    continue;
                };
                tally.add(Counter::Calls);
                for job in &call {
                    link.out.insert(job.attempt);
                    self.out.insert(job.attempt, (id, job.wanted.clone()));
                }
                link.used = now;
                link.owe(now);
                // `link_for` saw room in the queue.
                let _ = link.commands.try_send(Command::Call(call));
            }
        }
        (failed, dials)
    }

    /// The connection that a call takes: the one with the least out that has room, else a new one.
    fn link_for(
        &mut self,
        now: Time,
        server: ServerId,
        call: &[OutboundAttempt],
        dials: &mut Vec<(u64, Time)>,
    ) -> Option<u64> {
        let node = self
            .nodes
            .get(&server)
            .filter(|node| node.state == ServerState::Ready)?;
        let (address, name) = (node.address, node.id.clone());
        let silent = |link: &Connection| link.silence(now) > self.silent;
        let to_server = self.links.values().filter(|link| link.server == server);
        let too_many = to_server.filter(|link| silent(link)).count() >= MOST_SILENT;
        let usable = self.links.iter().filter(|(_, link)| {
            link.server == server
                && !link.retired
                && !link.shared.spent.get()
                && (too_many || !silent(link))
                && link.out.len() + call.len() <= self.streams
                && link.commands.capacity() > 0
                // Names tell parts apart on a connection: two attempts of one part never share one.
                && !call.iter().any(|job| link.out.iter().any(|out| out.part == job.attempt.part))
        });
        let best = usable
            .min_by_key(|(_, link)| (silent(link), !link.up, link.out.len()))
            .map(|(&id, _)| id);
        if best.is_some() {
            return best;
        }
        if self.links.len() >= self.most_links && !self.close_an_idle_one() {
            tracing::warn!(server = %address, open = self.links.len(), "no connection is left for a server");
            return None;
        }
        let id = self.next;
        self.next += 1;
        let shared = Rc::new(Shared::default());
        let (commands, queue) = mpsc::channel(QUEUE);
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
        let link = Connection {
            server,
            address,
            commands,
            shared,
            up: false,
            out: BTreeSet::new(),
            used: now,
            unheard: 0.0,
            owes_since: None,
            retired: false,
        };
        self.links.insert(id, link);
        dials.push((id, now + self.dial_timeout));
        Some(id)
    }

    /// Makes room under the limit on connections: closes the idle one used last. Turns come back to that server
    /// last of all, while the one used longest ago is next; closing that one misses each time where a fleet has
    /// more servers than the table has room.
    fn close_an_idle_one(&mut self) -> bool {
        let idle = self
            .links
            .values_mut()
            .filter(|link| link.out.is_empty() && !link.retired);
        match idle.max_by_key(|link| link.used) {
            Some(link) => {
                link.end();
                true
            }
            None => false,
        }
    }

    /// Whether an attempt is still waited for.
    pub fn is_out(&self, attempt: Attempt) -> bool {
        self.out.contains_key(&attempt)
    }

    /// Whether a server started less than so many seconds ago.
    pub fn is_young(&self, now: Time, server: ServerId, warm_up: f64) -> bool {
        self.nodes
            .get(&server)
            .and_then(|node| node.ready_at)
            .is_some_and(|at| now - at < warm_up)
    }

    /// How many connections there are, up or being dialled.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Stops waiting for an attempt and tells the server, or drops it where it is still staged.
    pub fn cancel(&mut self, now: Time, attempt: Attempt) {
        for jobs in self.staged.values_mut() {
            jobs.retain(|job| job.attempt != attempt);
        }
        let Some((id, wanted)) = self.out.remove(&attempt) else {
            return;
        };
        wanted.set(false);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.out.remove(&attempt);
        link.used = now;
        // A search is cancelled by closing its connection: nothing new may queue there behind the cancel.
        link.retired |= self.kind == BackendKind::OpenSearch;
        if link.commands.try_send(Command::Cancel(attempt)).is_err() {
            link.end();
        }
        link.let_off(now);
    }

    /// Nobody waits for an attempt any more: it isn't sent if that has not begun. Its server isn't told.
    pub fn unwant(&mut self, attempt: Attempt) {
        for jobs in self.staged.values_mut() {
            jobs.retain(|job| job.attempt != attempt);
        }
        if let Some((_, wanted)) = self.out.get(&attempt) {
            wanted.set(false);
        }
    }

    /// An attempt's time is up. Whether it was still out.
    pub fn abandon(&mut self, attempt: Attempt) -> bool {
        let out = self.out.contains_key(&attempt);
        if out {
            self.cancel(self.clock.now(), attempt);
        }
        out
    }

    /// Asks a server for its load report, on a connection that is up. Without one it goes unasked: dialling for
    /// a hint would cost the server more than the hint tells.
    pub fn probe(&mut self, server: ServerId) {
        let mut links = self
            .links
            .values()
            .filter(|link| link.server == server && link.up && !link.retired);
        links.any(|link| link.commands.try_send(Command::Probe).is_ok());
    }

    /// A connection that is not up by now has failed.
    pub fn dial_is_due(&mut self, link: u64) {
        if let Some(link) = self.links.get_mut(&link).filter(|link| !link.up) {
            link.end();
        }
    }

    /// Closes connections that stand idle, before their other side does so without a word, and those that get
    /// nothing new; forgets servers that are gone once no connection to them is left.
    pub fn sweep(&mut self, now: Time) {
        for link in self.links.values_mut() {
            let gone = self
                .nodes
                .get(&link.server)
                .is_none_or(|node| node.state == ServerState::Removed);
            let over = now - link.used > self.idle || link.silence(now) > self.silent;
            let done = gone || link.retired || link.shared.spent.get() || over;
            if link.up && link.out.is_empty() && done {
                link.end();
            }
        }
        let linked: BTreeSet<ServerId> = self.links.values().map(|link| link.server).collect();
        self.nodes
            .retain(|server, node| node.state != ServerState::Removed || linked.contains(server));
    }

    /// How many servers and connections are known.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.nodes.len(), self.links.len())
    }

    /// Notes what a connection tells; returns what the decisions must hear.
    pub fn note(&mut self, now: Time, event: ConnectionReport) -> Option<PoolEvent> {
        let link = self.links.get_mut(&event.connection)?;
        match event.event {
            ConnectionEvent::Connected => {
                link.up = true;
                link.hear(now);
                None
            }
            ConnectionEvent::CancelledAttemptAnswered => {
                link.hear(now);
                None
            }
            ConnectionEvent::AttemptEnded {
                attempt,
                outcome,
                value,
            } => {
                let known = link.out.remove(&attempt);
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
                    link.used = now;
                    link.hear(now);
                }
                if !known {
                    return None; // cancelled or timed out meanwhile
                }
                self.out.remove(&attempt);
                Some(PoolEvent::Attempt(AttemptResult {
                    attempt,
                    outcome,
                    value,
                }))
            }
            ConnectionEvent::HealthCheckEnded { outcome, report } => Some(PoolEvent::Probe {
                server: link.server,
                outcome,
                report,
            }),
            ConnectionEvent::Closed => {
                let link = self.links.remove(&event.connection)?;
                (!link.up).then_some(PoolEvent::NotUp)
            }
        }
    }
}

#[cfg(test)]
mod tests;
