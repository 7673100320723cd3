//! What is due when, and when to call again.

use cairnroad_types::Time;
use std::collections::BTreeSet;

/// Things that are due at a moment each, and the moment for which a call was last asked.
pub struct Agenda<D> {
    due: BTreeSet<(Time, D)>,
    armed: Option<Time>,
}

impl<D> Default for Agenda<D> {
    fn default() -> Self {
        Agenda {
            due: BTreeSet::new(),
            armed: None,
        }
    }
}

impl<D: Ord + Copy> Agenda<D> {
    /// A thing is due at a moment.
    pub fn insert(&mut self, at: Time, thing: D) {
        self.due.insert((at, thing));
    }

    /// It is not due then after all.
    pub fn remove(&mut self, at: Time, thing: D) {
        self.due.remove(&(at, thing));
    }

    /// The next thing that is due by now, and since when.
    pub fn pop(&mut self, now: Time) -> Option<(Time, D)> {
        let first = *self.due.first().filter(|&&(at, _)| at <= now)?;
        self.due.remove(&first);
        Some(first)
    }

    /// The moment to call again, where no call was asked for that comes as soon.
    pub fn wake(&mut self, now: Time) -> Option<Time> {
        let &(at, _) = self.due.first()?;
        if self.armed.is_some_and(|armed| armed > now && armed <= at) {
            return None;
        }
        self.armed = Some(at);
        Some(at)
    }
}

#[cfg(test)]
mod tests;
