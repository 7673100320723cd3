use super::*;

#[test]
fn a_real_difference_is_distinguished_from_noise() {
    let noise = |seed: u64, count: usize| -> Vec<f64> {
        let mut rng = StdRng::seed_from_u64(seed);
        (0..count).map(|_| rng.random::<f64>() - 0.5).collect()
    };
    // Of many pairs without a difference, about one in twenty may be called one.
    let called = (0..200)
        .filter(|&seed| {
            !paired_difference(&noise(seed, 8), &noise(seed + 1_000, 8))
                .unwrap()
                .is_noise()
        })
        .count();
    assert!(called <= 20, "{called} of 200");
    let shifted: Vec<f64> = noise(7, 8).iter().map(|v| v + 1.0).collect();
    let found = paired_difference(&noise(9, 8), &shifted).unwrap();
    assert!(
        !found.is_noise() && (found.mean - 1.0).abs() < 0.5,
        "{found:?}"
    );
    assert!(
        paired_difference(&[1.0, 1.0], &[2.0, 2.0])
            .unwrap()
            .is_noise(),
        "two repeats prove nothing"
    );
    assert_eq!(paired_difference(&[], &[]), None);
}
