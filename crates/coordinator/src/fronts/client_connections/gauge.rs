//! A counter of things that others hold.

use std::cell::Cell;
use std::rc::Rc;

/// A counter whose units are held by guards, so that no unit is left over when its holder is dropped.
#[derive(Clone, Default)]
pub(super) struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// Returns the number of units that are held.
    pub(super) fn get(&self) -> usize {
        self.0.get()
    }

    /// Adds a unit, which the returned guard holds.
    pub(super) fn acquire(&self) -> GaugeGuard {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self.0.clone())
    }
}

/// One unit of a [`Gauge`], released on drop.
pub(super) struct GaugeGuard(Rc<Cell<usize>>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
