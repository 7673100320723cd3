//! Tests of hedged requests.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn one_hedged_request_after_the_delay_and_the_slower_attempt_is_cancelled() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, id, parts) = harness.query(0, &[0]);
    let first = sends(&harness.handle(&events))[0].1;
    assert!(
        sends(&harness.handle_after(0.499, &[Event::TimerFired])).is_empty(),
        "hedged before half the latency objective"
    );
    let hedged = sends(&harness.handle_after(0.001, &[Event::TimerFired]));
    assert_eq!(hedged.len(), 1);
    assert_ne!(hedged[0].1, first);
    assert!(
        sends(&harness.handle_after(0.3, &[Event::TimerFired])).is_empty(),
        "hedged twice"
    );
    let actions = harness.handle(&[attempt_ended(parts[0], 1, Outcome::Ok)]);
    assert!(actions.contains(&Action::Cancel {
        part: RequestId(parts[0]),
        attempt: 0
    }));
    assert!(actions.contains(&Action::Answer {
        query: RequestId(id),
        is_complete: true
    }));
}

#[test]
fn hedged_requests_stay_under_a_tenth_of_recent_parts() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(9);
    let (events, ..) = harness.query(0, &[0]);
    harness.handle(&events);
    assert_eq!(
        sends(&harness.handle_after(0.5, &[Event::TimerFired])).len(),
        1,
        "one hedged request in ten parts is allowed"
    );
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(8);
    let (events, ..) = harness.query(0, &[0]);
    harness.handle(&events);
    assert!(
        sends(&harness.handle_after(0.5, &[Event::TimerFired])).is_empty(),
        "one hedged request in nine parts is too many"
    );
}

#[test]
fn answers_are_applied_before_hedge_timers_after_a_stall() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (events, _, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    let actions = harness.handle_after(
        0.8,
        &[Event::TimerFired, attempt_ended(parts[0], 0, Outcome::Ok)],
    );
    assert!(sends(&actions).is_empty());
}

#[test]
fn no_hedged_request_if_all_other_replicas_are_overdue() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(60);
    let (events, ..) = harness.query(0, &[0, 1, 2]);
    harness.handle(&events);
    assert!(sends(&harness.handle_after(0.5, &[Event::TimerFired])).is_empty());
}

#[test]
fn a_part_resent_after_a_stale_connection_is_hedged_on_another_server() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(60);
    let (events, _, parts) = harness.query(0, &[0]);
    let first = sends(&harness.handle(&events))[0].1;
    assert_eq!(
        sends(&harness.handle_after(0.001, &[attempt_ended(parts[0], 0, Outcome::Reset)])),
        [(parts[0], first)]
    );
    let hedged = sends(&harness.handle_after(0.5, &[Event::TimerFired]));
    assert!(
        hedged.len() == 1 && hedged[0].1 != first,
        "hedged requests {hedged:?}, first attempt in flight at {first}"
    );
}

#[test]
fn hedge_timers_are_spread_after_a_stall() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(200);
    let mut parts = Vec::new();
    for _ in 0..10 {
        let (events, _, ids) = harness.query(0, &[0]);
        harness.handle(&events);
        parts.extend(ids);
    }
    assert!(
        sends(&harness.handle_after(0.8, &[Event::TimerFired])).is_empty(),
        "hedged immediately after the stall"
    );
    let hedged_per_tick: Vec<usize> = (0..100)
        .map(|_| sends(&harness.handle_after(0.005, &[Event::TimerFired])).len())
        .collect();
    assert!(
        hedged_per_tick.iter().all(|&hedged| hedged <= 4),
        "{hedged_per_tick:?}"
    );
}
