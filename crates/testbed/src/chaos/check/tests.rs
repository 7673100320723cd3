use super::*;

fn history() -> History {
    History {
        coordinators: 4,
        ..History::default()
    }
}

fn asked(coordinator: usize, at: f64, ended: f64, end: End) -> Asked {
    Asked {
        coordinator,
        query: 7,
        at,
        ended,
        end,
        wrong: None,
    }
}

fn sight(at: f64, by: usize, there: &[usize]) -> Sight {
    Sight {
        at,
        by,
        there: there.iter().copied().collect(),
    }
}

#[test]
fn a_request_without_its_answer_is_told_unless_its_process_was_struck() {
    let mut history = history();
    history.faults = vec![
        (5.0, Fault::Kill { members: vec![1] }),
        (5.0, Fault::Stop { members: vec![2] }),
        (9.0, Fault::Resume { members: vec![2] }),
        (5.0, Fault::Restart { members: vec![3] }),
    ];
    let excused = [
        asked(1, 4.9, 5.1, End::Cut),
        asked(2, 4.0, 6.0, End::Silent),
        asked(2, 7.0, 9.5, End::Silent),
        asked(0, 4.9, 5.1, End::Refused),
    ];
    history.asked = excused.to_vec();
    assert!(history.violations(1.0).is_empty());
    let lost = [
        asked(0, 4.9, 7.0, End::Silent),
        asked(1, 1.0, 3.0, End::Silent),
        asked(2, 12.0, 14.0, End::Cut),
        asked(3, 4.9, 5.5, End::Cut),
    ];
    for one in lost {
        history.asked = vec![one.clone()];
        let wrong = history.violations(1.0);
        assert!(
            wrong.len() == 1 && wrong[0].contains("no final answer"),
            "{one:?}"
        );
    }
}

/// One late answer in a hundred is put down to the machine; more are the program's, unless it was struck.
#[test]
fn answers_that_come_late_are_told_when_they_are_many() {
    let mut history = history();
    let of = |late: usize| (0..200).map(move |at| if at < late { End::Late } else { End::Served });
    history.asked = of(2).map(|end| asked(0, 4.0, 6.1, end)).collect();
    assert!(history.violations(1.0).is_empty());
    history.asked = of(3).map(|end| asked(0, 4.0, 6.1, end)).collect();
    let wrong = history.violations(1.0);
    assert!(
        wrong.len() == 1 && wrong[0].contains("3 of 200 answers came after"),
        "{wrong:?}"
    );
    history.faults = vec![
        (3.0, Fault::Stop { members: vec![0] }),
        (6.0, Fault::Resume { members: vec![0] }),
    ];
    assert!(history.violations(1.0).is_empty());
}

#[test]
fn a_view_that_stays_wrong_is_told() {
    let mut history = history();
    history.faults = vec![
        (
            10.0,
            Fault::Cut {
                members: vec![0, 1],
                nodes: vec![],
            },
        ),
        (30.0, Fault::Heal),
        (40.0, Fault::Kill { members: vec![3] }),
        (60.0, Fault::Mute { members: vec![2] }),
    ];
    history.sights = vec![
        sight(1.0, 0, &[0]),
        sight(6.0, 0, &[0, 1, 2, 3]),
        sight(12.0, 0, &[0, 1, 2, 3]),
        sight(16.0, 0, &[0, 1]),
        sight(16.0, 2, &[2, 3]),
        sight(36.0, 1, &[0, 1, 2, 3]),
        sight(46.0, 1, &[0, 1, 2]),
        sight(66.0, 1, &[0, 1]),
        sight(66.0, 2, &[2]),
    ];
    assert!(
        history.violations(5.0).is_empty(),
        "{:?}",
        history.violations(5.0)
    );
    for late in [
        sight(16.0, 0, &[0, 1, 2]),
        sight(36.0, 3, &[2, 3]),
        sight(46.0, 0, &[0, 1, 2, 3]),
    ] {
        let sights = std::mem::replace(&mut history.sights, vec![late]);
        assert_eq!(history.violations(5.0).len(), 1, "{:?}", history.sights);
        history.sights = sights;
    }
}

#[test]
fn what_nodes_and_answers_tell_is_told() {
    let mut history = history();
    history.ledger = vec!["server 1 got a part 300 ms after it was removed".into()];
    history.asked = vec![Asked {
        wrong: Some("values".into()),
        ..asked(0, 1.0, 1.1, End::Served)
    }];
    assert_eq!(history.violations(5.0).len(), 2);
}
