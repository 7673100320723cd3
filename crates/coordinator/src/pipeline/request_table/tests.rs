//! The table of open requests, on a clock of the test's own.

use super::*;
use crate::messages::{Request, Text};
use cairnroad_types::Outcome;
use tokio::sync::oneshot;

/// A table for a deployment whose classes all have this effect, window and deadline.
fn table(effect: Idempotency, window: f64, deadline: f64) -> RequestTable {
    let config = crate::configuration::tests::sample();
    let mut deployment = config.offer.deployment.clone();
    for class in &mut deployment.policy.classes {
        (class.idempotency, class.dedup_window, class.deadline) = (effect, window, deadline);
    }
    let mut requests = RequestTable::new(&config);
    requests.reconfigure(&deployment);
    requests
}

fn client(name: &str, now: Time) -> ClientRequest {
    let (reply, _) = oneshot::channel();
    let parts = vec![PartSpec {
        shard: 0,
        weight: 1.0,
    }];
    let text = Text::Plain("t".into());
    let (name, due) = (name.into(), now + 9.0);
    let request = Request {
        name,
        class: 0,
        deadline: due,
        client_retry: false,
        expected_work: None,
        parts,
        text,
        contracts: None,
    };
    ClientRequest { request, reply }
}

/// Guards against a name that is forgotten while its request may still be open, where deadlines are long.
#[test]
fn a_name_is_remembered_for_longer_than_a_request_may_be_open() {
    for (deadline, kept) in [(2.0, 10.0), (12.0, 24.0)] {
        let (start, mut requests) = (
            Time::from_secs(100.0),
            table(Idempotency::Idempotent, 0.0, deadline),
        );
        requests.open(start, client("first", start));
        for (at, known) in [(kept - 0.1, true), (kept + 0.1, false)] {
            requests.open(start + at, client(&at.to_string(), start + at));
            assert_eq!(
                requests.is_recent_name("first"),
                known,
                "{at} s, with a deadline of {deadline} s"
            );
        }
    }
}

/// Guards against a keyed part's attempt that leaves after its window, counted from the first one that may have run.
#[test]
fn retries_with_an_idempotency_key_stop_before_the_dedup_window_ends() {
    let (start, mut requests) = (
        Time::from_secs(100.0),
        table(Idempotency::IdempotentWithKey, 2.0, 9.0),
    );
    let (_, parts) = requests.open(start, client("keyed", start));
    let part = parts[0].0;
    let send = |requests: &mut RequestTable, at: f64| {
        requests
            .next_attempt(start + at, part, start + 9.0)
            .unwrap()
    };
    let first = send(&mut requests, 0.0);
    assert!(first.may_be_sent(start + 1.9) && !first.may_be_sent(start + 2.0));
    requests.record_result(&AttemptResult {
        attempt: first.attempt,
        outcome: Outcome::ConnectFailed,
        value: None,
    });
    let second = send(&mut requests, 1.5);
    assert!(second.may_be_sent(start + 3.4), "the first one never ran");
    requests.record_result(&AttemptResult {
        attempt: second.attempt,
        outcome: Outcome::Reset,
        value: None,
    });
    let third = send(&mut requests, 2.5);
    assert!(
        third.may_be_sent(start + 3.4) && !third.may_be_sent(start + 3.5),
        "the second one may have run"
    );
    third.wanted.set(false);
    assert!(!third.may_be_sent(start + 2.6));
    let (start, mut requests) = (
        Time::from_secs(100.0),
        self::table(Idempotency::AtMostOnce, 2.0, 9.0),
    );
    let (_, parts) = requests.open(start, client("once", start));
    assert!(requests
        .next_attempt(start, parts[0].0, start + 9.0)
        .unwrap()
        .may_be_sent(start + 8.0));
}

/// Guards against an end that comes some long ticks early and is not told as late.
#[test]
fn a_failure_some_ticks_before_the_deadline_counts_as_late_with_any_tick() {
    for (tick, late, early) in [(0.005, 0.04, 0.06), (0.04, 0.18, 0.22)] {
        let start = Time::from_secs(100.0);
        let config = crate::configuration::tests::sample();
        let mut deployment = config.offer.deployment.clone();
        deployment.policy.tick = tick;
        let mut requests = RequestTable::new(&config);
        requests.reconfigure(&deployment);
        let (id, _) = requests.open(start, client("one", start));
        let open = requests.close(id).unwrap();
        assert!(
            requests.is_late(start + (9.0 - late), &open),
            "a tick of {tick} s"
        );
        assert!(
            !requests.is_late(start + (9.0 - early), &open),
            "a tick of {tick} s"
        );
    }
}
