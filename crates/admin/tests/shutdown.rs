//! Tests of the phases of a graceful shutdown, on a virtual clock.

use cairnroad_admin::shutdown::{GracefulShutdown, ShutdownObservation, ShutdownPhase};
use cairnroad_types::Time;
use quickcheck::{Gen, QuickCheck};

/// Returns when each phase begins, in milliseconds after the shutdown request. `observed` returns the observation at a
/// time in seconds after the request.
fn phase_starts(
    longest: f64,
    observed: impl Fn(f64) -> ShutdownObservation,
) -> Vec<(ShutdownPhase, i64)> {
    let start = Time::from_secs(100.0);
    let mut shutdown = GracefulShutdown::new(start, longest);
    let mut starts = vec![(ShutdownPhase::Serving, 0)];
    for tick in 0..1000 {
        let now = start + f64::from(tick) * 0.005;
        let phase = shutdown.advance(now, observed(now - start));
        if phase != starts[starts.len() - 1].0 {
            starts.push((phase, ((now - start) * 1e3).round() as i64));
        }
    }
    starts
}

/// Returns the time `age` seconds after the shutdown request.
fn now(age: f64) -> Time {
    Time::from_secs(100.0 + age)
}

#[test]
fn a_shutdown_without_clients_finishes_within_a_second() {
    let all = phase_starts(2.5, |_| ShutdownObservation::default());
    let expected = [
        (ShutdownPhase::Serving, 0),
        (ShutdownPhase::IdleConnectionsClosed, 500),
        (ShutdownPhase::ListenerClosed, 900),
        (ShutdownPhase::Rejecting, 905),
        (ShutdownPhase::Finished, 955),
    ];
    assert_eq!(all, expected);
}

/// Guards against clients that delay the end until the kill by connecting or sending without pause.
#[test]
fn clients_that_keep_connecting_do_not_delay_the_shutdown() {
    let connecting = |age: f64| ShutdownObservation {
        last_request_at: now(age),
        partial_requests: 3,
        unnotified_connections: 3,
        unanswered_requests: usize::from(age < 1.9),
        ..ShutdownObservation::default()
    };
    let expected = [
        (ShutdownPhase::Serving, 0),
        (ShutdownPhase::IdleConnectionsClosed, 500),
        (ShutdownPhase::ListenerClosed, 1200),
        (ShutdownPhase::Rejecting, 1500),
        (ShutdownPhase::Finished, 1900),
    ];
    assert_eq!(phase_starts(2.5, connecting), expected);
}

#[test]
fn a_partially_received_request_is_waited_for() {
    let all = phase_starts(2.5, |age| ShutdownObservation {
        partial_requests: usize::from(age < 1.1),
        ..ShutdownObservation::default()
    });
    assert_eq!(all[3], (ShutdownPhase::Rejecting, 1100));
}

/// Guards against a request that arrives late in the shutdown and is answered only after the kill.
#[test]
fn the_answer_deadline_is_before_the_kill() {
    let start = Time::from_secs(100.0);
    assert_eq!(
        GracefulShutdown::new(start, 2.5).answer_deadline() - start,
        3.1
    );
    assert_eq!(
        GracefulShutdown::new(start, 9.0).answer_deadline() - start,
        3.6
    );
    assert!((GracefulShutdown::new(start, 0.4).answer_deadline() - start - 1.0).abs() < 1e-5);
}

/// Guards against an end right after the last response: the system resets connections with unread bytes, and the
/// response is lost.
#[test]
fn the_last_response_has_time_to_be_read() {
    let all = phase_starts(2.5, |age| ShutdownObservation {
        unanswered_requests: usize::from(age < 2.0),
        last_response_at: now(age.min(2.0)),
        ..ShutdownObservation::default()
    });
    assert_eq!(all[4], (ShutdownPhase::Finished, 2050));
}

/// Guards against an end while the connection accepted last is still waiting for its first request.
#[test]
fn unnotified_connections_are_waited_for() {
    let all = phase_starts(2.5, |age| ShutdownObservation {
        unnotified_connections: usize::from(age < 1.0),
        ..ShutdownObservation::default()
    });
    assert_eq!(all[4], (ShutdownPhase::Finished, 1000));
}

/// Guards against phases fitted to one deployment's deadlines: with shorter deadlines the kill would come while
/// connections are still accepted. Whatever the deadlines and clients, the listener closes 0.4 s and rejections begin
/// 0.15 s before the kill, or as soon as idle connections are closed.
#[test]
fn every_phase_ends_before_the_kill_whatever_the_deadlines() {
    fn ends_before_kill(deadline: u16, clients_connect: bool, has_partial_request: bool) -> bool {
        let longest = f64::from(deadline % 10_000) / 1e3 + 0.02;
        let all = phase_starts(longest, |age| ShutdownObservation {
            last_request_at: if clients_connect {
                now(age)
            } else {
                Time::default()
            },
            partial_requests: usize::from(has_partial_request),
            unnotified_connections: usize::from(clients_connect),
            ..ShutdownObservation::default()
        });
        let kill = ((longest.min(3.0) + 0.7) * 1e3) as i64;
        let at = |phase| {
            all.iter()
                .find(|(other, _)| *other == phase)
                .map_or(i64::MAX, |(_, at)| *at)
        };
        at(ShutdownPhase::ListenerClosed) <= (kill - 400).max(500) + 5
            && at(ShutdownPhase::Rejecting) <= (kill - 150).max(505) + 5
            && at(ShutdownPhase::Finished) <= (kill - 100).max(555) + 5
    }
    let fixed = Gen::from_size_and_seed(100, 31);
    QuickCheck::new()
        .rng(fixed)
        .tests(300)
        .quickcheck(ends_before_kill as fn(u16, bool, bool) -> bool);
    for deadline in [0, 180, 330, 430, 480, 2480, 7980] {
        assert!(ends_before_kill(deadline, true, true), "{deadline}");
    }
}
