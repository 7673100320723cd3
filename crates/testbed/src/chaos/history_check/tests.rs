use super::*;

fn timed(at: f64, fault: Fault) -> TimedFault {
    TimedFault { at, fault }
}

fn history() -> History {
    History {
        coordinators: 4,
        ..History::default()
    }
}

fn request(coordinator: usize, sent_at: f64, ended_at: f64, ending: Ending) -> RequestRecord {
    RequestRecord {
        coordinator,
        query: 7,
        sent_at,
        ended_at,
        ending,
        answer_fault: None,
    }
}

fn view(seen_at: f64, observer: usize, alive: &[usize]) -> MembershipView {
    MembershipView {
        seen_at,
        observer,
        alive: alive.iter().copied().collect(),
    }
}

#[test]
fn an_unanswered_request_is_a_violation_unless_its_process_was_under_fault() {
    let mut history = history();
    history.faults = vec![
        timed(5.0, Fault::Kill { members: vec![1] }),
        timed(5.0, Fault::Stop { members: vec![2] }),
        timed(9.0, Fault::Resume { members: vec![2] }),
        timed(5.0, Fault::Restart { members: vec![3] }),
    ];
    let excused = [
        request(1, 4.9, 5.1, Ending::Disconnected),
        request(2, 4.0, 6.0, Ending::Unanswered),
        request(2, 7.0, 9.5, Ending::Unanswered),
        request(0, 4.9, 5.1, Ending::Rejected),
    ];
    history.requests = excused.to_vec();
    assert!(history.violations(1.0).is_empty());
    let unanswered = [
        request(0, 4.9, 7.0, Ending::Unanswered),
        request(1, 1.0, 3.0, Ending::Unanswered),
        request(2, 12.0, 14.0, Ending::Disconnected),
        request(3, 4.9, 5.5, Ending::Disconnected),
    ];
    for request in unanswered {
        history.requests = vec![request.clone()];
        let violations = history.violations(1.0);
        assert!(
            violations.len() == 1 && violations[0].contains("no final answer"),
            "{request:?}"
        );
    }
}

/// Up to 1 % of late answers are attributed to a busy machine. More are a violation, unless a fault explains them.
#[test]
fn many_late_answers_are_a_violation() {
    let mut history = history();
    let endings = |late: usize| {
        (0..200).map(move |index| {
            if index < late {
                Ending::Late
            } else {
                Ending::Served
            }
        })
    };
    history.requests = endings(2)
        .map(|ending| request(0, 4.0, 6.1, ending))
        .collect();
    assert!(history.violations(1.0).is_empty());
    history.requests = endings(3)
        .map(|ending| request(0, 4.0, 6.1, ending))
        .collect();
    let violations = history.violations(1.0);
    assert!(
        violations.len() == 1
            && violations[0].contains("3 of 200 requests were answered after their deadline"),
        "{violations:?}"
    );
    history.faults = vec![
        timed(3.0, Fault::Stop { members: vec![0] }),
        timed(6.0, Fault::Resume { members: vec![0] }),
    ];
    assert!(history.violations(1.0).is_empty());
}

#[test]
fn a_view_that_stays_wrong_is_a_violation() {
    let mut history = history();
    history.faults = vec![
        timed(
            10.0,
            Fault::Partition {
                members: vec![0, 1],
                nodes: vec![],
            },
        ),
        timed(30.0, Fault::Heal),
        timed(40.0, Fault::Kill { members: vec![3] }),
        timed(60.0, Fault::Mute { members: vec![2] }),
    ];
    history.views = vec![
        view(1.0, 0, &[0]),
        view(6.0, 0, &[0, 1, 2, 3]),
        view(12.0, 0, &[0, 1, 2, 3]),
        view(16.0, 0, &[0, 1]),
        view(16.0, 2, &[2, 3]),
        view(36.0, 1, &[0, 1, 2, 3]),
        view(46.0, 1, &[0, 1, 2]),
        view(66.0, 1, &[0, 1]),
        view(66.0, 2, &[2]),
    ];
    assert!(
        history.violations(5.0).is_empty(),
        "{:?}",
        history.violations(5.0)
    );
    for wrong_view in [
        view(16.0, 0, &[0, 1, 2]),
        view(36.0, 3, &[2, 3]),
        view(46.0, 0, &[0, 1, 2, 3]),
    ] {
        let views = std::mem::replace(&mut history.views, vec![wrong_view]);
        assert_eq!(history.violations(5.0).len(), 1, "{:?}", history.views);
        history.views = views;
    }
}

#[test]
fn violations_of_the_run_log_and_faulty_answers_are_included() {
    let mut history = history();
    history.run_log_violations =
        vec!["server 1 received a part 300 ms after its removal; the limit is 250 ms".into()];
    history.requests = vec![RequestRecord {
        answer_fault: Some("values".into()),
        ..request(0, 1.0, 1.1, Ending::Served)
    }];
    assert_eq!(history.violations(5.0).len(), 2);
}
