//! Tracking of client connections over all fronts: their states, their slots and the memory of their buffers.
//!
//! Counts open connections, requests in flight and lingering connections. When a slot is needed, the connection that
//! has been idle for longest is evicted, so that idle clients don't keep active clients out. If there is none, or if
//! memory is needed, a connection is shed whose request has been incomplete for longest (see [`receiving`]).

mod receiving;

use super::local_reply_throttle::LocalReplyThrottle;
use crate::clock::Clock;
use crate::connections::discard::DiscardLimiter;
use crate::memory::{MemoryPool, MemoryReservation};
use cairnroad_admin::shutdown::ShutdownObservation;
use cairnroad_types::{Seconds, Time};
use receiving::ReceivingConnections;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Minimum idle time before a connection that has sent no request may be evicted. Its first request may be in transit,
/// and a client counts that request as failed if the connection closes.
const MIN_IDLE_BEFORE_FIRST_REQUEST: Seconds = 0.25;
/// The same minimum after a request was received. Clients repeat a later request on a new connection, and under load a
/// client soon reuses its connection.
const MIN_IDLE_AFTER_REQUEST: Seconds = 0.05;

/// The same minimum for a lingering connection. Bytes that cross its close arrive by then.
const MIN_LINGER: Seconds = 0.05;
/// Memory in bytes that each connection may use without a reservation. It suffices for a request of usual size, so that
/// such a request is received even if large ones occupy all memory for buffers.
const UNRESERVED_MEMORY: usize = 8 * 1024;
/// Share of the memory for clients' buffers that may be reserved when a large request is submitted; the rest is left for
/// requests that are being received.
const SUBMIT_SHARE: f64 = 0.75;
/// Interval at which a connection that waits for memory tries again, unless memory is released before.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which connections are searched again for one to shed if none could be shed for memory, in seconds. Hundreds
/// of connections may wait for memory.
const SHED_RETRY_DELAY: Seconds = 0.01;

/// Why a connection is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pressure {
    /// A new connection needs a slot.
    Slots,
    /// A request that is being received needs memory.
    Memory,
}

/// Identifies an idle connection. Keys are ordered by idle time, the longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    idle_since: Time,
    id: u64,
}

/// An idle connection that may be evicted.
struct IdleConnection {
    /// Idle time before which the connection is not evicted.
    min_idle: Seconds,
    /// Notifies the session that its connection is evicted.
    eviction: Rc<Notify>,
}

/// A counter whose units are held by guards, so that no unit is left over when its holder is dropped.
#[derive(Clone, Default)]
struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    fn get(&self) -> usize {
        self.0.get()
    }

    fn acquire(&self) -> GaugeGuard {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self.0.clone())
    }
}

