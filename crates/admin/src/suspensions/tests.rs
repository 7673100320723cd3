use super::{Suspension, Suspensions, MAX_KNOWN_NODES, MAX_SUSPENSIONS};
use cairnroad_types::{ServerState, Time};
use std::collections::BTreeMap;

const READY: ServerState = ServerState::Ready;

fn at(secs: f64) -> Time {
    Time::from_secs(secs)
}

fn active_count(suspensions: &Suspensions) -> usize {
    let all = suspensions.by_node.values();
    all.filter(|suspension| suspension.is_active()).count()
}

#[test]
fn a_suspension_holds_whatever_the_list_says_until_it_is_resumed() {
    let mut suspensions = Suspensions::default();
    suspensions.record_listed("s-1");
    assert!(suspensions.is_known("s-1") && !suspensions.is_known("s-2"));
    for now in [1.0, 2.0] {
        let suspension = suspensions.plan_suspension("s-1", at(now));
        assert_eq!(
            suspension.suspended_at_us, 1_000_000,
            "a repeated request changes nothing"
        );
        suspensions.apply("s-1", suspension);
    }
    // A suspended node drains whatever the list says, even if the list states a new start.
    assert_eq!(
        suspensions.effective_state("s-1", READY, None),
        (ServerState::Draining, None)
    );
    assert_eq!(
        suspensions.effective_state("s-1", READY, Some(at(2.5))).0,
        ServerState::Draining
    );
    assert_eq!(
        suspensions
            .effective_state("s-1", ServerState::Removed, None)
            .0,
        ServerState::Removed
    );
    assert_eq!(
        suspensions.effective_state("s-2", READY, None),
        (READY, None)
    );
    let resumed = suspensions.plan_resumption("s-1", at(5.0)).unwrap();
    assert!(suspensions.apply("s-1", resumed) && active_count(&suspensions) == 0);
    assert_eq!(
        suspensions.plan_resumption("s-1", at(6.0)),
        None,
        "one request ends the suspension"
    );
}

/// Guards against overload of a node that warms up while the list states its start late or never.
#[test]
fn a_resumed_node_counts_as_started_at_its_resumption_or_at_a_later_listed_start() {
    let mut suspensions = Suspensions::default();
    suspensions.apply(
        "s-1",
        Suspension {
            suspended_at_us: 1_000_000,
            resumed_at_us: Some(5_000_000),
        },
    );
    assert_eq!(
        suspensions.effective_state("s-1", READY, None),
        (READY, Some(at(5.0)))
    );
    assert_eq!(
        suspensions.effective_state("s-1", READY, Some(at(0.5))),
        (READY, Some(at(5.0))),
        "an older start"
    );
    assert_eq!(
        suspensions.effective_state("s-1", READY, Some(at(3.0))),
        (READY, Some(at(3.0)))
    );
    assert_eq!(
        suspensions.effective_state("s-1", ServerState::Draining, None),
        (ServerState::Draining, None)
    );
    assert!(suspensions.remove_expired(at(20.0), 16.0).is_empty());
    assert_eq!(suspensions.remove_expired(at(21.1), 16.0), ["s-1"]);
    assert_eq!(
        suspensions.effective_state("s-1", READY, None),
        (READY, None)
    );
}

#[test]
fn suspensions_stored_by_another_process_are_taken_over() {
    let mut suspensions = Suspensions::default();
    let (suspended, resumed) = (
        Suspension {
            suspended_at_us: 1,
            resumed_at_us: None,
        },
        Suspension {
            suspended_at_us: 1,
            resumed_at_us: Some(2),
        },
    );
    let stored = |suspension| BTreeMap::from([("s-1".to_string(), suspension)]);
    assert_eq!(suspensions.synchronize(&stored(suspended)), ["s-1"]);
    assert!(
        suspensions.synchronize(&stored(suspended)).is_empty(),
        "nothing changed"
    );
    assert!(
        suspensions.is_known("s-1"),
        "a node that is only known from the store can be resumed"
    );
    assert_eq!(suspensions.synchronize(&stored(resumed)), ["s-1"]);
    assert_eq!(suspensions.synchronize(&BTreeMap::new()), ["s-1"]);
    assert_eq!(active_count(&suspensions), 0);
}

#[test]
fn known_nodes_and_suspensions_are_bounded() {
    let mut suspensions = Suspensions::default();
    for number in 0..MAX_KNOWN_NODES + 10 {
        suspensions.record_listed(&format!("s-{number}"));
    }
    assert!(
        !suspensions.is_known("s-9")
            && suspensions.is_known("s-10")
            && suspensions.known_nodes.len() == MAX_KNOWN_NODES
    );
    for number in 0..MAX_SUSPENSIONS {
        assert!(suspensions.apply(
            &format!("s-{number}"),
            Suspension {
                suspended_at_us: 1,
                resumed_at_us: None
            }
        ));
    }
    assert!(!suspensions.has_capacity_for("s-x") && suspensions.has_capacity_for("s-0"));
    assert!(!suspensions.apply(
        "s-x",
        Suspension {
            suspended_at_us: 1,
            resumed_at_us: None
        }
    ));
}
