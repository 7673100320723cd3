//! Tests of queries whose clients may have disconnected unnoticed.

use crate::common::*;
use cairnroad_types::*;

/// Guards against a hedged request for a client that has left; once the client is confirmed, the request is sent.
#[test]
fn a_hedged_request_waits_until_its_client_is_confirmed() {
    for is_confirmed in [false, true] {
        let mut harness = Harness::new(idempotent_settings());
        harness.serve_quick(30);
        let (events, id, _) = harness.query(0, &[0]);
        harness.handle(&events);
        harness.handle_after(0.3, &[Event::ClientUnconfirmed(RequestId(id))]);
        let unconfirmed = harness.handle_after(0.25, &[Event::TimerFired]);
        assert!(sends(&unconfirmed).is_empty(), "hedged while unconfirmed");
        let event = match is_confirmed {
            true => Event::ClientConfirmed(RequestId(id)),
            false => Event::TimerFired,
        };
        let later = harness.handle_after(0.1, &[event]);
        assert_eq!(sends(&later).len(), usize::from(is_confirmed));
    }
}

/// Guards against a retry for a client that has left, and against a query that fails because its retry had to wait.
#[test]
fn a_retry_waits_until_its_client_is_confirmed() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::IdempotentWithKey,
        Idempotency::AtMostOnce,
    ] {
        let mut harness = Harness::new(settings(vec![class(idempotency)]));
        let (events, id, parts) = harness.query(0, &[0, 1]);
        harness.handle(&events);
        harness.handle_after(0.1, &[Event::ClientUnconfirmed(RequestId(id))]);
        let failed = parts
            .iter()
            .map(|&part| attempt_ended(part, 0, Outcome::Rejected));
        let failed: Vec<_> = failed.collect();
        let unconfirmed = harness.handle_after(0.05, &failed);
        assert!(sends(&unconfirmed).is_empty() && !is_finished(&unconfirmed, id));
        let confirmed = harness.handle_after(0.05, &[Event::ClientConfirmed(RequestId(id))]);
        assert_eq!(sends(&confirmed).len(), parts.len(), "{idempotency:?}");
    }
}

/// Guards against a query without a final answer: its deadline passes while its client is unconfirmed.
#[test]
fn a_query_of_an_unconfirmed_client_ends_by_its_deadline() {
    let mut harness = Harness::new(idempotent_settings());
    let (events, id, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    harness.handle(&[
        Event::ClientUnconfirmed(RequestId(id)),
        attempt_ended(parts[0], 0, Outcome::Rejected),
    ]);
    let ended = harness.handle_after(3.0, &[Event::TimerFired]);
    assert!(is_finished(&ended, id));
}
