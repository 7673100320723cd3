use super::*;

fn at(secs: f64) -> Time {
    Time::from_secs(secs)
}

fn entry(writer: &str, generation: u64, version: u32, value: GossipValue) -> GossipEntry {
    GossipEntry {
        writer: NameHash::of(writer),
        generation,
        version,
        value,
    }
}

fn outliers(ids: &[&str]) -> GossipValue {
    GossipValue::Outliers(ids.iter().map(|id| id.to_string()).collect())
}

#[test]
fn the_newest_generation_and_version_win_in_any_order() {
    let phases = [
        entry("a", 5, 1, GossipValue::Phase(MemberPhase::Starting)),
        entry("a", 5, 2, GossipValue::Phase(MemberPhase::Serving)),
        entry("a", 6, 1, GossipValue::Phase(MemberPhase::Starting)),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]] {
        let mut state = GossipState::default();
        for number in order {
            state.merge(at(1.0), phases[number].clone());
        }
        assert_eq!(
            state.phase(NameHash::of("a"), 6),
            Some(MemberPhase::Starting),
            "{order:?}"
        );
        assert_eq!(state.phase(NameHash::of("a"), 5), None);
        assert!(
            !state.merge(at(2.0), phases[1].clone()),
            "an old version is no news"
        );
    }
}

#[test]
fn entries_of_an_earlier_generation_are_removed() {
    let mut state = GossipState::default();
    assert!(state.merge(at(1.0), entry("a", 5, 9, outliers(&["s-1"]))));
    state.mark_present(NameHash::of("a"));
    assert_eq!(state.outlier_reports(at(1.0), NameHash(0)).len(), 1);
    assert!(state.merge(
        at(1.0),
        entry("a", 6, 1, GossipValue::Phase(MemberPhase::Starting))
    ));
    assert!(state.outlier_reports(at(1.0), NameHash(0)).is_empty());
    assert!(
        !state.merge(at(1.0), entry("a", 5, 10, outliers(&["s-1"]))),
        "an earlier generation writes no more"
    );
}

#[test]
fn outlier_reports_of_live_members_count_while_fresh() {
    let mut state = GossipState::default();
    for (writer, ids) in [
        ("a", vec!["s-1", "s-2"]),
        ("b", vec!["s-1"]),
        ("c", vec!["s-1"]),
    ] {
        state.merge(at(1.0), entry(writer, 1, 1, outliers(&ids)));
        match writer {
            "c" => state.mark_absent(at(1.0), NameHash::of(writer)),
            _ => state.mark_present(NameHash::of(writer)),
        }
    }
    assert_eq!(
        state.outlier_reports(at(2.0), NameHash(0)),
        BTreeMap::from([("s-1", 2), ("s-2", 1)])
    );
    assert_eq!(
        state.outlier_reports(at(2.0), NameHash::of("b"))["s-1"],
        1,
        "a coordinator's own report is no advice to itself"
    );
    assert!(state
        .outlier_reports(at(1.0 + OUTLIER_REPORT_TTL + 0.1), NameHash(0))
        .is_empty());
    // The same report again, from a member that received it late, is no news.
    assert!(!state.merge(at(20.0), entry("a", 1, 1, outliers(&["s-1", "s-2"]))));
}

