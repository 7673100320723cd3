//! Turns by weight.

use std::cmp::Ordering;

/// Of replicas with their weight, what they are owed and when their turn was last, the one that is owed most: turns
/// are shared in proportion and smoothly, the heaviest gets no bursts. What they are owed is brought up to date.
/// `None`: all weigh the same.
pub fn owed(turns: &mut [(f64, f64, i64)]) -> Option<usize> {
    let (weight, sum) = (
        turns.first()?.0,
        turns.iter().map(|turn| turn.0).sum::<f64>(),
    );
    if turns.iter().all(|turn| turn.0 == weight) {
        return None;
    }
    turns
        .iter_mut()
        .for_each(|(weight, credit, _)| *credit = (*credit + *weight).min(sum));
    let by_credit = |a: &(f64, i64), b: &(f64, i64)| a.partial_cmp(b).unwrap_or(Ordering::Equal);
    let keys = turns
        .iter()
        .map(|&(_, credit, turn)| (credit, -turn))
        .enumerate();
    let (best, _) = keys.max_by(|(_, a), (_, b)| by_credit(a, b))?;
    turns[best].1 = (turns[best].1 - sum).max(-sum);
    Some(best)
}

#[cfg(test)]
mod tests;
