use super::*;

fn entry(weight: f64, credit: f64) -> RotationEntry {
    RotationEntry {
        weight,
        credit,
        last_turn: 0,
    }
}

#[test]
fn turns_are_shared_in_proportion_and_the_heaviest_replica_gets_no_bursts() {
    let mut entries = [entry(1.0, 0.0), entry(2.0, 0.0), entry(4.0, 0.0)];
    let order: Vec<usize> = (0..70)
        .map(|_| weighted_round_robin(&mut entries).unwrap())
        .collect();
    let count = |replica| {
        order
            .iter()
            .filter(|&&selected| selected == replica)
            .count()
    };
    assert_eq!([count(0), count(1), count(2)], [10, 20, 40]);
    assert!(
        order.windows(3).all(|three| three != [2, 2, 2]),
        "{order:?}"
    );
    assert_eq!(
        weighted_round_robin(&mut [entry(3.0, 0.0), entry(3.0, 1.0)]),
        None
    );
    assert_eq!(weighted_round_robin(&mut []), None);
}
