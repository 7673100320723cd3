use super::*;
use crate::endpoint_set::Endpoint;

const LAYOUT: ShardLayout = ShardLayout {
    cells: 2,
    reach: 1,
    shards: 8,
};

fn roster(generation: u64, servers: &[(&str, u32, f64)]) -> EndpointSet {
    let server = |(at, (id, cell, weight)): (usize, &(&str, u32, f64))| {
        let address = format!("127.0.0.1:{}", 9000 + at).parse().unwrap();
        let server = Endpoint {
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
    EndpointSet {
        generation,
        allow_shrink: false,
        endpoints: servers.iter().enumerate().map(server).collect(),
    }
}

fn refused(old: Option<&EndpointSet>, new: &EndpointSet, words: &str) {
    let UpdateDecision::Reject(faults) = decide_update(old, new, &LAYOUT, DEFAULT_MAX_SHRINK)
    else {
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
    assert_eq!(
        decide_update(None, &good, &LAYOUT, DEFAULT_MAX_SHRINK),
        UpdateDecision::Apply
    );
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
    leaving.endpoints.get_mut("a").unwrap().phase = Phase::Draining;
    leaving.endpoints.get_mut("b").unwrap().phase = Phase::Draining;
    refused(None, &leaving, "shard 0 and 3 more have no active holder");
}

#[test]
fn generations_only_count_up_and_mean_one_list_each() {
    let old = roster(3, &[("a", 0, 1.0), ("b", 1, 1.0)]);
    let mut new = old.clone();
    assert_eq!(
        decide_update(Some(&old), &new, &LAYOUT, DEFAULT_MAX_SHRINK),
        UpdateDecision::Unchanged
    );
    new.endpoints.get_mut("a").unwrap().weight = 2.0;
    refused(
        Some(&old),
        &new,
        "generation 3 is in force with other content",
    );
    new.generation = 2;
    refused(Some(&old), &new, "generation 2 is older than 3");
    new.generation = 4;
    assert_eq!(
        decide_update(Some(&old), &new, &LAYOUT, DEFAULT_MAX_SHRINK),
        UpdateDecision::Apply
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
        decide_update(Some(&old), &two_less, &LAYOUT, DEFAULT_MAX_SHRINK),
        UpdateDecision::Apply
    );
    let mut three_less = roster(2, &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0)]);
    refused(
        Some(&old),
        &three_less,
        "3 of 6 working servers would leave at once",
    );
    three_less.allow_shrink = true;
    assert_eq!(
        decide_update(Some(&old), &three_less, &LAYOUT, DEFAULT_MAX_SHRINK),
        UpdateDecision::Apply
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
        decide_update(Some(&old), &replaced, &LAYOUT, DEFAULT_MAX_SHRINK),
        UpdateDecision::Apply,
        "one for one"
    );
}
