//! The table of open requests, on a clock of the test's own.

use super::*;
use crate::messages::Text;

/// A table for a deployment whose classes all have this effect, window and deadline.
fn book(effect: Idempotency, window: f64, deadline: f64) -> RequestTable {
    let config = crate::configuration::tests::sample();
    let mut deployment = config.served.deployment.clone();
    for class in &mut deployment.policy.classes {
        (class.idempotency, class.dedup_window, class.deadline) = (effect, window, deadline);
    }
    let mut book = RequestTable::new(&config);
    book.retune(&deployment);
    book
}

fn ask(name: &str, now: Time) -> ClientRequest {
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
        due,
        repeat: false,
        work: None,
        parts,
        text,
        judge: None,
    };
    ClientRequest { request, reply }
}

/// Guards against a name that is forgotten while its request may still be open, where deadlines are long.
#[test]
fn a_name_is_remembered_for_longer_than_a_request_may_be_open() {
    for (deadline, kept) in [(2.0, 10.0), (12.0, 24.0)] {
        let (start, mut book) = (
            Time::from_secs(100.0),
            book(Idempotency::Idempotent, 0.0, deadline),
        );
        book.open(start, ask("first", start));
        for (at, known) in [(kept - 0.1, true), (kept + 0.1, false)] {
            book.open(start + at, ask(&at.to_string(), start + at));
            assert_eq!(
                book.knows("first"),
                known,
                "{at} s, with a deadline of {deadline} s"
            );
        }
    }
}

/// Guards against a keyed part's attempt that leaves after its window, counted from the first one that may have run.
#[test]
fn a_keyed_parts_attempts_know_their_windows_end() {
    let (start, mut book) = (
        Time::from_secs(100.0),
        book(Idempotency::IdempotentWithKey, 2.0, 9.0),
    );
    let (_, parts) = book.open(start, ask("keyed", start));
    let part = parts[0].0;
    let job = |book: &mut RequestTable, at: f64| book.job(start + at, part, start + 9.0).unwrap();
    let first = job(&mut book, 0.0);
    assert!(first.may_be_sent(start + 1.9) && !first.may_be_sent(start + 2.0));
    book.note(&AttemptResult {
        attempt: first.attempt,
        outcome: Outcome::ConnectFailed,
        value: None,
    });
    let second = job(&mut book, 1.5);
    assert!(second.may_be_sent(start + 3.4), "the first one never ran");
    book.note(&AttemptResult {
        attempt: second.attempt,
        outcome: Outcome::Reset,
        value: None,
    });
    let third = job(&mut book, 2.5);
    assert!(
        third.may_be_sent(start + 3.4) && !third.may_be_sent(start + 3.5),
        "the second one may have run"
    );
    third.wanted.set(false);
    assert!(!third.may_be_sent(start + 2.6));
    let (start, mut book) = (
        Time::from_secs(100.0),
        self::book(Idempotency::AtMostOnce, 2.0, 9.0),
    );
    let (_, parts) = book.open(start, ask("once", start));
    assert!(book
        .job(start, parts[0].0, start + 9.0)
        .unwrap()
        .may_be_sent(start + 8.0));
}

/// Guards against an end that comes some long ticks early and is not told as late.
#[test]
fn what_ends_some_ticks_early_is_late_with_any_tick() {
    for (tick, late, early) in [(0.005, 0.04, 0.06), (0.04, 0.18, 0.22)] {
        let start = Time::from_secs(100.0);
        let config = crate::configuration::tests::sample();
        let mut deployment = config.served.deployment.clone();
        deployment.policy.tick = tick;
        let mut book = RequestTable::new(&config);
        book.retune(&deployment);
        let (id, _) = book.open(start, ask("one", start));
        let open = book.close(id).unwrap();
        assert!(
            book.is_late(start + (9.0 - late), &open),
            "a tick of {tick} s"
        );
        assert!(
            !book.is_late(start + (9.0 - early), &open),
            "a tick of {tick} s"
        );
    }
}
