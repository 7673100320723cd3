//! The phases of a stop, on a clock of the test's own.

use cairnroad_admin::shutdown::{GracefulShutdown, ShutdownObservation, ShutdownPhase};
use cairnroad_types::Time;
use quickcheck::{Gen, QuickCheck};

/// The moments of all steps, in milliseconds after the order, where `seen` tells what is seen then.
fn moments(longest: f64, seen: impl Fn(f64) -> ShutdownObservation) -> Vec<(ShutdownPhase, i64)> {
    let start = Time::from_secs(100.0);
    let mut stop = GracefulShutdown::new(start, longest);
    let mut moments = vec![(ShutdownPhase::Serving, 0)];
    for tick in 0..1000 {
        let now = start + f64::from(tick) * 0.005;
        let step = stop.advance(now, seen(now - start));
        if step != moments[moments.len() - 1].0 {
            moments.push((step, ((now - start) * 1e3).round() as i64));
        }
    }
    moments
}

/// A moment so many seconds after the order.
fn now(age: f64) -> Time {
    Time::from_secs(100.0 + age)
}

#[test]
fn a_quiet_program_ends_within_a_second() {
    let all = moments(2.5, |_| ShutdownObservation::default());
    let expected = [
        (ShutdownPhase::Serving, 0),
        (ShutdownPhase::IdleConnectionsClosed, 500),
        (ShutdownPhase::ListenerClosed, 900),
        (ShutdownPhase::Rejecting, 905),
        (ShutdownPhase::Finished, 955),
    ];
    assert_eq!(all, expected);
}

/// Guards against clients who never cease to come, or to send, and so hold the end up until the kill.
#[test]
fn nobody_who_goes_on_coming_holds_the_end_up() {
    let coming = |age: f64| ShutdownObservation {
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
    assert_eq!(moments(2.5, coming), expected);
}

#[test]
fn the_rest_of_a_request_is_waited_for() {
    let all = moments(2.5, |age| ShutdownObservation {
        partial_requests: usize::from(age < 1.1),
        ..ShutdownObservation::default()
    });
    assert_eq!(all[3], (ShutdownPhase::Rejecting, 1100));
}

/// Guards against a request that comes late in the stop and would be answered only after the kill.
#[test]
fn all_is_answered_before_the_kill() {
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

/// Guards against an end right behind the last answer: with bytes unread the system resets the connection, and the
/// answer is lost with it.
#[test]
fn the_last_answer_is_left_time_to_be_read() {
    let all = moments(2.5, |age| ShutdownObservation {
        unanswered_requests: usize::from(age < 2.0),
        last_response_at: now(age.min(2.0)),
        ..ShutdownObservation::default()
    });
    assert_eq!(all[4], (ShutdownPhase::Finished, 2050));
}

/// Guards against an end while a connection that was accepted last still waits for its first request.
#[test]
fn connections_that_were_not_told_of_the_end_are_waited_for() {
    let all = moments(2.5, |age| ShutdownObservation {
        unnotified_connections: usize::from(age < 1.0),
        ..ShutdownObservation::default()
    });
    assert_eq!(all[4], (ShutdownPhase::Finished, 1000));
}

/// Guards against phases fitted to one deployment's deadlines: with short ones the kill comes while the program still
/// accepts. Whatever the deadlines and whoever comes, the program is deaf 0.4 s and refuses 0.15 s before the kill, or
/// as soon as idle connections are closed.
#[test]
fn every_phase_is_over_before_the_kill_whatever_the_deadlines() {
    fn kept(deadline: u16, coming: bool, half: bool) -> bool {
        let longest = f64::from(deadline % 10_000) / 1e3 + 0.02;
        let all = moments(longest, |age| ShutdownObservation {
            last_request_at: if coming { now(age) } else { Time::default() },
            partial_requests: usize::from(half),
            unnotified_connections: usize::from(coming),
            ..ShutdownObservation::default()
        });
        let kill = ((longest.min(3.0) + 0.7) * 1e3) as i64;
        let at = |step| {
            all.iter()
                .find(|(other, _)| *other == step)
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
        .quickcheck(kept as fn(u16, bool, bool) -> bool);
    for deadline in [0, 180, 330, 430, 480, 2480, 7980] {
        assert!(kept(deadline, true, true), "{deadline}");
    }
}
