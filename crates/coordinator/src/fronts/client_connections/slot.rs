//! The slot of one client connection, through which its session reports the connection's state.

use super::gauge::GaugeGuard;
use super::{ClientConnections, IdleConnection, IdleKey, UNRESERVED_MEMORY};
use crate::clock::Clock;
use crate::memory::MemoryReservation;
use cairnroad_types::{Seconds, Time};
use std::cell::{Cell, RefCell};
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
/// Interval at which a connection that waits for memory tries again, unless memory is released before.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(100);

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
    /// Takes a slot. `id` is different for each connection.
    pub(super) fn new(connections: Rc<ClientConnections>, id: u64) -> Self {
        ClientConnection {
            _open: connections.open.acquire(),
            in_flight: RefCell::default(),
            lingering: RefCell::default(),
            id,
            idle_since: Cell::new(None),
            received_request: Cell::new(false),
            eviction: Rc::default(),
            memory: Rc::new(connections.memory.empty_reservation()),
            connections,
        }
    }

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
