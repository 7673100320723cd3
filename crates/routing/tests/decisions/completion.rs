//! Tests of the completion of queries.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn every_query_finishes_before_its_deadline() {
    let mut late_value_class = class(Idempotency::Idempotent);
    late_value_class.late_answer_share = 0.3;
    let mut harness = Harness::new(settings(vec![late_value_class]));
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
    let mut partial_class = class(Idempotency::Idempotent);
    (
        partial_class.minimum_share,
        partial_class.partial_answer_share,
    ) = (0.5, 0.8);
    let mut harness = Harness::new(settings(vec![partial_class]));
    let (events, id, parts) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    assert!(
        !is_finished(
            &harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Ok)]),
            id
        ),
        "the other part may still be answered"
    );
    let actions = harness.handle_after(0.9, &[Event::TimerFired]);
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: false
    }));
    let (events, id, _) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    let actions = harness.handle_after(0.99, &[Event::TimerFired]);
    assert!(actions
        .iter()
        .all(|action| !matches!(action, Action::Answer { .. })));
    assert!(is_finished(&actions, id));
}

#[test]
fn enough_weight_makes_a_complete_answer_and_cancels_the_other_parts() {
    let mut threshold_class = class(Idempotency::Idempotent);
    (
        threshold_class.complete_threshold,
        threshold_class.minimum_share,
    ) = (0.75, 0.75);
    let mut harness = Harness::new(settings(vec![threshold_class]));
    let (events, id, parts) = harness.query(0, &[0, 1, 2, 0]);
    harness.handle(&events);
    let answers: Vec<Event> = parts[..3]
        .iter()
        .map(|&part| attempt_ended(part, 0, Outcome::Ok))
        .collect();
    assert!(!is_finished(&harness.handle_after(0.1, &answers[..2]), id));
    let actions = harness.handle(&answers[2..]);
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
    let mut two_step_class = class(Idempotency::Idempotent);
    two_step_class.second_step_parts = 1;
    let mut harness = Harness::new(settings(vec![two_step_class]));
    let (events, id, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    let actions = harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: true
    }));
    let second_step_part = Event::Part {
        id: RequestId(77),
        query_number: 1,
        shard: 1,
        weight: 1.0,
    };
    assert_eq!(sends(&harness.handle(&[second_step_part])).len(), 1);
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
    let draining = (0..3)
        .map(|id| endpoint(id, ServerState::Draining, None))
        .collect();
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(draining))]);
    let (events, _, _) = harness.query(0, &[0]);
    let actions = harness.handle(&events);
    let Some(Action::Reject {
        retry_after: Some(delay),
        ..
    }) = actions.first()
    else {
        panic!("{actions:?}")
    };
    assert!(*delay > 0.1 && *delay < 0.5, "retry after {delay} s");
}

/// Guards against thresholds that are compared with absolute weights: weights are rounded on the wire, so
/// that their sum may be less or more than 1. Thresholds are shares of that sum.
#[test]
fn rounded_weights_count_as_shares_of_their_sum() {
    let partial_class = Class {
        minimum_share: 0.8,
        partial_answer_share: 0.9,
        late_answer_share: 0.3,
        ..class(Idempotency::Idempotent)
    };
    let shards: Vec<u32> = (0..94).collect();
    for weight in [0.010638, 0.01063, 0.010639, 0.0107] {
        let mut harness = Harness::new(settings(vec![
            class(Idempotency::Idempotent),
            partial_class.clone(),
        ]));
        let (events, id, parts) = harness.weighted_query(0, &shards, weight);
        assert_eq!(
            sends(&harness.handle(&events)).len(),
            94,
            "weights of {weight}: all parts are sent"
        );
        let all_but_one: Vec<Event> = parts[1..]
            .iter()
            .map(|&part| attempt_ended(part, 0, Outcome::Ok))
            .collect();
        assert!(
            !is_finished(&harness.handle_after(0.02, &all_but_one), id),
            "weights of {weight}: one part is not answered"
        );
        let actions = harness.handle_after(0.02, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
        assert!(
            actions.contains(&Action::Answer {
                query: RequestId(id),
                is_complete: true
            }),
            "{actions:?}"
        );
        // The answers to 75 of 94 parts are below the minimum share, those to 76 are not.
        for (answered_parts, is_answered) in [(75, false), (76, true)] {
            let (events, id, parts) = harness.weighted_query(1, &shards, weight);
            harness.handle(&events);
            let answers: Vec<Event> = parts[..answered_parts]
                .iter()
                .map(|&part| attempt_ended(part, 0, Outcome::Ok))
                .collect();
            harness.handle_after(0.02, &answers);
            let actions = harness.handle_after(0.97, &[Event::TimerFired]);
            let is_partial = actions.contains(&Action::Answer {
                query: RequestId(id),
                is_complete: false,
            });
            assert_eq!(
                is_partial, is_answered,
                "weights of {weight}: {answered_parts} of 94 parts answered"
            );
            harness.handle_after(3.0, &[Event::TimerFired]);
        }
    }
}
