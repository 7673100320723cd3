//! Accounting of the memory for buffers: owners of buffers reserve bytes from a [`MemoryPool`] before they allocate them,
//! so that the sum of all buffers stays below the pool's limit.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A number of bytes that the buffers of one kind may occupy together. Clones share their state.
#[derive(Clone, Debug)]
pub struct MemoryPool(Rc<PoolState>);

#[derive(Debug)]
struct PoolState {
    /// Maximum number of reserved bytes.
    limit: usize,
    reserved: Cell<usize>,
    /// Notifies one waiter when bytes are released.
    released: Notify,
}

impl Default for MemoryPool {
    /// Creates a pool without a limit.
    fn default() -> Self {
        MemoryPool::new(usize::MAX)
    }
}

impl MemoryPool {
    /// Creates a pool of `limit` bytes.
    pub fn new(limit: usize) -> MemoryPool {
        MemoryPool(Rc::new(PoolState {
            limit,
            reserved: Cell::new(0),
            released: Notify::new(),
        }))
    }

    /// Returns a reservation of no bytes, which can be resized.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            pool: self.clone(),
            bytes: Cell::new(0),
        }
    }

    /// Reserves bytes if at most `share` of the pool, between 0 and 1, is reserved afterwards.
    pub fn reserve_within(&self, bytes: usize, share: f64) -> Option<MemoryReservation> {
        let limit = (self.0.limit as f64 * share) as usize;
        let fits = self.reserved().saturating_add(bytes) <= limit;
        let reservation = self.empty_reservation();
        (fits && reservation.resize(bytes)).then_some(reservation)
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// Completes once bytes were released after the last completion.
    pub async fn released(&self) {
        self.0.released.notified().await;
    }
}

/// Bytes that are reserved from a pool. Dropping the value releases them.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: MemoryPool,
    bytes: Cell<usize>,
}

impl MemoryReservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Changes the number of reserved bytes. Returns false, and changes nothing, if the pool has too few bytes left.
    #[must_use]
    pub fn resize(&self, bytes: usize) -> bool {
        let state = &self.pool.0;
        let others = state.reserved.get() - self.bytes.get();
        let total = others.saturating_add(bytes);
        if bytes > self.bytes.get() && total > state.limit {
            return false;
        }
        state.reserved.set(total);
        if bytes < self.bytes.replace(bytes) {
            state.released.notify_one();
        }
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        // Shrinking a reservation never fails.
        let _ = self.resize(0);
    }
}

#[cfg(test)]
mod tests;
