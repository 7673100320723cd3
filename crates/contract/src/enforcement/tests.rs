use super::{
    decide_request, is_response_usable, ActiveContracts, BacklogLimit, Faults, Interface,
    InterfaceContract, LoadError, Mode, RequestDecision, Sampler,
};
use crate::conformance::{Violation, ViolationKind};
use crate::fault::Fault;
use crate::model::Description;
use std::sync::Arc;

fn violation(kind: ViolationKind) -> Violation {
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
fn sampling_is_even_and_starts_with_the_first_message() {
    for (share, of) in [(1.0, 1000), (0.1, 100), (0.25, 250), (0.003, 3)] {
        let mut sampler = Sampler::new(share);
        assert!(sampler.sample(), "{share}");
        let selected = 1 + (1..1000).filter(|_| sampler.sample()).count();
        assert!(selected.abs_diff(of) <= 1, "{share}: {selected}");
    }
    for share in [0.0, -1.0, f64::NAN] {
        let mut sampler = Sampler::new(share);
        assert!(!(0..1000).any(|_| sampler.sample()), "{share}");
    }
}

#[test]
fn a_full_backlog_rejects_and_counts_until_capacity_is_released() {
    let mut backlog = BacklogLimit::new(3, 100);
    assert!(
        backlog.try_reserve(60) && backlog.try_reserve(40) && !backlog.try_reserve(1),
        "bytes"
    );
    backlog.release(60);
    assert!(
        backlog.try_reserve(1) && backlog.try_reserve(1) && !backlog.try_reserve(1),
        "messages"
    );
    assert_eq!(backlog.rejected, 2);
    assert!(
        !BacklogLimit::new(3, 100).try_reserve(101),
        "one that never fits"
    );
}

#[test]
fn only_enforce_rejects_and_never_what_is_not_described() {
    let wrong = [
        violation(ViolationKind::Type),
        violation(ViolationKind::Missing),
    ];
    let RequestDecision::Reject(reason) = decide_request(Mode::Enforce, &wrong) else {
        panic!("served")
    };
    assert_eq!(reason.to_string(), "body /q: wanted x, found y; 1 more");
    assert_eq!(
        decide_request(Mode::Observe, &wrong),
        RequestDecision::Serve
    );
    assert_eq!(
        decide_request(Mode::Enforce, &[violation(ViolationKind::Unknown)]),
        RequestDecision::Serve
    );
    assert!(
        is_response_usable(Mode::Observe, &wrong)
            && is_response_usable(Mode::Enforce, &[])
            && !is_response_usable(Mode::Enforce, &wrong)
    );
}

#[test]
fn one_faulty_description_leaves_all_contracts_in_force() {
    let text = r#"{"openapi":"3.1.0","info":{"title":"t","version":"1"},"paths":{}}"#;
    let contract = |mode| {
        let description = Description::from_text("a.json", text).unwrap();
        Ok(InterfaceContract {
            mode,
            share: 1.0,
            description: Arc::new(description),
        })
    };
    let (first, changed) = ActiveContracts::default()
        .replaced_by(vec![(Interface::Query, contract(Mode::Observe))])
        .unwrap();
    assert_eq!(changed, [Interface::Query].into());
    let mut faults = Faults::default();
    faults.push(Fault {
        file: "x.yaml".into(),
        line: 0,
        column: 0,
        pointer: String::new(),
        cause: "bad".into(),
    });
    let faulty = vec![
        (Interface::Query, contract(Mode::Enforce)),
        (Interface::Servers, Err(LoadError::Faulty(faults))),
    ];
    assert_eq!(
        first.replaced_by(faulty).unwrap_err().to_string(),
        "contract.servers: x.yaml: bad"
    );
    assert_eq!(
        (first.generation, first.get(Interface::Query).unwrap().mode),
        (1, Mode::Observe)
    );
    // The same text read again is the same description, in another mode.
    let (again, changed) = first
        .replaced_by(vec![(Interface::Query, contract(Mode::Enforce))])
        .unwrap();
    assert!(changed.is_empty() && again.get(Interface::Query).unwrap().mode == Mode::Enforce);
    let (off, changed) = again
        .replaced_by(vec![(Interface::Query, contract(Mode::Off))])
        .unwrap();
    assert!(off.is_off() && off.generation == 3 && changed.len() == 1);
}
