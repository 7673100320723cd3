use super::*;

fn at(secs: f64) -> Time {
    Time::from_secs(secs)
}

fn fact(writer: &str, generation: u64, version: u32, what: What) -> Fact {
    Fact {
        writer: Name::of(writer),
        generation,
        version,
        what,
    }
}

fn doubts(ids: &[&str]) -> What {
    What::Doubts(ids.iter().map(|id| id.to_string()).collect())
}

#[test]
fn the_newest_life_and_version_win_in_any_order() {
    let phases = [
        fact("a", 5, 1, What::Phase(Phase::Starting)),
        fact("a", 5, 2, What::Phase(Phase::Serving)),
        fact("a", 6, 1, What::Phase(Phase::Starting)),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]] {
        let mut facts = Facts::default();
        for number in order {
            facts.take(at(1.0), phases[number].clone());
        }
        assert_eq!(
            facts.phase(Name::of("a"), 6),
            Some(Phase::Starting),
            "{order:?}"
        );
        assert_eq!(facts.phase(Name::of("a"), 5), None);
        assert!(!facts.take(at(2.0), phases[1].clone()), "old news is none");
    }
}

#[test]
fn what_an_earlier_life_said_is_void() {
    let mut facts = Facts::default();
    assert!(facts.take(at(1.0), fact("a", 5, 9, doubts(&["s-1"]))));
    facts.seen(at(1.0), Name::of("a"), true);
    assert_eq!(facts.doubted(at(1.0), Name(0)).len(), 1);
    assert!(facts.take(at(1.0), fact("a", 6, 1, What::Phase(Phase::Starting))));
    assert!(facts.doubted(at(1.0), Name(0)).is_empty());
    assert!(
        !facts.take(at(1.0), fact("a", 5, 10, doubts(&["s-1"]))),
        "an earlier life writes no more"
    );
}

#[test]
fn doubts_are_counted_while_fresh_of_those_who_are_there() {
    let mut facts = Facts::default();
    for (writer, ids) in [
        ("a", vec!["s-1", "s-2"]),
        ("b", vec!["s-1"]),
        ("c", vec!["s-1"]),
    ] {
        facts.take(at(1.0), fact(writer, 1, 1, doubts(&ids)));
        facts.seen(at(1.0), Name::of(writer), writer != "c");
    }
    assert_eq!(
        facts.doubted(at(2.0), Name(0)),
        BTreeMap::from([("s-1", 2), ("s-2", 1)])
    );
    assert_eq!(
        facts.doubted(at(2.0), Name::of("b"))["s-1"],
        1,
        "one's own word is no advice"
    );
    assert!(facts
        .doubted(at(1.0 + DOUBTS_LAST + 0.1), Name(0))
        .is_empty());
    // The same word again, from one who heard it late, is no news.
    assert!(!facts.take(at(20.0), fact("a", 1, 1, doubts(&["s-1", "s-2"]))));
}

#[test]
fn facts_of_those_who_are_gone_are_forgotten() {
    let mut facts = Facts::default();
    let phase = |writer| fact(writer, 1, 1, What::Phase(Phase::Serving));
    facts.take(at(1.0), phase("a"));
    facts.take(at(1.0), phase("b"));
    facts.seen(at(1.0), Name::of("a"), true);
    facts.expire(at(60.0));
    assert_eq!(facts.len(), 2);
    facts.expire(at(62.0));
    assert_eq!(facts.len(), 1, "a word of one who was never seen goes, too");
    facts.seen(at(100.0), Name::of("a"), false);
    facts.expire(at(159.0));
    assert_eq!(facts.phase(Name::of("a"), 1), Some(Phase::Serving));
    facts.expire(at(161.0));
    assert!(facts.is_empty());
    // That it left is kept for as long as old words that it is there may live, by one clock for all.
    let left = fact("a", 1, 2, What::Left { at_ms: 100_000 });
    assert!(facts.take(at(200.0), left.clone()) && facts.has_left(Name::of("a"), 1));
    facts.expire(at(3_699.0));
    assert!(facts.has_left(Name::of("a"), 1) && !facts.has_left(Name::of("a"), 2));
    facts.expire(at(3_701.0));
    assert!(
        facts.is_empty() && !facts.take(at(3_701.0), left),
        "not by one who expires it later either"
    );
}

#[test]
fn what_breaks_its_bounds_is_not_taken() {
    let mut facts = Facts::default();
    let card = |name: &str, room: &str, offers: usize| What::Card {
        name: name.into(),
        room: room.into(),
        offers: vec!["x".into(); offers],
    };
    let long = "x".repeat(65);
    assert!(
        !facts.take(at(1.0), fact("a", 1, 1, card("b", "r", 0))),
        "another's name"
    );
    assert!(!facts.take(at(1.0), fact("a", 1, 1, card("a", &long, 0))));
    assert!(!facts.take(at(1.0), fact("a", 1, 1, card("a", "r", MOST_OFFERS + 1))));
    assert!(!facts.take(at(1.0), fact("a", 1, 1, doubts(&[&long]))));
    assert!(!facts.take(at(1.0), fact("a", 1, 1, doubts(&["s"; MOST_DOUBTS + 1]))));
    assert!(facts.take(at(1.0), fact("a", 1, 1, card("a", "r", MOST_OFFERS))));
    assert_eq!(
        facts
            .card(Name::of("a"))
            .map(|card| (card.0, card.1, card.2.len())),
        Some(("a", "r", 8))
    );
    for number in 0..MOST_FACTS as u64 + 10 {
        let fact = Fact {
            writer: Name(number),
            generation: 1,
            version: 1,
            what: What::Phase(Phase::Serving),
        };
        facts.take(at(1.0), fact);
    }
    assert_eq!(facts.len(), MOST_FACTS);
}

#[test]
fn sums_tell_where_two_differ_and_the_difference_makes_them_equal() {
    let (mut one, mut other) = (Facts::default(), Facts::default());
    for number in 0..200 {
        let writer = format!("n{number}");
        let fact = fact(&writer, 1, 1, What::Phase(Phase::Serving));
        for facts in [&mut one, &mut other] {
            facts.take(at(1.0), fact.clone());
            facts.seen(at(1.0), Name::of(&writer), true);
        }
    }
    assert!(one.differing(&other.sums()).is_empty());
    one.take(at(2.0), fact("n7", 1, 2, What::Phase(Phase::Draining)));
    other.take(at(2.0), fact("n8", 1, 2, What::Phase(Phase::Stopping)));
    let (from_one, from_other) = (one.differing(&other.sums()), other.differing(&one.sums()));
    assert!(from_one.len() < 40, "only some buckets: {}", from_one.len());
    for fact in from_one {
        other.take(at(3.0), fact);
    }
    for fact in from_other {
        one.take(at(3.0), fact);
    }
    assert_eq!(one.sums(), other.sums());
    assert_eq!(one.phase(Name::of("n8"), 1), Some(Phase::Stopping));
}
