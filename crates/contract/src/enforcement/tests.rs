use super::*;

fn departure(kind: ViolationKind) -> Violation {
    let text = |text: &str| text.to_string();
    Violation {
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
        assert!(sampler.sample(), "{share}");
        let taken = 1 + (1..1000).filter(|_| sampler.sample()).count();
        assert!(taken.abs_diff(of) <= 1, "{share}: {taken}");
    }
    for share in [0.0, -1.0, f64::NAN] {
        let mut sampler = Sampler::new(share);
        assert!(!(0..1000).any(|_| sampler.sample()), "{share}");
    }
}

#[test]
fn what_finds_no_room_is_counted_and_room_comes_back() {
    let mut room = BacklogLimit::new(3, 100);
    assert!(
        room.try_reserve(60) && room.try_reserve(40) && !room.try_reserve(1),
        "bytes"
    );
    room.release(60);
    assert!(
        room.try_reserve(1) && room.try_reserve(1) && !room.try_reserve(1),
        "messages"
    );
    assert_eq!(room.rejected, 2);
    assert!(
        !BacklogLimit::new(3, 100).try_reserve(101),
        "one that never fits"
    );
}

#[test]
fn only_enforce_refuses_and_never_what_is_not_described() {
    let wrong = [
        departure(ViolationKind::Type),
        departure(ViolationKind::Missing),
    ];
    let RequestDecision::Reject(reason) = decide_request(Mode::Enforce, &wrong) else {
        panic!("served")
    };
    assert_eq!(reason, "body /q: wanted x, found y; 1 more");
    assert_eq!(
        decide_request(Mode::Observe, &wrong),
        RequestDecision::Serve
    );
    assert_eq!(
        decide_request(Mode::Enforce, &[departure(ViolationKind::Unknown)]),
        RequestDecision::Serve
    );
    assert!(
        is_response_usable(Mode::Observe, &wrong)
            && is_response_usable(Mode::Enforce, &[])
            && !is_response_usable(Mode::Enforce, &wrong)
    );
}

#[test]
fn one_faulty_description_leaves_all_as_they_were() {
    let text = r#"{"openapi":"3.1.0","info":{"title":"t","version":"1"},"paths":{}}"#;
    let held = |mode| {
        let description = Description::from_text("a.json", text).unwrap();
        Ok(InterfaceContract {
            mode,
            share: 1.0,
            description: Arc::new(description),
        })
    };
    let (first, changed) = ActiveContracts::default()
        .replaced_by(vec![(Interface::Query, held(Mode::Observe))])
        .unwrap();
    assert_eq!(changed, [Interface::Query].into());
    let faulty = vec![
        (Interface::Query, held(Mode::Enforce)),
        (Interface::Servers, Err("x.yaml: bad".into())),
    ];
    assert_eq!(
        first.replaced_by(faulty).unwrap_err(),
        "contract.servers: x.yaml: bad"
    );
    assert_eq!(
        (first.generation, first.get(Interface::Query).unwrap().mode),
        (1, Mode::Observe)
    );
    // The same text read again is the same description, in another mode.
    let (again, changed) = first
        .replaced_by(vec![(Interface::Query, held(Mode::Enforce))])
        .unwrap();
    assert!(changed.is_empty() && again.get(Interface::Query).unwrap().mode == Mode::Enforce);
    let (off, changed) = again
        .replaced_by(vec![(Interface::Query, held(Mode::Off))])
        .unwrap();
    assert!(off.is_off() && off.generation == 3 && changed.len() == 1);
}
