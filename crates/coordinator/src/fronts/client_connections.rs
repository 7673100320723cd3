//! Accounting of client connections, over all fronts together.
//!
//! Counts what is open, in flight and lingering, and evicts the connection that has been idle for longest when its slot
//! is needed, so that clients that send nothing don't keep out those that do.

use cairnroad_admin::shutdown::ShutdownObservation;
use cairnroad_types::{Seconds, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Shortest idle time before a connection that has sent no request may be evicted. Its first request may be on its
/// way, and clients count that one as failed if the connection is closed under it.
const MIN_IDLE_BEFORE_FIRST_REQUEST: Seconds = 0.25;
/// The same once a request was received. Clients send a later request again on a new connection, and where many
/// requests come, a client returns to its connection soon.
const MIN_IDLE_AFTER_REQUEST: Seconds = 0.05;

/// Identifies an idle connection; ordered by how long it has been idle, the longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    since: Time,
    id: u64,
}

/// An idle connection that may be evicted.
struct IdleConnection {
    min_idle: Seconds,
    evict: Rc<Notify>,
}

/// A count of things under way. Each is represented by a guard, so that the count can't be left too high.
#[derive(Clone, Default)]
struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    fn get(&self) -> usize {
        self.0.get()
    }

    fn enter(&self) -> GaugeGuard {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self.0.clone())
    }
}

/// One unit of a [`Gauge`], given back when dropped.
struct GaugeGuard(Rc<Cell<usize>>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The client connections of all fronts.
#[derive(Default)]
pub struct ClientConnections {
    open: Gauge,
    /// Requests that were received and aren't answered.
    in_flight: Gauge,
    /// Connections that were half-closed and are only drained.
    lingering: Gauge,
    last_request_at: Cell<Time>,
    last_answer_at: Cell<Time>,
    /// When every request has to be answered, once a graceful shutdown has begun.
    answer_deadline: Cell<Option<Time>>,
    next_id: Cell<u64>,
    idle: RefCell<BTreeMap<IdleKey, IdleConnection>>,
}

impl ClientConnections {
    /// Takes a slot for a connection that was just accepted. The slot is given back when the result is dropped.
    pub fn register(self: &Rc<Self>) -> ClientConnection {
        let id = self.next_id.replace(self.next_id.get() + 1);
        ClientConnection {
            _open: self.open.enter(),
            in_flight: RefCell::default(),
            lingering: RefCell::default(),
            id,
            idle_since: Cell::new(None),
            received_request: Cell::new(false),
            evict: Rc::default(),
            connections: self.clone(),
        }
    }

    /// Number of open connections, whatever they do.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Number of connections with a request in flight or partly received.
    pub fn busy_count(&self) -> usize {
        self.open.get() - self.idle.borrow().len()
    }

    /// What a graceful shutdown decides by.
    pub fn shutdown_observation(&self) -> ShutdownObservation {
        let in_flight = self.in_flight.get();
        ShutdownObservation {
            last_request_at: self.last_request_at.get(),
            last_response_at: self.last_answer_at.get(),
            partial_requests: self.busy_count().saturating_sub(in_flight),
            unanswered_requests: in_flight,
            unnotified_connections: self.open.get() - self.lingering.get(),
        }
    }

    /// Limits the deadlines of all requests from now on to this moment.
    pub fn set_answer_deadline(&self, moment: Time) {
        self.answer_deadline.set(Some(moment));
    }

    /// A request's deadline, limited by a graceful shutdown where one has begun.
    pub fn cap_deadline(&self, deadline: Time) -> Time {
        self.answer_deadline
            .get()
            .map_or(deadline, |end| end.min(deadline))
    }

    /// Evicts the connection that has been idle for longest, of those that may be evicted. Returns whether there was
    /// one.
    pub fn evict_longest_idle(&self, now: Time) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest = idle
            .iter()
            .find(|(key, connection)| now - key.since >= connection.min_idle)
            .map(|(&key, _)| key);
        match longest.and_then(|key| idle.remove(&key)) {
            Some(connection) => {
                connection.evict.notify_one();
                true
            }
            None => false,
        }
    }
}

/// One connection's slot. Dropping it gives back all that it is counted in.
pub struct ClientConnection {
    _open: GaugeGuard,
    /// Present from a request, or a rejection that is due, until the answer was written.
    in_flight: RefCell<Option<GaugeGuard>>,
    /// Present once the connection was half-closed.
    lingering: RefCell<Option<GaugeGuard>>,
    id: u64,
    idle_since: Cell<Option<Time>>,
    received_request: Cell<bool>,
    evict: Rc<Notify>,
    connections: Rc<ClientConnections>,
}

impl ClientConnection {
    /// Marks the connection as idle from `now` on, if it isn't already: it may be evicted.
    pub fn mark_idle(&self, now: Time) {
        if self.idle_since.get().is_some() {
            return;
        }
        self.idle_since.set(Some(now));
        let key = IdleKey {
            since: now,
            id: self.id,
        };
        let idle = IdleConnection {
            min_idle: match self.received_request.get() {
                true => MIN_IDLE_AFTER_REQUEST,
                false => MIN_IDLE_BEFORE_FIRST_REQUEST,
            },
            evict: self.evict.clone(),
        };
        self.connections.idle.borrow_mut().insert(key, idle);
    }

    /// Marks the connection as busy: it can't be evicted.
    pub fn mark_busy(&self) {
        if let Some(since) = self.idle_since.take() {
            let key = IdleKey { since, id: self.id };
            self.connections.idle.borrow_mut().remove(&key);
        }
    }

    /// Records that a complete request was received.
    pub fn request_received(&self, now: Time) {
        self.received_request.set(true);
        self.mark_busy();
        self.connections.last_request_at.set(now);
        self.expect_answer();
    }

    /// Counts an answer as owed, be it the rejection of a request that was received in part.
    pub fn expect_answer(&self) {
        self.in_flight
            .borrow_mut()
            .get_or_insert_with(|| self.connections.in_flight.enter());
    }

    /// Records that the answer was written.
    pub fn answer_sent(&self, now: Time) {
        self.connections.last_answer_at.set(now);
        self.in_flight.take();
    }

    /// Records that the connection was half-closed. What still comes is drained, until the slot is needed.
    pub fn begin_linger(&self, now: Time) {
        self.mark_busy();
        self.mark_idle(now);
        self.lingering
            .borrow_mut()
            .get_or_insert_with(|| self.connections.lingering.enter());
    }

    /// Resolves once the slot is needed and the connection should be closed.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.mark_busy();
    }
}

#[cfg(test)]
mod tests;
