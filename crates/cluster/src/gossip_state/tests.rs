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
            "an old version is not stored"
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
        "an entry of an earlier generation is not stored"
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
        "a coordinator's own report does not count"
    );
    assert!(state
        .outlier_reports(at(1.0 + OUTLIER_REPORT_TTL + 0.1), NameHash(0))
        .is_empty());
    // A repeated report, from a member that received it late, is not stored again and stays stale.
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
        "entries of a writer that was never a member also expire"
    );
    state.mark_absent(at(100.0), NameHash::of("a"));
    state.remove_expired(at(159.0));
    assert_eq!(
        state.phase(NameHash::of("a"), 1),
        Some(MemberPhase::Serving)
    );
    state.remove_expired(at(161.0));
    assert!(state.is_empty());
    // A departure is kept for an hour by the writer's clock: stale gossip that the member is alive may circulate for
    // that long.
    let departure = entry("a", 1, 2, GossipValue::Departure { at_ms: 100_000 });
    assert!(state.merge(at(200.0), departure.clone()) && state.has_left(NameHash::of("a"), 1));
    state.remove_expired(at(3_699.0));
    assert!(state.has_left(NameHash::of("a"), 1) && !state.has_left(NameHash::of("a"), 2));
    state.remove_expired(at(3_701.0));
    assert!(
        state.is_empty() && !state.merge(at(3_701.0), departure),
        "an expired departure is not stored again"
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
    let too_long = "x".repeat(65);
    assert!(
        !state.merge(at(1.0), entry("a", 1, 1, description("b", "r", 0))),
        "a description under another writer's name"
    );
    assert!(!state.merge(at(1.0), entry("a", 1, 1, description("a", &too_long, 0))));
    assert!(!state.merge(
        at(1.0),
        entry("a", 1, 1, description("a", "r", MAX_OFFERS + 1))
    ));
    assert!(!state.merge(at(1.0), entry("a", 1, 1, outliers(&[&too_long]))));
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
    let (mut first, mut second) = (GossipState::default(), GossipState::default());
    for number in 0..200 {
        let writer = format!("n{number}");
        let entry = entry(&writer, 1, 1, GossipValue::Phase(MemberPhase::Serving));
        for state in [&mut first, &mut second] {
            state.merge(at(1.0), entry.clone());
            state.mark_present(NameHash::of(&writer));
        }
    }
    assert!(first.entries_differing_from(&second.digests()).is_empty());
    first.merge(
        at(2.0),
        entry("n7", 1, 2, GossipValue::Phase(MemberPhase::Draining)),
    );
    second.merge(
        at(2.0),
        entry("n8", 1, 2, GossipValue::Phase(MemberPhase::Stopping)),
    );
    let (from_first, from_second) = (
        first.entries_differing_from(&second.digests()),
        second.entries_differing_from(&first.digests()),
    );
    assert!(
        from_first.len() < 40,
        "only entries of differing buckets: {}",
        from_first.len()
    );
    for entry in from_first {
        second.merge(at(3.0), entry);
    }
    for entry in from_second {
        first.merge(at(3.0), entry);
    }
    assert_eq!(first.digests(), second.digests());
    assert_eq!(
        first.phase(NameHash::of("n8"), 1),
        Some(MemberPhase::Stopping)
    );
}