/// One unit of a [`Gauge`], released on drop.
struct GaugeGuard(Rc<Cell<usize>>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The client connections of all fronts.
#[derive(Default)]
pub struct ClientConnections {
    /// Open connections.
    open: Gauge,
    /// Requests that were received and are not answered yet.
    in_flight: Gauge,
    /// Connections that were half-closed and whose incoming bytes are discarded.
    lingering: Gauge,
    /// Time at which the last complete request was received.
    last_request_at: Cell<Time>,
    /// Time at which the last answer was written.
    last_answer_at: Cell<Time>,
    /// Time by which every request must be answered; `None` unless a graceful shutdown has begun.
    answer_deadline: Cell<Option<Time>>,
    next_id: Cell<u64>,
    /// Limits the rate at which the connections discard what clients still send.
    pub discards: DiscardLimiter,
    /// Limits the share of the thread of requests that are answered without the core.
    pub local_replies: LocalReplyThrottle,
    /// Connections that may be evicted, by idle time.
    idle: RefCell<BTreeMap<IdleKey, IdleConnection>>,
    /// Connections with an incomplete request.
    receiving: RefCell<ReceivingConnections>,
    /// The memory for the buffers of all connections.
    memory: MemoryPool,
    /// When no connection could be shed for memory the last time.
    memory_search_failed_at: Cell<Time>,
}

impl ClientConnections {
    /// Creates the state without connections. Their buffers may occupy `memory` bytes beside what each connection holds
    /// in any case.
    pub fn new(memory: usize) -> Self {
        ClientConnections {
            memory: MemoryPool::new(memory),
            ..ClientConnections::default()
        }
    }

    /// Takes a slot for an accepted connection. Dropping the returned value releases the slot.
    pub fn register(self: &Rc<Self>) -> ClientConnection {
        let id = self.next_id.replace(self.next_id.get() + 1);
        ClientConnection {
            _open: self.open.acquire(),
            in_flight: RefCell::default(),
            lingering: RefCell::default(),
            id,
            idle_since: Cell::new(None),
            received_request: Cell::new(false),
            eviction: Rc::default(),
            memory: Rc::new(self.memory.empty_reservation()),
            connections: self.clone(),
        }
    }

    /// Returns the number of open connections in any state.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of connections whose request is in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of connections with a request in flight or partially received.
    pub fn busy_count(&self) -> usize {
        self.open.get() - self.idle.borrow().len()
    }

    /// Returns the state of client connections that the phases of a graceful shutdown depend on.
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

    /// Limits the deadlines of all later requests to this time.
    pub fn set_answer_deadline(&self, deadline: Time) {
        self.answer_deadline.set(Some(deadline));
    }

    /// Returns a request's deadline, limited to the answer deadline if a graceful shutdown has begun.
    pub fn cap_deadline(&self, deadline: Time) -> Time {
        self.answer_deadline
            .get()
            .map_or(deadline, |limit| limit.min(deadline))
    }

    /// Evicts the connection that has been idle for longest among those that may be evicted. Returns whether there was
    /// one.
    pub fn evict_longest_idle(&self, now: Time) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest = idle
            .iter()
            .find(|(key, connection)| now - key.idle_since >= connection.min_idle)
            .map(|(&key, _)| key);
        match longest.and_then(|key| idle.remove(&key)) {
            Some(connection) => {
                connection.eviction.notify_one();
                true
            }
            None => false,
        }
    }

    /// Frees a slot or memory: evicts an idle connection if a slot is needed, or else sheds the connection whose request
    /// has been incomplete for longest. Returns whether there was one.
    pub fn shed(&self, now: Time, pressure: Pressure) -> bool {
        if pressure == Pressure::Slots && self.evict_longest_idle(now) {
            return true;
        }
        let Some(shed) = self.receiving.borrow_mut().shed(now, pressure) else {
            return false;
        };
        tracing::warn!(
            ?pressure,
            open = self.open.get(),
            in_flight = self.in_flight.get(),
            buffered_kb = self.memory.reserved() / 1024,
            "client connection shed"
        );
        shed.notify_one();
        true
    }

    /// Sheds a connection that holds memory, unless a search has just found none.
    fn shed_for_memory(&self, now: Time) {
        let is_due = now - self.memory_search_failed_at.get() >= SHED_RETRY_DELAY;
        if is_due && !self.shed(now, Pressure::Memory) {
            self.memory_search_failed_at.set(now);
        }
    }

    /// Reserves memory for a request that is submitted; `None` if too little is left. A request of usual size needs no
    /// reservation.
    pub fn reserve_for_request(&self, size: usize) -> Option<MemoryReservation> {
        match size.saturating_sub(UNRESERVED_MEMORY) {
            0 => Some(self.memory.empty_reservation()),
            reserved => self.memory.reserve_within(reserved, SUBMIT_SHARE),
        }
    }
}

