//! Which servers are avoided, and how they are tried again.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn a_failing_server_is_avoided_and_gets_trial_parts() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let mut to_bad = 0;
    for _ in 0..100 {
        let (events, _, parts) = harness.query(0, &[0]);
        let mut attempt = 0;
        let mut sent = sends(&harness.handle(&events));
        while sent.first().is_some_and(|s| s.1 == 0) {
            to_bad += 1;
            sent = sends(
                &harness.handle_after(0.001, &[attempt_ended(parts[0], attempt, Outcome::Error)]),
            );
            attempt += 1;
        }
        harness.handle_after(0.05, &[attempt_ended(parts[0], attempt, Outcome::Ok)]);
    }
    assert!((2..15).contains(&to_bad), "{to_bad} of about 33 turns"); // 5 s: rare trials, yet trials
}

#[test]
fn failures_at_all_servers_alike_make_no_outlier() {
    // Incident id8b277: one part in ten was reset at every server alike; turns must go on.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (mut turns, mut late) = ([0u32; 3], [0u32; 3]);
    for round in 0..400 {
        let (events, _, parts) = harness.query(0, &[0]);
        let mut sent = sends(&harness.handle(&events))[0].1;
        let counts = if round < 200 { &mut turns } else { &mut late };
        counts[sent as usize] += 1;
        let mut attempt = 0;
        while attempt == 0 && round % 7 == 6 {
            sent = sends(
                &harness.handle_after(0.05, &[attempt_ended(parts[0], attempt, Outcome::Reset)]),
            )[0]
            .1;
            attempt += 1;
        }
        assert!(sent < 3);
        harness.handle_after(0.05, &[attempt_ended(parts[0], attempt, Outcome::Ok)]);
    }
    assert!(
        late.iter().all(|&n| n > 55),
        "each replica keeps a third of the turns: {late:?}"
    );
}

#[test]
fn trial_parts_are_limited_by_the_coordinators_own_traffic() {
    // Under sparse traffic every turn at a hung server would be a trial part if only time limited them.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(60);
    let mut to_hung = 0;
    for _ in 0..60 {
        let (events, _, parts) = harness.query(0, &[0]);
        let server = sends(&harness.handle(&events))[0].1;
        to_hung += usize::from(server == 0);
        let outcome = if server == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let again = sends(&harness.handle_after(0.1, &[attempt_ended(parts[0], 0, outcome)]));
        harness.handle_after(
            0.9,
            &again
                .iter()
                .map(|s| attempt_ended(s.0, 1, Outcome::Ok))
                .collect::<Vec<_>>(),
        );
    }
    assert!(
        (1..=6).contains(&to_hung),
        "{to_hung} of 60 queries went to the failing server"
    );
}

#[test]
fn health_checks_follow_an_outlier_and_are_overridden_by_answers() {
    let mut drawn = idempotent_settings();
    drawn.in_flight_report_index = Some(0);
    let mut harness = Harness::new(drawn);
    harness.serve_quick(30);
    let checked = |actions: &[Action]| -> Vec<u32> {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::HealthCheck(s) = a {
                    Some(s.0)
                } else {
                    None
                }
            })
            .collect()
    };
    for _ in 0..20 {
        assert!(
            checked(&harness.handle_after(0.1, &[Event::TimerFired])).is_empty(),
            "no outlier, no health check"
        );
    }
    let (events, _, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    let mut seen =
        checked(&harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Reset)]));
    seen.extend(checked(
        &harness.handle_after(0.05, &[attempt_ended(parts[0], 1, Outcome::Ok)]),
    ));
    for _ in 0..30 {
        seen.extend(checked(&harness.handle_after(0.1, &[Event::TimerFired])));
    }
    assert!(
        seen.len() >= 3 && seen.len() <= 15,
        "limited by parts sent: {seen:?}"
    );
    // A report of many requests in flight keeps server 1 out of rotation, until its own quick answer says otherwise.
    let report = |id: u32, in_flight: f64| Event::HealthCheckEnded {
        server: ServerId(id),
        outcome: Outcome::Ok,
        report: vec![in_flight],
    };
    harness.handle(&[report(1, 40.0)]);
    for _ in 0..6 {
        let (events, _, parts) = harness.query(0, &[0]);
        assert_ne!(sends(&harness.handle(&events))[0].1, 1);
        harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    }
    // Unusable reports are ignored.
    harness.handle(&[report(77, 1.0), report(0, f64::NAN)]);
}

/// Guards against advice that outweighs own answers, or lasts: an outlier of others may be sound from here.
#[test]
fn outlier_advice_holds_until_own_answers_or_time_override_it() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let served = |harness: &mut Harness| {
        let (events, _, parts) = harness.query(0, &[0]);
        let (_, server) = sends(&harness.handle(&events))[0];
        harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
        server
    };
    harness.handle(&[Event::OutlierAdvice(vec![ServerId(1), ServerId(99)])]);
    let sent: Vec<u32> = (0..12).map(|_| served(&mut harness)).collect();
    assert!(
        !sent.contains(&1) && sent.contains(&0) && sent.contains(&2),
        "{sent:?}"
    );
    harness.now = harness.now + 6.0;
    let sent: Vec<u32> = (0..12).map(|_| served(&mut harness)).collect();
    assert_eq!(
        sent.iter().filter(|&&server| server == 1).count(),
        4,
        "old advice has no effect: {sent:?}"
    );
}
