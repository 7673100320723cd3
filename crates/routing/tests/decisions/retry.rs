//! Tests of retries: which failed parts are retried.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn at_most_once_parts_are_retried_only_if_they_never_ran() {
    for (outcome, is_retried) in [
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
        assert_eq!(
            sends(&actions).len(),
            usize::from(is_retried),
            "{outcome:?}"
        );
        assert_eq!(
            actions.contains(&Action::Fail {
                query: RequestId(id)
            }),
            !is_retried,
            "{outcome:?}"
        );
    }
    let mut harness = Harness::new(settings(vec![class(Idempotency::AtMostOnce)]));
    harness.serve_quick(30);
    let (events, id, _) = harness.query(0, &[0]);
    harness.handle(&events);
    assert!(
        sends(&harness.handle_after(0.5, &[Event::TimerFired])).is_empty(),
        "an at-most-once part was hedged"
    );
    let actions = harness.handle_after(0.5, &[Event::TimerFired]);
    assert!(
        actions.contains(&Action::Fail {
            query: RequestId(id)
        }),
        "rejected while an attempt is in flight"
    );
}

#[test]
fn keyed_parts_are_retried_only_within_the_dedup_window() {
    for (delay, is_retried) in [(0.5, true), (0.99, false)] {
        let mut keyed = class(Idempotency::IdempotentWithKey);
        keyed.latency_objective = 3.0;
        keyed.dedup_window = 1.0;
        let mut harness = Harness::new(settings(vec![keyed]));
        let (events, _, parts) = harness.query(0, &[0]);
        harness.handle(&events);
        let actions = harness.handle_after(delay, &[attempt_ended(parts[0], 0, Outcome::Error)]);
        assert_eq!(
            sends(&actions).len(),
            usize::from(is_retried),
            "after {delay} s"
        );
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
        "hedged although the retry had spent the budget"
    );
}

#[test]
fn a_query_that_crashes_servers_is_not_retried() {
    // Two parts are reset and none is answered, so the query is suspect. Its marked client retry is rejected
    // without a send.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    assert_eq!(
        sends(&harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Reset)])).len(),
        1,
        "a single reset may be chance, so the part is retried"
    );
    let actions = harness.handle_after(0.05, &[attempt_ended(parts[1], 0, Outcome::Reset)]);
    assert!(
        sends(&actions).is_empty() && is_finished(&actions, id),
        "a part of a suspect query was sent to a third server"
    );
    for (shards, expected_sends) in [(&[0, 1], 0), (&[0, 2], 2)] {
        let (mut events, _, _) = harness.query(0, shards);
        if let Event::Query {
            is_client_retry, ..
        } = &mut events[0]
        {
            *is_client_retry = true;
        }
        assert_eq!(
            sends(&harness.handle_after(0.1, &events)).len(),
            expected_sends,
            "client retry for shards {shards:?}"
        );
    }
}

#[test]
fn a_query_with_more_answers_than_resets_is_not_suspect() {
    // Two parts are reset and three are answered: the reset parts are retried.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(60);
    let (events, _, parts) = harness.query(0, &[0, 1, 2, 0, 1]);
    harness.handle(&events);
    harness.handle_after(
        0.05,
        &[0, 1, 2].map(|index| attempt_ended(parts[index], 0, Outcome::Ok)),
    );
    let resets = [3, 4].map(|index| attempt_ended(parts[index], 0, Outcome::Reset));
    assert_eq!(sends(&harness.handle_after(0.05, &resets)).len(), 2);
}

#[test]
fn a_part_reset_at_once_is_resent_to_the_same_server() {
    // An immediate reset comes from a stale idle connection: the server is neither skipped nor an outlier.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0]);
    let first = sends(&harness.handle(&events))[0].1;
    let resent = sends(&harness.handle_after(0.001, &[attempt_ended(parts[0], 0, Outcome::Reset)]));
    assert_eq!(resent, [(parts[0], first)]);
    let resent_again =
        sends(&harness.handle_after(0.001, &[attempt_ended(parts[0], 1, Outcome::Reset)]));
    assert!(
        resent_again.len() == 1 && resent_again[0].1 != first,
        "resent to {resent_again:?} after two resets at server {first}"
    );
    assert!(is_finished(
        &harness.handle_after(0.05, &[attempt_ended(parts[0], 2, Outcome::Ok)]),
        id
    ));
}

#[test]
fn a_query_whose_servers_are_down_on_resend_is_suspect() {
    // Two servers reset the query's parts immediately and then accept no connection. The query may have
    // crashed them, so it is suspect and isn't retried.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0, 1]);
    harness.handle(&events);
    let resets = [0, 1].map(|index| attempt_ended(parts[index], 0, Outcome::Reset));
    assert_eq!(
        sends(&harness.handle_after(0.001, &resets)).len(),
        2,
        "both parts are resent"
    );
    let connect_failures =
        [0, 1].map(|index| attempt_ended(parts[index], 1, Outcome::ConnectFailed));
    let actions = harness.handle_after(0.01, &connect_failures);
    assert!(sends(&actions).is_empty() && is_finished(&actions, id));
}
