use super::*;

#[test]
fn turns_are_shared_in_proportion_and_the_heaviest_gets_no_bursts() {
    let mut turns = [(1.0, 0.0, 0), (2.0, 0.0, 0), (4.0, 0.0, 0)];
    let order: Vec<usize> = (0..70).map(|_| owed(&mut turns).unwrap()).collect();
    let count = |of| order.iter().filter(|&&at| at == of).count();
    assert_eq!([count(0), count(1), count(2)], [10, 20, 40]);
    assert!(
        order.windows(3).all(|three| three != [2, 2, 2]),
        "{order:?}"
    );
    assert_eq!(owed(&mut [(3.0, 0.0, 0), (3.0, 1.0, 0)]), None);
    assert_eq!(owed(&mut []), None);
}
