use super::*;

#[test]
fn two_sides_of_a_cut_never_both_act_for_all() {
    for all in 1..40 {
        for there in 0..=all {
            let (one, other) = (
                QuorumView::from_counts(there, all),
                QuorumView::from_counts(all - there, all),
            );
            let acts = |quorum_view| is_allowed(quorum_view, ClusterAction::ActForCluster);
            assert!(!(acts(one) && acts(other)), "{there} of {all}");
        }
    }
}

#[test]
fn a_standing_is_reckoned_from_the_configured_group() {
    let of = |there| QuorumView::from_counts(there, 12);
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
        "a group of one is whole"
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
        CLUSTER_ACTIONS.map(row),
        [
            [true, true, true, true],
            [true, true, true, true],
            [false, true, true, true],
            [false, false, true, true],
            [false, false, true, true],
        ]
    );
}

#[test]
fn of_two_lives_under_one_name_the_later_one_is_meant() {
    let id = |generation, rejoins, port| MemberId {
        name: NameHash::of("n1"),
        generation,
        rejoins,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    };
    assert!(id(2, 0, 1).supersedes(&id(1, 9, 2)) && !id(1, 9, 2).supersedes(&id(2, 0, 1)));
    assert!(id(1, 1, 1).supersedes(&id(1, 0, 1)) && !id(1, 1, 1).is_another_process(&id(1, 0, 1)));
    assert!(id(1, 0, 2).supersedes(&id(1, 0, 1)) && id(1, 0, 2).is_another_process(&id(1, 0, 1)));
    assert!(!id(1, 0, 1).supersedes(&id(1, 0, 1)));
    assert_ne!(id(1, 0, 1).digest(), id(1, 1, 1).digest());
}
