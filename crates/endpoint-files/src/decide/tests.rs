use super::*;
use crate::model::Server;

const LAYOUT: Layout = Layout {
    cells: 2,
    reach: 1,
    shards: 8,
};

fn roster(generation: u64, servers: &[(&str, u32, f64)]) -> Roster {
    let server = |(at, (id, cell, weight)): (usize, &(&str, u32, f64))| {
        let address = format!("127.0.0.1:{}", 9000 + at).parse().unwrap();
        let server = Server {
            address,
            cell: *cell,
            locality: String::new(),
            kind: String::new(),
            phase: Phase::Active,
            weight: *weight,
            started: None,
            not_before: None,
            not_after: None,
        };
        (id.to_string(), server)
    };
    Roster {
        generation,
        allow_shrink: false,
        servers: servers.iter().enumerate().map(server).collect(),
    }
}

fn refused(old: Option<&Roster>, new: &Roster, words: &str) {
    let Verdict::Refuse(faults) = judge(old, new, &LAYOUT, USUAL_SHRINK) else {
        panic!("{words}: taken")
    };
    assert!(
        faults.iter().any(|fault| fault.cause.contains(words)),
        "{words}: {faults:?}"
    );
}

#[test]
fn a_list_that_would_break_service_is_refused() {
    let good = roster(
        3,
        &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 0.0)],
    );
    assert_eq!(judge(None, &good, &LAYOUT, USUAL_SHRINK), Verdict::Take);
    refused(
        None,
        &roster(3, &[("a", 0, 1.0), ("c", 2, 1.0)]),
        "there are cells 0 to 1",
    );
    refused(
        None,
        &roster(3, &[("a", 0, 1.0), ("b", 1, 0.0), ("c", 1, 0.0)]),
        "cell 1 add up to 0",
    );
    refused(
        None,
        &roster(3, &[("a", 0, 1.0)]),
        "shard 1 and 3 more have no active holder",
    );
    let mut leaving = good.clone();
    leaving.servers.get_mut("a").unwrap().phase = Phase::Leaving;
    leaving.servers.get_mut("b").unwrap().phase = Phase::Leaving;
    refused(None, &leaving, "shard 0 and 3 more have no active holder");
}

#[test]
fn generations_only_count_up_and_mean_one_list_each() {
    let old = roster(3, &[("a", 0, 1.0), ("b", 1, 1.0)]);
    let mut new = old.clone();
    assert_eq!(
        judge(Some(&old), &new, &LAYOUT, USUAL_SHRINK),
        Verdict::Same
    );
    new.servers.get_mut("a").unwrap().weight = 2.0;
    refused(
        Some(&old),
        &new,
        "generation 3 is in force with other content",
    );
    new.generation = 2;
    refused(Some(&old), &new, "generation 2 is older than 3");
    new.generation = 4;
    assert_eq!(
        judge(Some(&old), &new, &LAYOUT, USUAL_SHRINK),
        Verdict::Take
    );
}

#[test]
fn a_list_that_takes_too_many_away_must_say_that_it_means_to() {
    let old = roster(
        1,
        &[
            ("a", 0, 1.0),
            ("b", 0, 1.0),
            ("c", 1, 1.0),
            ("d", 1, 1.0),
            ("e", 1, 1.0),
            ("f", 1, 1.0),
        ],
    );
    let two_less = roster(
        2,
        &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 1.0)],
    );
    assert_eq!(
        judge(Some(&old), &two_less, &LAYOUT, USUAL_SHRINK),
        Verdict::Take
    );
    let mut three_less = roster(2, &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0)]);
    refused(
        Some(&old),
        &three_less,
        "3 of 6 working servers would leave at once",
    );
    three_less.allow_shrink = true;
    assert_eq!(
        judge(Some(&old), &three_less, &LAYOUT, USUAL_SHRINK),
        Verdict::Take
    );
    let replaced = roster(
        2,
        &[
            ("u", 0, 1.0),
            ("v", 0, 1.0),
            ("w", 1, 1.0),
            ("x", 1, 1.0),
            ("y", 1, 1.0),
            ("z", 1, 1.0),
        ],
    );
    assert_eq!(
        judge(Some(&old), &replaced, &LAYOUT, USUAL_SHRINK),
        Verdict::Take,
        "one for one"
    );
}
