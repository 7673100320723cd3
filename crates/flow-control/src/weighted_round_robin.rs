//! Smooth weighted round robin.

use std::cmp::Ordering;

/// One replica's place in the rotation.
#[derive(Clone, Copy, Debug)]
pub struct RotationEntry {
    /// Its share of turns, relative to the other replicas' weights.
    pub weight: f64,
    /// The turns it is owed, in units of weight.
    pub credit: f64,
    /// When its last turn was, as a count of turns.
    pub last_turn: i64,
}

/// Picks the replica that is owed most and updates all credits; the index into `turns`.
///
/// Turns are shared in proportion to the weights and smoothly: the heaviest replica gets no bursts. Replicas
/// with equal credit take turns. Returns `None` if there are no replicas or all weigh the same.
pub fn weighted_round_robin(turns: &mut [RotationEntry]) -> Option<usize> {
    let first_weight = turns.first()?.weight;
    if turns.iter().all(|turn| turn.weight == first_weight) {
        return None;
    }
    let total: f64 = turns.iter().map(|turn| turn.weight).sum();
    for turn in turns.iter_mut() {
        turn.credit = (turn.credit + turn.weight).min(total);
    }
    let (chosen, _) = turns
        .iter()
        .enumerate()
        .max_by(|(_, a), (_, b)| by_credit_then_wait(a, b))?;
    turns[chosen].credit = (turns[chosen].credit - total).max(-total);
    Some(chosen)
}

/// Orders by credit, then by how long ago the last turn was. Credits that can't be compared are equal.
fn by_credit_then_wait(a: &RotationEntry, b: &RotationEntry) -> Ordering {
    let key = |turn: &RotationEntry| (turn.credit, -turn.last_turn);
    key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
}

#[cfg(test)]
mod tests;
