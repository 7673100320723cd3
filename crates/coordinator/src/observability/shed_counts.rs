//! Counts of client connections that were shed, for the metrics line.

use std::cell::Cell;
use std::rc::Rc;

/// Connections that were shed since the counts were last taken. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct ShedCounts {
    slots: Rc<Cell<u32>>,
    memory: Rc<Cell<u32>>,
}

/// The counts of one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShedConnections {
    /// Connections that were shed because a new connection needed a slot.
    pub for_slots: u32,
    /// Connections that were shed because a request needed memory.
    pub for_memory: u32,
}

impl ShedCounts {
    /// Counts a connection that was shed for a slot.
    pub fn count_for_slot(&self) {
        self.slots.set(self.slots.get().saturating_add(1));
    }

    /// Counts a connection that was shed for memory.
    pub fn count_for_memory(&self) {
        self.memory.set(self.memory.get().saturating_add(1));
    }

    /// Takes and resets the counts.
    pub fn take(&self) -> ShedConnections {
        ShedConnections {
            for_slots: self.slots.take(),
            for_memory: self.memory.take(),
        }
    }
}
