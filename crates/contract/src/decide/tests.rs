use super::*;

fn departure(kind: Departs) -> Departure {
    let text = |text: &str| text.to_string();
    Departure {
        kind,
        place: text("body /q"),
        described: text("#"),
        expected: text("x"),
        found: text("y"),
    }
}

#[test]
fn a_share_is_taken_evenly_and_the_first_always() {
    for (share, of) in [(1.0, 1000), (0.1, 100), (0.25, 250), (0.003, 3)] {
        let mut sampler = Sampler::new(share);
        assert!(sampler.take(), "{share}");
        let taken = 1 + (1..1000).filter(|_| sampler.take()).count();
        assert!(taken.abs_diff(of) <= 1, "{share}: {taken}");
    }
    for share in [0.0, -1.0, f64::NAN] {
        let mut sampler = Sampler::new(share);
        assert!(!(0..1000).any(|_| sampler.take()), "{share}");
    }
}

#[test]
fn what_finds_no_room_is_counted_and_room_comes_back() {
    let mut room = Room::new(3, 100);
    assert!(room.enter(60) && room.enter(40) && !room.enter(1), "bytes");
    room.leave(60);
    assert!(room.enter(1) && room.enter(1) && !room.enter(1), "messages");
    assert_eq!(room.missed, 2);
    assert!(!Room::new(3, 100).enter(101), "one that never fits");
}

#[test]
fn only_enforce_refuses_and_never_what_is_not_described() {
    let wrong = [departure(Departs::Type), departure(Departs::Missing)];
    let Request::Refuse(reason) = request(Mode::Enforce, &wrong) else {
        panic!("served")
    };
    assert_eq!(reason, "body /q: wanted x, found y; 1 more");
    assert_eq!(request(Mode::Observe, &wrong), Request::Serve);
    assert_eq!(
        request(Mode::Enforce, &[departure(Departs::Unknown)]),
        Request::Serve
    );
    assert!(
        usable(Mode::Observe, &wrong)
            && usable(Mode::Enforce, &[])
            && !usable(Mode::Enforce, &wrong)
    );
}

#[test]
fn one_faulty_description_leaves_all_as_they_were() {
    let text = r#"{"openapi":"3.1.0","info":{"title":"t","version":"1"},"paths":{}}"#;
    let held = |mode| {
        let description = Description::from_text("a.json", text).unwrap();
        Ok(Held {
            mode,
            share: 1.0,
            description: Arc::new(description),
        })
    };
    let (first, changed) = InForce::default()
        .next(vec![(Interface::Query, held(Mode::Observe))])
        .unwrap();
    assert_eq!(changed, [Interface::Query].into());
    let faulty = vec![
        (Interface::Query, held(Mode::Enforce)),
        (Interface::Servers, Err("x.yaml: bad".into())),
    ];
    assert_eq!(
        first.next(faulty).unwrap_err(),
        "contract.servers: x.yaml: bad"
    );
    assert_eq!(
        (first.generation, first.of(Interface::Query).unwrap().mode),
        (1, Mode::Observe)
    );
    // The same text read again is the same description, in another mode.
    let (again, changed) = first
        .next(vec![(Interface::Query, held(Mode::Enforce))])
        .unwrap();
    assert!(changed.is_empty() && again.of(Interface::Query).unwrap().mode == Mode::Enforce);
    let (off, changed) = again
        .next(vec![(Interface::Query, held(Mode::Off))])
        .unwrap();
    assert!(off.is_off() && off.generation == 3 && changed.len() == 1);
}
