use super::{DiscoveryWatch, BACKOFF_STEP, MAX_BACKOFF, MAX_PROCESS_STALL};
use crate::poll::{
    Poll, PollRequest, CONFIRMATION_POLL_MS, CONFIRMATION_POLL_SLACK, CONNECT_TIMEOUT,
};
use crate::WatchError;
use cairnroad_types::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SILENT: WatchError = WatchError::ResponseTimeout { secs: 0.0 };
/// A grace period of drains with which the backoff reaches its upper bound.
const LONG_GRACE: f64 = 1.0;

fn at(secs: f64) -> Time {
    Time::from_secs(1000.0 + secs)
}

/// Simulates a watch of an agent that is silent on connections opened before `recovered_at`, in seconds after its last
/// response, and sends changes on later ones. Returns when the changes arrive, in seconds after the last response.
fn response_after(mut watch: DiscoveryWatch, recovered_at: f64, connect_time: f64) -> f64 {
    let mut age = 0.0;
    let mut opened_at = -1.0;
    loop {
        if opened_at >= recovered_at {
            return age;
        }
        age += watch.next_poll().response_timeout;
        age += watch.on_fault(&SILENT, LONG_GRACE);
        opened_at = age;
        age += connect_time;
    }
}

fn confirmed_watch() -> DiscoveryWatch {
    let mut watch = DiscoveryWatch::new(at(0.0));
    assert!(!watch.on_response(at(0.0), 7));
    watch
}

#[test]
fn a_confirmed_agent_gets_long_polls_and_a_broken_watch_confirms_it_first() {
    let mut watch = DiscoveryWatch::new(at(0.0));
    assert_eq!(
        watch.next_poll(),
        Poll {
            request: PollRequest::Snapshot,
            response_timeout: 1.0
        }
    );
    watch.on_response(at(0.1), 7);
    assert_eq!(
        watch.next_poll(),
        Poll {
            request: PollRequest::Changes {
                revision: 7,
                max_wait_ms: 2000
            },
            response_timeout: 3.0
        }
    );
    assert_eq!(watch.on_fault(&SILENT, LONG_GRACE), 0.05);
    assert_eq!(
        watch.next_poll(),
        Poll {
            request: PollRequest::Changes {
                revision: 7,
                max_wait_ms: 100
            },
            response_timeout: 0.5
        }
    );
    assert_eq!(watch.on_fault(&SILENT, LONG_GRACE), 0.1);
    watch.on_response(at(4.0), 8);
    assert_eq!(
        watch.next_poll(),
        Poll {
            request: PollRequest::Changes {
                revision: 8,
                max_wait_ms: 2000
            },
            response_timeout: 3.0
        }
    );
    assert_eq!(
        (
            watch.on_fault(&WatchError::UnexpectedStatus(410), LONG_GRACE),
            watch.next_poll().request
        ),
        (0.05, PollRequest::Snapshot)
    );
    for _ in 0..100 {
        watch.on_fault(&SILENT, LONG_GRACE);
    }
    assert_eq!(
        (
            watch.on_fault(&SILENT, LONG_GRACE),
            watch.consecutive_faults()
        ),
        (0.5, 102)
    );
}

#[test]
fn the_notification_deadline_follows_the_last_response_or_the_agent_change() {
    let mut watch = DiscoveryWatch::new(at(0.0));
    assert_eq!(watch.notification_deadline(), at(6.0));
    watch.on_response(at(1.0), 7);
    assert_eq!(
        watch.notification_deadline(),
        at(7.0),
        "6 s after the last response are later than 2 s after the long poll"
    );
    watch.on_fault(&SILENT, LONG_GRACE);
    assert_eq!(
        watch.notification_deadline(),
        at(7.0),
        "a fault does not postpone the deadline"
    );
    assert!(watch.on_response(at(7.1), 9), "after the deadline");
    assert!(!watch.on_response(at(13.0), 9));
    watch.on_agent_changed(at(20.0));
    assert_eq!(
        (watch.notification_deadline(), watch.next_poll().request),
        (at(24.0), PollRequest::Snapshot)
    );
    watch.on_fault(&SILENT, LONG_GRACE);
    assert_eq!(watch.notification_deadline(), at(24.0));
    assert!(watch.on_response(at(24.5), 1));
}

/// Guards against waiting for a full long poll on each of several silent connections in a row: changes would arrive
/// after the notification deadline.
#[test]
fn several_silent_connections_in_a_row_still_meet_the_notification_deadline() {
    for silent_seconds in [0.0, 1.0, 3.0, 3.4, 4.0, 4.5] {
        let response_at = response_after(confirmed_watch(), silent_seconds, 0.01);
        assert!(
            response_at < 6.0,
            "silent for {silent_seconds} s, response after {response_at} s"
        );
    }
}

/// Guards against a backoff that grows beyond the grace period of drains during an outage: an agent that returns with a
/// drain is polled too late, and the draining server gets new parts.
#[test]
fn a_drain_at_the_end_of_an_outage_is_polled_within_its_grace_period() {
    // By the platform's rules, every time limit is longer by this.
    const LIMIT_SLACK: f64 = 0.05;
    for drain_grace in [0.15, 0.2, 0.25, 0.4, 1.0, 5.0] {
        let mut watch = confirmed_watch();
        let mut backoff = 0.0;
        for fault in 1..200 {
            let previous = backoff;
            backoff = watch.on_fault(&SILENT, drain_grace);
            assert!(
                backoff + MAX_PROCESS_STALL <= drain_grace + LIMIT_SLACK,
                "grace {drain_grace} s, fault {fault}: backoff of {backoff} s"
            );
            assert!(backoff >= previous && backoff <= MAX_BACKOFF);
        }
    }
    for unusable in [0.0, -1.0] {
        assert_eq!(confirmed_watch().on_fault(&SILENT, unusable), BACKOFF_STEP);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Checks that the response arrives within two attempts of the agent's recovery, however long the agent was silent
    /// and however slowly its connections open.
    #[test]
    fn an_agent_that_responds_again_is_polled_soon(recovered_at in 0.0f64..60.0, connect_time in 0.0f64..CONNECT_TIMEOUT) {
        let response_at = response_after(confirmed_watch(), recovered_at, connect_time);
        prop_assert!(response_at - recovered_at < 3.1 + connect_time || recovered_at > 3.0);
        let confirmation_timeout = CONFIRMATION_POLL_MS as f64 / 1e3 + CONFIRMATION_POLL_SLACK;
        prop_assert!(recovered_at < 3.1 || response_at - recovered_at <= 2.0 * connect_time + MAX_BACKOFF + confirmation_timeout + 0.01);
    }

    /// Checks that the timeout of the next poll, the backoff and the notification deadline stay bounded.
    #[test]
    fn no_order_of_events_stops_the_watch_or_grows_its_backoff(events in proptest::collection::vec(0u8..5, 0..200)) {
        let mut watch = DiscoveryWatch::new(at(0.0));
        for (number, event) in events.into_iter().enumerate() {
            let now = at(number as f64);
            let backoff = match event {
                0 => { watch.on_response(now, number as u64); 0.0 }
                1 => watch.on_fault(&WatchError::UnexpectedStatus(500), LONG_GRACE),
                2 => { watch.on_agent_changed(now); 0.0 }
                3 => watch.on_connection_closed(),
                _ => watch.on_fault(&SILENT, LONG_GRACE),
            };
            prop_assert!((0.0..=0.5).contains(&backoff));
            prop_assert!(watch.next_poll().response_timeout <= 3.0);
            prop_assert!(watch.notification_deadline() - now <= 8.0);
        }
    }
}
