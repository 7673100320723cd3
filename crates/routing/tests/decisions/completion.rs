//! How and when a query ends.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn every_query_finishes_before_its_deadline() {
    let mut late = class(Idempotency::Idempotent);
    late.late_answer_share = 0.3;
    let mut harness = Harness::new(settings(vec![late]));
    let (events, id, _) = harness.query(0, &[0]);
    harness.handle(&events);
    assert!(
        !is_finished(&harness.handle_after(2.9, &[Event::TimerFired]), id),
        "a late answer still has value"
    );
    assert!(is_finished(
        &harness.handle_after(0.09, &[Event::TimerFired]),
        id
    ));
}

#[test]
fn a_query_without_late_value_is_rejected_at_its_objective_with_retry_after() {
    let mut harness = Harness::new(idempotent_settings());
    let (events, id, _) = harness.query(0, &[0]);
    harness.handle(&events);
    let actions = harness.handle_after(0.99, &[Event::TimerFired]);
    assert!(actions.contains(&Action::Reject {
        query: RequestId(id),
        retry_after: Some(0.5)
    }));
}

#[test]
fn partial_answers_reach_the_minimum_share_and_are_not_marked_complete() {
    let mut report = class(Idempotency::Idempotent);
    (report.minimum_share, report.partial_answer_share) = (0.5, 0.8);
    let mut harness = Harness::new(settings(vec![report]));
    let (events, id, parts) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    assert!(
        !is_finished(
            &harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Ok)]),
            id
        ),
        "the rest may still be answered"
    );
    let actions = harness.handle_after(0.9, &[Event::TimerFired]);
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: false
    }));
    let (events, id, _) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    let actions = harness.handle_after(0.99, &[Event::TimerFired]);
    assert!(actions.iter().all(|a| !matches!(a, Action::Answer { .. })));
    assert!(is_finished(&actions, id));
}

#[test]
fn enough_weight_makes_a_complete_answer_and_cancels_the_rest() {
    let mut ranking = class(Idempotency::Idempotent);
    (ranking.complete_threshold, ranking.minimum_share) = (0.75, 0.75);
    let mut harness = Harness::new(settings(vec![ranking]));
    let (events, id, parts) = harness.query(0, &[0, 1, 2, 0]);
    harness.handle(&events);
    let in_time: Vec<Event> = parts[..3]
        .iter()
        .map(|&p| attempt_ended(p, 0, Outcome::Ok))
        .collect();
    assert!(!is_finished(&harness.handle_after(0.1, &in_time[..2]), id));
    let actions = harness.handle(&in_time[2..]);
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: true
    }));
    assert!(actions.contains(&Action::Cancel {
        part: RequestId(parts[3]),
        attempt: 0
    }));
}

#[test]
fn both_steps_share_the_latency_objective() {
    let mut page = class(Idempotency::Idempotent);
    page.second_step_parts = 1;
    let mut harness = Harness::new(settings(vec![page]));
    let (events, id, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    let actions = harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: true
    }));
    let second = Event::Part {
        id: RequestId(77),
        query_number: 1,
        shard: 1,
        weight: 1.0,
    };
    assert_eq!(sends(&harness.handle(&[second])).len(), 1);
    let actions = harness.handle_after(0.1, &[attempt_ended(77, 0, Outcome::Ok)]);
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: true
    }));
    let (events, id, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    harness.handle_after(0.5, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    harness.handle(&[Event::Part {
        id: RequestId(78),
        query_number: 2,
        shard: 1,
        weight: 1.0,
    }]);
    assert!(
        is_finished(&harness.handle_after(0.49, &[Event::TimerFired]), id),
        "the objective counts from the query's start"
    );
}

#[test]
fn retry_after_leaves_time_within_the_objective() {
    let mut harness = Harness::new(Settings {
        max_retry_after: Some(2.0),
        ..idempotent_settings()
    });
    let drained = (0..3)
        .map(|id| endpoint(id, ServerState::Draining, None))
        .collect();
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(drained))]);
    let (events, _, _) = harness.query(0, &[0]);
    let actions = harness.handle(&events);
    let Some(Action::Reject {
        retry_after: Some(wait),
        ..
    }) = actions.first()
    else {
        panic!("{actions:?}")
    };
    assert!(*wait > 0.1 && *wait < 0.5, "{wait}");
}

/// Guards against weights that were rounded on their way here and add up to less than 1, or more: thresholds are shares of
/// their sum.
#[test]
fn rounded_weights_count_as_shares_of_their_sum() {
    let floored = Class {
        minimum_share: 0.8,
        partial_answer_share: 0.9,
        late_answer_share: 0.3,
        ..class(Idempotency::Idempotent)
    };
    let shards: Vec<u32> = (0..94).collect();
    for weight in [0.010638, 0.01063, 0.010639, 0.0107] {
        let mut harness = Harness::new(settings(vec![
            class(Idempotency::Idempotent),
            floored.clone(),
        ]));
        let (events, id, parts) = harness.weighted(0, &shards, weight);
        assert_eq!(
            sends(&harness.handle(&events)).len(),
            94,
            "weights of {weight}: all are sent"
        );
        let but_one: Vec<Event> = parts[1..]
            .iter()
            .map(|&part| attempt_ended(part, 0, Outcome::Ok))
            .collect();
        assert!(
            !is_finished(&harness.handle_after(0.02, &but_one), id),
            "weights of {weight}: one is not answered"
        );
        let actions = harness.handle_after(0.02, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
        assert!(
            actions.contains(&Action::Answer {
                query: RequestId(id),
                is_complete: true
            }),
            "{actions:?}"
        );
        // 75 of 94 are under the minimum share, 76 are not.
        for (in_time, answered) in [(75, false), (76, true)] {
            let (events, id, parts) = harness.weighted(1, &shards, weight);
            harness.handle(&events);
            let some: Vec<Event> = parts[..in_time]
                .iter()
                .map(|&part| attempt_ended(part, 0, Outcome::Ok))
                .collect();
            harness.handle_after(0.02, &some);
            let actions = harness.handle_after(0.97, &[Event::TimerFired]);
            let partial = actions.contains(&Action::Answer {
                query: RequestId(id),
                is_complete: false,
            });
            assert_eq!(partial, answered, "weights of {weight}: {in_time} of 94");
            harness.handle_after(3.0, &[Event::TimerFired]);
        }
    }
}
