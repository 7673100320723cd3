use super::*;

fn turn(weight: f64, credit: f64) -> RotationEntry {
    RotationEntry {
        weight,
        credit,
        last_turn: 0,
    }
}

#[test]
fn turns_are_shared_in_proportion_and_the_heaviest_gets_no_bursts() {
    let mut turns = [turn(1.0, 0.0), turn(2.0, 0.0), turn(4.0, 0.0)];
    let order: Vec<usize> = (0..70)
        .map(|_| weighted_round_robin(&mut turns).unwrap())
        .collect();
    let count = |of| order.iter().filter(|&&at| at == of).count();
    assert_eq!([count(0), count(1), count(2)], [10, 20, 40]);
    assert!(
        order.windows(3).all(|three| three != [2, 2, 2]),
        "{order:?}"
    );
    assert_eq!(
        weighted_round_robin(&mut [turn(3.0, 0.0), turn(3.0, 1.0)]),
        None
    );
    assert_eq!(weighted_round_robin(&mut []), None);
}
