//! Smooth weighted round robin.

use std::cmp::Ordering;

/// One replica's entry in the rotation.
#[derive(Clone, Copy, Debug)]
pub struct RotationEntry {
    /// Share of turns, relative to the weights of the other replicas.
    pub weight: f64,
    /// Turns that the replica is owed, in units of weight; negative if it is ahead of its share.
    pub credit: f64,
    /// Number of the replica's last turn, counted over all turns.
    pub last_turn: i64,
}

/// Selects the replica that is owed the most turns and updates all credits. Returns its index in `entries`.
///
/// Turns are shared in proportion to the weights, and smoothly: the replica with the highest weight gets no
/// bursts. Replicas with equal credit take turns. Returns `None` if there are no replicas or all weights are
/// equal.
pub fn weighted_round_robin(entries: &mut [RotationEntry]) -> Option<usize> {
    let first_weight = entries.first()?.weight;
    if entries.iter().all(|entry| entry.weight == first_weight) {
        return None;
    }
    let total_weight: f64 = entries.iter().map(|entry| entry.weight).sum();
    for entry in entries.iter_mut() {
        entry.credit = (entry.credit + entry.weight).min(total_weight);
    }
    let (selected, _) = entries
        .iter()
        .enumerate()
        .max_by(|(_, a), (_, b)| by_credit_then_wait(a, b))?;
    entries[selected].credit = (entries[selected].credit - total_weight).max(-total_weight);
    Some(selected)
}

/// Orders entries by credit, then by how long ago the last turn was. Credits that can't be compared are equal.
fn by_credit_then_wait(a: &RotationEntry, b: &RotationEntry) -> Ordering {
    let key = |entry: &RotationEntry| (entry.credit, -entry.last_turn);
    key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
}

#[cfg(test)]
mod tests;