#[test]
fn entries_of_absent_writers_expire() {
    let mut state = GossipState::default();
    let phase = |writer| entry(writer, 1, 1, GossipValue::Phase(MemberPhase::Serving));
    state.merge(at(1.0), phase("a"));
    state.merge(at(1.0), phase("b"));
    state.mark_present(NameHash::of("a"));
    state.remove_expired(at(60.0));
    assert_eq!(state.len(), 2);
    state.remove_expired(at(62.0));
    assert_eq!(
        state.len(),
        1,
        "entries of a writer that was never a member expire, too"
    );
    state.mark_absent(at(100.0), NameHash::of("a"));
    state.remove_expired(at(159.0));
    assert_eq!(
        state.phase(NameHash::of("a"), 1),
        Some(MemberPhase::Serving)
    );
    state.remove_expired(at(161.0));
    assert!(state.is_empty());
    // A departure is kept for as long as stale gossip that the member is alive may live, by the writer's clock.
    let left = entry("a", 1, 2, GossipValue::Departure { at_ms: 100_000 });
    assert!(state.merge(at(200.0), left.clone()) && state.has_left(NameHash::of("a"), 1));
    state.remove_expired(at(3_699.0));
    assert!(state.has_left(NameHash::of("a"), 1) && !state.has_left(NameHash::of("a"), 2));
    state.remove_expired(at(3_701.0));
    assert!(
        state.is_empty() && !state.merge(at(3_701.0), left),
        "a departure that has expired is not taken again"
    );
}

#[test]
fn entries_beyond_their_limits_are_rejected() {
    let mut state = GossipState::default();
    let description = |name: &str, room: &str, offers: usize| {
        GossipValue::Description(MemberDescription {
            name: name.into(),
            room: room.into(),
            offers: vec!["x".into(); offers],
        })
    };
    let long = "x".repeat(65);
    assert!(
        !state.merge(at(1.0), entry("a", 1, 1, description("b", "r", 0))),
        "a description under another's name"
    );
    assert!(!state.merge(at(1.0), entry("a", 1, 1, description("a", &long, 0))));
    assert!(!state.merge(
        at(1.0),
        entry("a", 1, 1, description("a", "r", MAX_OFFERS + 1))
    ));
    assert!(!state.merge(at(1.0), entry("a", 1, 1, outliers(&[&long]))));
    assert!(!state.merge(
        at(1.0),
        entry("a", 1, 1, outliers(&["s"; MAX_REPORTED_OUTLIERS + 1]))
    ));
    assert!(state.merge(at(1.0), entry("a", 1, 1, description("a", "r", MAX_OFFERS))));
    assert_eq!(
        state.description(NameHash::of("a")).map(|description| (
            description.name.as_str(),
            description.room.as_str(),
            description.offers.len()
        )),
        Some(("a", "r", 8))
    );
    for number in 0..MAX_ENTRIES as u64 + 10 {
        let entry = GossipEntry {
            writer: NameHash(number),
            generation: 1,
            version: 1,
            value: GossipValue::Phase(MemberPhase::Serving),
        };
        state.merge(at(1.0), entry);
    }
    assert_eq!(state.len(), MAX_ENTRIES);
}

#[test]
fn exchanging_entries_of_differing_digests_makes_two_states_equal() {
    let (mut one, mut other) = (GossipState::default(), GossipState::default());
    for number in 0..200 {
        let writer = format!("n{number}");
        let entry = entry(&writer, 1, 1, GossipValue::Phase(MemberPhase::Serving));
        for state in [&mut one, &mut other] {
            state.merge(at(1.0), entry.clone());
            state.mark_present(NameHash::of(&writer));
        }
    }
    assert!(one.entries_differing_from(&other.digests()).is_empty());
    one.merge(
        at(2.0),
        entry("n7", 1, 2, GossipValue::Phase(MemberPhase::Draining)),
    );
    other.merge(
        at(2.0),
        entry("n8", 1, 2, GossipValue::Phase(MemberPhase::Stopping)),
    );
    let (from_one, from_other) = (
        one.entries_differing_from(&other.digests()),
        other.entries_differing_from(&one.digests()),
    );
    assert!(from_one.len() < 40, "only some buckets: {}", from_one.len());
    for entry in from_one {
        other.merge(at(3.0), entry);
    }
    for entry in from_other {
        one.merge(at(3.0), entry);
    }
    assert_eq!(one.digests(), other.digests());
    assert_eq!(
        one.phase(NameHash::of("n8"), 1),
        Some(MemberPhase::Stopping)
    );
}
