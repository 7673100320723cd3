use super::*;

#[test]
fn two_sides_of_a_partition_never_both_act_for_the_cluster() {
    for configured in 1..40 {
        for live in 0..=configured {
            let (one, other) = (
                QuorumView::from_counts(live, configured),
                QuorumView::from_counts(configured - live, configured),
            );
            let acts = |quorum_view| is_allowed(quorum_view, ClusterAction::ActForCluster);
            assert!(!(acts(one) && acts(other)), "{live} of {configured}");
        }
    }
}

#[test]
fn quorum_view_is_computed_from_the_configured_group() {
    let of = |live| QuorumView::from_counts(live, 12);
    assert_eq!([of(12), of(13)], [QuorumView::Complete; 2]);
    assert_eq!(
        [of(7), of(6), of(2), of(1), of(0)],
        [
            QuorumView::Majority,
            QuorumView::Minority,
            QuorumView::Minority,
            QuorumView::Isolated,
            QuorumView::Isolated
        ]
    );
    assert_eq!(
        QuorumView::from_counts(1, 1),
        QuorumView::Complete,
        "a group of one is complete"
    );
}

/// The table in the documentation is this one.
#[test]
fn more_of_the_group_never_allows_less() {
    let quorum_views = [
        QuorumView::Isolated,
        QuorumView::Minority,
        QuorumView::Majority,
        QuorumView::Complete,
    ];
    let row = |action| quorum_views.map(|quorum_view| is_allowed(quorum_view, action));
    assert_eq!(
        ClusterAction::ALL.map(row),
        [
            [true, true, true, true],
            [true, true, true, true],
            [false, true, true, true],
            [false, false, true, true],
            [false, false, true, true],
        ]
    );
}
