//! Tests of the request table with simulated time.

use super::*;
use crate::messages::{Payload, Request};
use cairnroad_types::Outcome;
use tokio::sync::oneshot;

/// Time between the arrival of a test request and its deadline, in seconds.
const CLIENT_WAIT: Seconds = 9.0;

fn start() -> Time {
    Time::from_secs(100.0)
}

/// Creates a table for a deployment whose classes all have this idempotency, deduplication window and deadline.
fn table(idempotency: Idempotency, dedup_window: Seconds, deadline: Seconds) -> RequestTable {
    let config = crate::configuration::tests::sample();
    let mut deployment = config.served.deployment.clone();
    for class in &mut deployment.policy.classes {
        class.idempotency = idempotency;
        class.dedup_window = dedup_window;
        class.deadline = deadline;
    }
    let mut table = RequestTable::new(&config);
    table.reconfigure(&deployment);
    table
}

fn client(external_id: &str, now: Time) -> ClientRequest {
    let (reply, _) = oneshot::channel();
    let request = Request {
        external_id: external_id.into(),
        is_named_by_client: true,
        class: 0,
        deadline: now + CLIENT_WAIT,
        client_retry: false,
        expected_work: None,
        parts: vec![PartSpec {
            shard: 0,
            weight: 1.0,
        }],
        idempotency_key: None,
        payload: Payload::Plain("t".into()),
        contracts: None,
        client: Default::default(),
        memory: None,
    };
    ClientRequest { request, reply }
}

/// Guards against an external id that is forgotten while its request may still be open, which a fixed retention time
/// would cause with long deadlines.
#[test]
fn an_external_id_is_remembered_for_longer_than_a_request_may_be_open() {
    for (deadline, retention) in [(2.0, 10.0), (12.0, 24.0)] {
        let mut table = table(Idempotency::Idempotent, 0.0, deadline);
        assert!(table.external_ids().take(start(), "first"));
        for (age, remembered) in [(retention - 0.1, true), (retention + 0.1, false)] {
            let now = start() + age;
            assert!(table.external_ids().take(now, &age.to_string()));
            assert_eq!(
                table.external_ids().is_recent(now, "first"),
                remembered,
                "age {age} s with a deadline of {deadline} s"
            );
        }
    }
}

/// Guards against an attempt with an idempotency key that is sent after its deduplication window. The window starts
/// with the first attempt that may have run.
#[test]
fn retries_with_an_idempotency_key_stop_before_the_dedup_window_ends() {
    let start = start();
    let end = start + CLIENT_WAIT;
    let mut table = table(Idempotency::IdempotentWithKey, 2.0, CLIENT_WAIT);
    let (_, parts) = table.open(client("keyed", start));
    let part = parts[0].0;
    let first = table.next_attempt(start, part, end).unwrap();
    assert!(first.may_be_sent(start + 1.9) && !first.may_be_sent(start + 2.0));
    table.record_result(&AttemptResult {
        attempt: first.attempt,
        outcome: Outcome::ConnectFailed,
        value: None,
    });
    let second = table.next_attempt(start + 1.5, part, end).unwrap();
    assert!(
        second.may_be_sent(start + 3.4),
        "the first attempt never ran, so the window must start with the second"
    );
    table.record_result(&AttemptResult {
        attempt: second.attempt,
        outcome: Outcome::Reset,
        value: None,
    });
    let third = table.next_attempt(start + 2.5, part, end).unwrap();
    assert!(
        third.may_be_sent(start + 3.4) && !third.may_be_sent(start + 3.5),
        "the second attempt may have run, so the window must start with it"
    );
    third.send_allowed.set(false);
    assert!(!third.may_be_sent(start + 2.6));
}

#[test]
fn classes_without_an_idempotency_key_have_no_dedup_window() {
    let start = start();
    let mut table = table(Idempotency::AtMostOnce, 2.0, CLIENT_WAIT);
    let (_, parts) = table.open(client("once", start));
    let attempt = table.next_attempt(start, parts[0].0, start + CLIENT_WAIT);
    assert!(attempt.unwrap().may_be_sent(start + 8.0));
}

/// Guards against a failure some ticks before the deadline that is not answered as a timeout, which a fixed margin
/// would cause with long ticks.
#[test]
fn a_failure_some_ticks_before_the_deadline_counts_as_timed_out_with_any_tick() {
    for (tick, late, early) in [(0.005, 0.04, 0.06), (0.04, 0.18, 0.22)] {
        let start = start();
        let config = crate::configuration::tests::sample();
        let mut deployment = config.served.deployment.clone();
        deployment.policy.tick = tick;
        let mut table = RequestTable::new(&config);
        table.reconfigure(&deployment);
        let (id, _) = table.open(client("one", start));
        let open = table.close(id).unwrap();
        assert!(
            table.counts_as_timed_out(start + (CLIENT_WAIT - late), &open),
            "{late} s before the deadline with a tick of {tick} s"
        );
        assert!(
            !table.counts_as_timed_out(start + (CLIENT_WAIT - early), &open),
            "{early} s before the deadline with a tick of {tick} s"
        );
    }
}
