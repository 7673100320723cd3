use super::{decide_correction, decide_update, UpdateDecision, DEFAULT_MAX_REMOVED_SHARE};
use crate::endpoint_set::{Endpoint, EndpointSet, Phase};
use crate::shard_layout::ShardLayout;

const LAYOUT: ShardLayout = ShardLayout {
    cells: 2,
    cells_per_shard: 1,
    shards: 8,
};

fn endpoint_set(generation: u64, servers: &[(&str, u32, f64)]) -> EndpointSet {
    let endpoint = |(at, (id, cell, weight)): (usize, &(&str, u32, f64))| {
        let address = format!("127.0.0.1:{}", 9000 + at).parse().unwrap();
        let endpoint = Endpoint {
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
        (id.to_string(), endpoint)
    };
    EndpointSet {
        generation,
        allow_shrink: false,
        endpoints: servers.iter().enumerate().map(endpoint).collect(),
    }
}

fn assert_rejected(old: Option<&EndpointSet>, new: &EndpointSet, expected: &str) {
    let UpdateDecision::Reject(faults) =
        decide_update(old, new, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE)
    else {
        panic!("not rejected, expected: {expected}")
    };
    assert!(
        faults
            .iter()
            .any(|fault| fault.cause.to_string().contains(expected)),
        "{expected}: {faults:?}"
    );
}

#[test]
fn a_list_that_leaves_shards_or_cells_unserved_is_rejected() {
    let good = endpoint_set(
        3,
        &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 0.0)],
    );
    assert_eq!(
        decide_update(None, &good, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE),
        UpdateDecision::Apply
    );
    assert_rejected(
        None,
        &endpoint_set(3, &[("a", 0, 1.0), ("c", 2, 1.0)]),
        "server 'c' is in cell 2, but the cells are 0 to 1",
    );
    assert_rejected(
        None,
        &endpoint_set(3, &[("a", 0, 1.0), ("b", 1, 0.0), ("c", 1, 0.0)]),
        "cell 1 add up to 0",
    );
    assert_rejected(
        None,
        &endpoint_set(3, &[("a", 0, 1.0)]),
        "shard 1 and 3 more have no active holder",
    );
    let mut leaving = good.clone();
    leaving.endpoints.get_mut("a").unwrap().phase = Phase::Draining;
    leaving.endpoints.get_mut("b").unwrap().phase = Phase::Draining;
    assert_rejected(None, &leaving, "shard 0 and 3 more have no active holder");
}

#[test]
fn a_changed_list_needs_a_newer_generation() {
    let old = endpoint_set(3, &[("a", 0, 1.0), ("b", 1, 1.0)]);
    let mut new = old.clone();
    assert_eq!(
        decide_update(Some(&old), &new, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE),
        UpdateDecision::Unchanged
    );
    new.endpoints.get_mut("a").unwrap().weight = 2.0;
    assert_rejected(
        Some(&old),
        &new,
        "generation 3 is in force with different content",
    );
    new.generation = 2;
    assert_rejected(Some(&old), &new, "generation 2 is older than 3");
    new.generation = 4;
    assert_eq!(
        decide_update(Some(&old), &new, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE),
        UpdateDecision::Apply
    );
}

#[test]
fn a_list_that_removes_too_many_endpoints_needs_allow_shrink() {
    let old = endpoint_set(
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
    let two_removed = endpoint_set(
        2,
        &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 1.0)],
    );
    assert_eq!(
        decide_update(Some(&old), &two_removed, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE),
        UpdateDecision::Apply
    );
    let mut three_removed = endpoint_set(2, &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0)]);
    assert_rejected(
        Some(&old),
        &three_removed,
        "3 of 6 active servers would be removed at once",
    );
    three_removed.allow_shrink = true;
    assert_eq!(
        decide_update(
            Some(&old),
            &three_removed,
            &LAYOUT,
            DEFAULT_MAX_REMOVED_SHARE
        ),
        UpdateDecision::Apply
    );
    let replaced = endpoint_set(
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
        decide_update(Some(&old), &replaced, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE),
        UpdateDecision::Apply,
        "endpoints are replaced one for one"
    );
}

/// Guards against a list that was read half-written and bars the finished one: its generation, which may be the new one or
/// made of digits of both, does not count, and neither do the endpoints that it removed.
#[test]
fn a_list_that_was_read_half_written_is_corrected_from_the_one_before() {
    let before = endpoint_set(19, &[("a", 0, 1.0), ("b", 1, 1.0), ("c", 1, 1.0)]);
    let finished = endpoint_set(20, &[("a", 0, 1.0), ("b", 1, 1.0), ("d", 1, 1.0)]);
    let decide = |before: Option<&EndpointSet>, new: &EndpointSet| {
        decide_correction(before, new, &LAYOUT, DEFAULT_MAX_REMOVED_SHARE)
    };
    assert_eq!(decide(Some(&before), &finished), UpdateDecision::Apply);
    assert_eq!(decide(Some(&before), &before), UpdateDecision::Apply);
    assert_eq!(decide(None, &finished), UpdateDecision::Apply);
    let mut reused = finished.clone();
    reused.generation = 19;
    assert!(matches!(
        decide(Some(&before), &reused),
        UpdateDecision::Reject(_)
    ));
    let unserved = endpoint_set(20, &[("a", 0, 1.0)]);
    assert!(matches!(
        decide(Some(&before), &unserved),
        UpdateDecision::Reject(_)
    ));
}
