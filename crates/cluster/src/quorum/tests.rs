use super::*;

#[test]
fn two_sides_of_a_partition_never_both_act_for_the_cluster() {
    for configured in 1..40 {
        for live in 0..=configured {
            let (first_side, second_side) = (
                QuorumView::from_counts(live, configured),
                QuorumView::from_counts(configured - live, configured),
            );
            let may_act = |quorum_view| is_allowed(quorum_view, ClusterAction::ActForCluster);
            assert!(
                !(may_act(first_side) && may_act(second_side)),
                "{live} of {configured}"
            );
        }
    }
}

#[test]
fn quorum_view_is_computed_from_the_configured_group() {
    let view_of = |live| QuorumView::from_counts(live, 12);
    assert_eq!([view_of(12), view_of(13)], [QuorumView::Complete; 2]);
    assert_eq!(
        [view_of(7), view_of(6), view_of(2), view_of(1), view_of(0)],
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

/// Checks the table in the documentation of [`is_allowed`].
#[test]
fn allowed_actions_match_the_documented_table() {
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
