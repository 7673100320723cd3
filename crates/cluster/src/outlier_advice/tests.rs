use super::*;

#[test]
fn single_reporters_and_reports_on_too_many_servers_are_ignored() {
    let reports = |counts: &[usize]| -> BTreeMap<String, usize> {
        counts
            .iter()
            .enumerate()
            .map(|(number, count)| (format!("s-{number}"), *count))
            .collect()
    };
    assert_eq!(
        confirmed_outliers(&reports(&[1, 2, 3]), 12, 10),
        ["s-1", "s-2"]
    );
    assert_eq!(
        confirmed_outliers(&reports(&[2, 14, 15, 16]), 300, 60),
        ["s-2", "s-3"],
        "5% of 300 members are 15 reporters"
    );
    assert!(
        confirmed_outliers(&reports(&[3; 4]), 12, 10).is_empty(),
        "4 of 10 data nodes are too many"
    );
    assert!(confirmed_outliers(&reports(&[]), 12, 0).is_empty());
}
