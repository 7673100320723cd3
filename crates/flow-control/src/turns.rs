//! Turns by weight.

use std::cmp::Ordering;

/// Of replicas with their weight, what they are owed and when their turn was last, the one that is owed most: turns
/// are shared in proportion and smoothly, the heaviest gets no bursts. What they are owed is brought up to date.
/// `None`: all weigh the same.
pub fn owed(turns: &mut [(f64, f64, i64)]) -> Option<usize> {
    let (weight, sum) = (turns.first()?.0, turns.iter().map(|turn| turn.0).sum::<f64>());
    if turns.iter().all(|turn| turn.0 == weight) {
        return None;
    }
    turns.iter_mut().for_each(|(weight, credit, _)| *credit = (*credit + *weight).min(sum));
    let by_credit = |a: &(f64, i64), b: &(f64, i64)| a.partial_cmp(b).unwrap_or(Ordering::Equal);
    let keys = turns.iter().map(|&(_, credit, turn)| (credit, -turn)).enumerate();
    let (best, _) = keys.max_by(|(_, a), (_, b)| by_credit(a, b))?;
    turns[best].1 = (turns[best].1 - sum).max(-sum);
    Some(best)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn turns_are_shared_in_proportion_and_the_heaviest_gets_no_bursts() {
        let mut turns = [(1.0, 0.0, 0), (2.0, 0.0, 0), (4.0, 0.0, 0)];
        let order: Vec<usize> = (0..70).map(|_| owed(&mut turns).unwrap()).collect();
        let count = |of| order.iter().filter(|&&at| at == of).count();
        assert_eq!([count(0), count(1), count(2)], [10, 20, 40]);
        assert!(order.windows(3).all(|three| three != [2, 2, 2]), "{order:?}");
        assert_eq!(owed(&mut [(3.0, 0.0, 0), (3.0, 1.0, 0)]), None);
        assert_eq!(owed(&mut []), None);
    }
}
