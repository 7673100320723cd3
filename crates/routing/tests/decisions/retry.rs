//! When a failed part is retried, and when not.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn at_most_once_parts_are_retried_only_if_they_never_ran() {
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
    ] {
        let mut harness = Harness::new(settings(vec![class(Idempotency::AtMostOnce)]));
        let (events, id, parts) = harness.query(0, &[0]);
        harness.handle(&events);
        let actions = harness.handle_after(0.1, &[attempt_ended(parts[0], 0, outcome)]);
        assert_eq!(sends(&actions).len(), usize::from(again), "{outcome:?}");
        assert_eq!(
            actions.contains(&Action::Fail {
                query: RequestId(id)
            }),
            !again,
            "{outcome:?}"
        );
    }
    let mut harness = Harness::new(settings(vec![class(Idempotency::AtMostOnce)]));
    harness.serve_quick(30);
    let (events, id, _) = harness.query(0, &[0]);
    harness.handle(&events);
    assert!(
        sends(&harness.handle_after(0.5, &[Event::TimerFired])).is_empty(),
        "never hedged"
    );
    let actions = harness.handle_after(0.5, &[Event::TimerFired]);
    assert!(
        actions.contains(&Action::Fail {
            query: RequestId(id)
        }),
        "not rejected while an attempt is in flight"
    );
}

#[test]
fn keyed_parts_are_retried_only_within_the_dedup_window() {
    for (at, again) in [(0.5, true), (0.99, false)] {
        let mut keyed = class(Idempotency::IdempotentWithKey);
        keyed.latency_objective = 3.0;
        keyed.dedup_window = 1.0;
        let mut harness = Harness::new(settings(vec![keyed]));
        let (events, _, parts) = harness.query(0, &[0]);
        harness.handle(&events);
        let actions = harness.handle_after(at, &[attempt_ended(parts[0], 0, Outcome::Error)]);
        assert_eq!(sends(&actions).len(), usize::from(again), "after {at} s");
    }
}

#[test]
fn the_retry_budget_counts_retries_and_hedged_requests_together() {
    let mut budgeted = idempotent_settings();
    budgeted.retry_budget = Some(RetryBudgetLimits {
        always_allowed: 1.0,
        share_of_arrivals: 0.0,
        window: 10.0,
    });
    let mut harness = Harness::new(budgeted);
    harness.serve_quick(30);
    let (events, _, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    assert_eq!(
        sends(&harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Rejected)])).len(),
        1
    );
    let (events, ..) = harness.query(0, &[0]);
    harness.handle(&events);
    assert!(
        sends(&harness.handle_after(0.5, &[Event::TimerFired])).is_empty(),
        "the retry spent the budget"
    );
}

#[test]
fn a_query_that_crashes_servers_is_not_retried() {
    // Two parts were reset and none answered: the query is a suspect. Its marked client retry is rejected unsent.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    assert_eq!(
        sends(&harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Reset)])).len(),
        1,
        "one reset may be chance"
    );
    let actions = harness.handle_after(0.05, &[attempt_ended(parts[1], 0, Outcome::Reset)]);
    assert!(
        sends(&actions).is_empty() && is_finished(&actions, id),
        "no third server"
    );
    for (shards, sent) in [(&[0, 1], 0), (&[0, 2], 2)] {
        let (mut events, _, _) = harness.query(0, shards);
        if let Event::Query {
            is_client_retry, ..
        } = &mut events[0]
        {
            *is_client_retry = true;
        }
        assert_eq!(
            sends(&harness.handle_after(0.1, &events)).len(),
            sent,
            "{shards:?}"
        );
    }
}

#[test]
fn resets_beside_answers_make_no_query_suspect() {
    // Two resets beside three answers: the parts that were reset are retried.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(60);
    let (events, _, parts) = harness.query(0, &[0, 1, 2, 0, 1]);
    harness.handle(&events);
    harness.handle_after(
        0.05,
        &[0, 1, 2].map(|at| attempt_ended(parts[at], 0, Outcome::Ok)),
    );
    let resets = [3, 4].map(|at| attempt_ended(parts[at], 0, Outcome::Reset));
    assert_eq!(sends(&harness.handle_after(0.05, &resets)).len(), 2);
}

#[test]
fn a_part_reset_at_once_is_resent_to_the_same_server() {
    // An idle connection gone stale: the server is neither skipped nor an outlier.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0]);
    let first = sends(&harness.handle(&events))[0].1;
    let again = sends(&harness.handle_after(0.001, &[attempt_ended(parts[0], 0, Outcome::Reset)]));
    assert_eq!(again, [(parts[0], first)]);
    let elsewhere =
        sends(&harness.handle_after(0.001, &[attempt_ended(parts[0], 1, Outcome::Reset)]));
    assert!(
        elsewhere.len() == 1 && elsewhere[0].1 != first,
        "resent there once only"
    );
    assert!(is_finished(
        &harness.handle_after(0.05, &[attempt_ended(parts[0], 2, Outcome::Ok)]),
        id
    ));
}

#[test]
fn a_query_whose_servers_are_down_on_return_is_suspect() {
    // Reset at once at two servers, which then accept no connection: the query is a suspect and is retried no more.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    let resets = [0, 1].map(|at| attempt_ended(parts[at], 0, Outcome::Reset));
    assert_eq!(
        sends(&harness.handle_after(0.001, &resets)).len(),
        2,
        "both are resent"
    );
    let down = [0, 1].map(|at| attempt_ended(parts[at], 1, Outcome::ConnectFailed));
    let actions = harness.handle_after(0.01, &down);
    assert!(sends(&actions).is_empty() && is_finished(&actions, id));
}
