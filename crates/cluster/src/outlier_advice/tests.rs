use super::*;

#[test]
fn one_voice_and_a_chorus_against_all_are_not_heeded() {
    let doubted = |counts: &[usize]| -> BTreeMap<String, usize> {
        counts
            .iter()
            .enumerate()
            .map(|(number, count)| (format!("s-{number}"), *count))
            .collect()
    };
    assert_eq!(
        confirmed_outliers(&doubted(&[1, 2, 3]), 12, 10),
        ["s-1", "s-2"]
    );
    assert_eq!(
        confirmed_outliers(&doubted(&[2, 14, 15, 16]), 300, 60),
        ["s-2", "s-3"],
        "a twentieth of 300"
    );
    assert!(
        confirmed_outliers(&doubted(&[3; 4]), 12, 10).is_empty(),
        "four of ten"
    );
    assert!(confirmed_outliers(&doubted(&[]), 12, 0).is_empty());
}
