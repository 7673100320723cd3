use super::*;

#[test]
fn a_real_difference_is_distinguished_from_noise() {
    let noise = |seed: u64, count: usize| -> Vec<f64> {
        let mut rng = StdRng::seed_from_u64(seed);
        (0..count).map(|_| rng.random::<f64>() - 0.5).collect()
    };
    // At a 95 % interval, about one in twenty pairs without a difference is reported as different.
    let false_positives = (0..200)
        .filter(|&seed| {
            !paired_difference(&noise(seed, 8), &noise(seed + 1_000, 8))
                .unwrap()
                .is_noise()
        })
        .count();
    assert!(false_positives <= 20, "{false_positives} of 200");
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
        "two repeats are too few for a finite interval"
    );
    assert_eq!(paired_difference(&[], &[]), None);
}
