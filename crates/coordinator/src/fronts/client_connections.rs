//! Tracking of client connections over all fronts: their states, their slots and the memory of their buffers.
//!
//! Counts open connections, requests in flight and lingering connections. When a slot is needed, the connection that
//! has been idle for longest is evicted, so that idle clients don't keep active clients out. If there is none, or if
//! memory is needed, a connection is shed whose request has been incomplete for longest (see [`receiving`]).

mod gauge;
mod receiving;
mod slot;

use super::local_reply_throttle::LocalReplyThrottle;
use crate::connections::discard::DiscardLimiter;
use crate::memory::{MemoryPool, MemoryReservation};
use crate::observability::shed_counts::ShedCounts;
use cairnroad_admin::shutdown::ShutdownObservation;
use cairnroad_types::{Seconds, Time};
use gauge::Gauge;
use receiving::ReceivingConnections;
pub use slot::ClientConnection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Memory in bytes that each connection may use without a reservation. It suffices for a request of usual size, so that
/// such a request is received even if large ones occupy all memory for buffers.
const UNRESERVED_MEMORY: usize = 8 * 1024;
/// Share of the memory for clients' buffers that may be reserved when a large request is submitted; the rest is left for
/// requests that are being received.
const SUBMIT_SHARE: f64 = 0.75;
/// Time after which connections are searched again for one to shed if none could be shed for memory, in seconds. Hundreds
/// of connections may wait for memory.
const SHED_RETRY_DELAY: Seconds = 0.01;

/// Why a connection is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pressure {
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
    /// Counts of the connections that were shed.
    shed_counts: ShedCounts,
    /// When no connection could be shed for memory the last time.
    memory_search_failed_at: Cell<Time>,
}

impl ClientConnections {
    /// Creates the state without connections. Their buffers may occupy `memory` bytes beside what each connection holds
    /// in any case.
    pub fn new(memory: usize, shed_counts: ShedCounts) -> Self {
        ClientConnections {
            memory: MemoryPool::new(memory),
            shed_counts,
            ..ClientConnections::default()
        }
    }

    /// Takes a slot for an accepted connection. Dropping the returned value releases the slot.
    pub fn register(self: &Rc<Self>) -> ClientConnection {
        let id = self.next_id.replace(self.next_id.get() + 1);
        ClientConnection::new(self.clone(), id)
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

    /// Frees slots for new connections: evicts idle connections and sheds silent ones, up to `limit`. If there is none,
    /// sheds the connection whose request has been incomplete for longest.
    pub fn free_slots(&self, now: Time, limit: usize) {
        let evicted = (0..limit).take_while(|_| self.evict_longest_idle(now));
        let left = limit - evicted.count();
        let silent = self.receiving.borrow_mut().shed_silent(now, left);
        for connection in &silent {
            self.notify_shed(connection, Pressure::Slots);
        }
        if left == limit && silent.is_empty() {
            self.shed(now, Pressure::Slots);
        }
    }

    /// Sheds the connection whose request has been incomplete for longest. Returns whether there was one.
    fn shed(&self, now: Time, pressure: Pressure) -> bool {
        let shed = self.receiving.borrow_mut().shed(now, pressure);
        if let Some(connection) = &shed {
            self.notify_shed(connection, pressure);
        }
        shed.is_some()
    }

    fn notify_shed(&self, connection: &Notify, pressure: Pressure) {
        match pressure {
            Pressure::Slots => self.shed_counts.count_for_slot(),
            Pressure::Memory => self.shed_counts.count_for_memory(),
        }
        tracing::warn!(
            ?pressure,
            open = self.open.get(),
            in_flight = self.in_flight.get(),
            buffered_kb = self.memory.reserved() / 1024,
            "client connection shed"
        );
        connection.notify_one();
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

#[cfg(test)]
mod tests;
