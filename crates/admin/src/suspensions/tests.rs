use super::*;

const READY: ServerState = ServerState::Ready;

fn at(secs: f64) -> Time {
    Time::from_secs(secs)
}

#[test]
fn a_ban_holds_against_the_list_until_the_one_call_back() {
    let mut bans = Suspensions::default();
    bans.listed("s-1");
    assert!(bans.knows("s-1") && !bans.knows("s-2"));
    for now in [1.0, 2.0] {
        let ban = bans.suspended("s-1", at(now));
        assert_eq!(ban.since_us, 1_000_000, "a repeated call changes nothing");
        bans.put("s-1", ban);
    }
    // Whatever the list says of it, a start included, it gets nothing new.
    assert_eq!(
        bans.overlay("s-1", READY, None),
        (ServerState::Draining, None)
    );
    assert_eq!(
        bans.overlay("s-1", READY, Some(at(2.5))).0,
        ServerState::Draining
    );
    assert_eq!(
        bans.overlay("s-1", ServerState::Removed, None).0,
        ServerState::Removed
    );
    assert_eq!(bans.overlay("s-2", READY, None), (READY, None));
    let back = bans.resumed("s-1", at(5.0)).unwrap();
    assert!(bans.put("s-1", back) && bans.held().count() == 0);
    assert_eq!(bans.resumed("s-1", at(6.0)), None, "one call back ends it");
}

/// Guards against a cold node that is pushed over because the list tells late of its start, or never.
#[test]
fn a_node_that_is_back_counts_as_started_at_the_call_or_as_the_list_says() {
    let mut bans = Suspensions::default();
    bans.put(
        "s-1",
        Suspension {
            since_us: 1_000_000,
            back_us: Some(5_000_000),
        },
    );
    assert_eq!(bans.overlay("s-1", READY, None), (READY, Some(at(5.0))));
    assert_eq!(
        bans.overlay("s-1", READY, Some(at(0.5))),
        (READY, Some(at(5.0))),
        "an older start"
    );
    assert_eq!(
        bans.overlay("s-1", READY, Some(at(3.0))),
        (READY, Some(at(3.0)))
    );
    assert_eq!(
        bans.overlay("s-1", ServerState::Draining, None),
        (ServerState::Draining, None)
    );
    assert!(bans.expire(at(20.0), 16.0).is_empty());
    assert_eq!(bans.expire(at(21.1), 16.0), ["s-1"]);
    assert_eq!(bans.overlay("s-1", READY, None), (READY, None));
}

#[test]
fn what_another_process_keeps_is_taken_over() {
    let mut bans = Suspensions::default();
    let (held, back) = (
        Suspension {
            since_us: 1,
            back_us: None,
        },
        Suspension {
            since_us: 1,
            back_us: Some(2),
        },
    );
    let kept = |ban| BTreeMap::from([("s-1".to_string(), ban)]);
    assert_eq!(bans.merge(&kept(held)), ["s-1"]);
    assert!(bans.merge(&kept(held)).is_empty(), "nothing new");
    assert!(
        bans.knows("s-1"),
        "a call back is taken though no list named it"
    );
    assert_eq!(bans.merge(&kept(back)), ["s-1"]);
    assert_eq!(bans.merge(&BTreeMap::new()), ["s-1"]);
    assert_eq!(bans.held().count(), 0);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut bans = Suspensions::default();
    for number in 0..MOST_SEEN + 10 {
        bans.listed(&format!("s-{number}"));
    }
    assert!(!bans.knows("s-9") && bans.knows("s-10") && bans.seen.len() == MOST_SEEN);
    for number in 0..MOST_BANS {
        assert!(bans.put(
            &format!("s-{number}"),
            Suspension {
                since_us: 1,
                back_us: None
            }
        ));
    }
    assert!(!bans.has_room("s-x") && bans.has_room("s-0"));
    assert!(!bans.put(
        "s-x",
        Suspension {
            since_us: 1,
            back_us: None
        }
    ));
}