/// The slot of one connection. Dropping it removes the connection from all counts.
pub struct ClientConnection {
    _open: GaugeGuard,
    /// Held while an answer is pending, from the receipt of a request until its answer or rejection is written.
    in_flight: RefCell<Option<GaugeGuard>>,
    /// Held once the connection is half-closed.
    lingering: RefCell<Option<GaugeGuard>>,
    id: u64,
    idle_since: Cell<Option<Time>>,
    received_request: Cell<bool>,
    /// Notified once the connection is evicted or shed.
    eviction: Rc<Notify>,
    /// The memory of the connection's buffers.
    memory: Rc<MemoryReservation>,
    connections: Rc<ClientConnections>,
}

impl ClientConnection {
    /// Marks the connection as idle since `now`, unless it already is idle. An idle connection may be evicted.
    pub fn mark_idle(&self, now: Time) {
        if self.idle_since.get().is_some() {
            return;
        }
        self.connections.receiving.borrow_mut().remove(self.id);
        self.idle_since.set(Some(now));
        let key = IdleKey {
            idle_since: now,
            id: self.id,
        };
        let idle = IdleConnection {
            min_idle: self.min_idle(),
            eviction: self.eviction.clone(),
        };
        self.connections.idle.borrow_mut().insert(key, idle);
    }

    /// Returns the idle time before which the connection is not evicted.
    fn min_idle(&self) -> Seconds {
        if self.lingering.borrow().is_some() {
            MIN_LINGER
        } else if self.received_request.get() {
            MIN_IDLE_AFTER_REQUEST
        } else {
            MIN_IDLE_BEFORE_FIRST_REQUEST
        }
    }

    /// Records that bytes of an incomplete request were received. The connection may be shed.
    pub fn mark_receiving(&self, now: Time) {
        self.leave_idle();
        self.connections.receiving.borrow_mut().on_progress(
            self.id,
            now,
            &self.eviction,
            &self.memory,
        );
    }

    /// Reserves memory for the connection's buffers, which occupy `size` bytes. Returns whether there was enough.
    pub fn try_reserve(&self, size: usize) -> bool {
        self.memory.resize(size.saturating_sub(UNRESERVED_MEMORY))
    }

    /// Does the same, and sheds other connections until there is enough memory. This may be the connection itself, and
    /// the wait has no limit of its own.
    pub async fn reserve(&self, size: usize, clock: &Clock) {
        while !self.try_reserve(size) {
            self.connections.shed_for_memory(clock.now());
            let released = self.connections.memory.released();
            let _ = tokio::time::timeout(MEMORY_POLL_INTERVAL, released).await;
        }
    }

    /// Marks the connection as busy. A busy connection is neither evicted nor shed.
    pub fn mark_busy(&self) {
        self.leave_idle();
        self.connections.receiving.borrow_mut().remove(self.id);
    }

    fn leave_idle(&self) {
        if let Some(idle_since) = self.idle_since.take() {
            let key = IdleKey {
                idle_since,
                id: self.id,
            };
            self.connections.idle.borrow_mut().remove(&key);
        }
    }

    /// Records that a complete request was received.
    pub fn request_received(&self, now: Time) {
        self.received_request.set(true);
        self.mark_busy();
        self.connections.last_request_at.set(now);
        self.mark_answer_pending();
    }

    /// Records that an answer is pending, which may be the rejection of a partially received request.
    pub fn mark_answer_pending(&self) {
        self.in_flight
            .borrow_mut()
            .get_or_insert_with(|| self.connections.in_flight.acquire());
    }

    /// Records that the answer was written.
    pub fn answer_sent(&self, now: Time) {
        self.connections.last_answer_at.set(now);
        self.in_flight.take();
    }

    /// Records that the connection was half-closed. It then counts as idle, so that it may be evicted.
    pub fn begin_linger(&self, now: Time) {
        self.mark_busy();
        self.lingering
            .borrow_mut()
            .get_or_insert_with(|| self.connections.lingering.acquire());
        self.mark_idle(now);
    }

    /// Waits until the connection is evicted and should be closed.
    pub async fn wait_for_eviction(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.mark_busy();
    }
}

#[cfg(test)]
mod tests;
