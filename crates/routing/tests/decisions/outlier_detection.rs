//! Tests of outlier detection, trial parts, health checks and outlier advice.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn a_failing_server_is_avoided_and_gets_trial_parts() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let mut sent_to_failing = 0;
    for _ in 0..100 {
        let (events, _, parts) = harness.query(0, &[0]);
        let mut attempt = 0;
        let mut sent = sends(&harness.handle(&events));
        while sent.first().is_some_and(|&(_, server)| server == 0) {
            sent_to_failing += 1;
            sent = sends(
                &harness.handle_after(0.001, &[attempt_ended(parts[0], attempt, Outcome::Error)]),
            );
            attempt += 1;
        }
        harness.handle_after(0.05, &[attempt_ended(parts[0], attempt, Outcome::Ok)]);
    }
    // In these 5 s the failing server gets a few trial parts instead of its third of the turns.
    assert!(
        (2..15).contains(&sent_to_failing),
        "{sent_to_failing} parts sent to the failing server, of about 33 turns"
    );
}

#[test]
fn failures_at_all_servers_alike_make_no_outlier() {
    // Guards against servers that become outliers when all fail alike. In incident id8b277, one part in ten
    // was reset at every server.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (mut early_turns, mut late_turns) = ([0u32; 3], [0u32; 3]);
    for round in 0..400 {
        let (events, _, parts) = harness.query(0, &[0]);
        let mut sent = sends(&harness.handle(&events))[0].1;
        let turns = if round < 200 {
            &mut early_turns
        } else {
            &mut late_turns
        };
        turns[sent as usize] += 1;
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
        late_turns.iter().all(|&count| count > 55),
        "of 200 turns, the replicas got {late_turns:?} instead of about a third each"
    );
}

#[test]
fn trial_parts_are_limited_by_the_coordinators_own_traffic() {
    // Guards against trial parts that are limited by time alone: under sparse traffic, every turn of a
    // failing server would then be a trial part.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(60);
    let mut sent_to_failing = 0;
    for _ in 0..60 {
        let (events, _, parts) = harness.query(0, &[0]);
        let server = sends(&harness.handle(&events))[0].1;
        sent_to_failing += usize::from(server == 0);
        let outcome = if server == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let resent = sends(&harness.handle_after(0.1, &[attempt_ended(parts[0], 0, outcome)]));
        harness.handle_after(
            0.9,
            &resent
                .iter()
                .map(|&(part, _)| attempt_ended(part, 1, Outcome::Ok))
                .collect::<Vec<_>>(),
        );
    }
    assert!(
        (1..=6).contains(&sent_to_failing),
        "{sent_to_failing} of 60 queries went to the failing server"
    );
}

#[test]
fn health_checks_follow_an_outlier_and_are_overridden_by_answers() {
    let mut settings = idempotent_settings();
    settings.in_flight_report_index = Some(0);
    let mut harness = Harness::new(settings);
    harness.serve_quick(30);
    let checked_servers = |actions: &[Action]| -> Vec<u32> {
        actions
            .iter()
            .filter_map(|action| {
                if let Action::HealthCheck(server) = action {
                    Some(server.0)
                } else {
                    None
                }
            })
            .collect()
    };
    for _ in 0..20 {
        assert!(
            checked_servers(&harness.handle_after(0.1, &[Event::TimerFired])).is_empty(),
            "health check without an outlier"
        );
    }
    let (events, _, parts) = harness.query(0, &[0]);
    harness.handle(&events);
    let mut checked =
        checked_servers(&harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Reset)]));
    checked.extend(checked_servers(
        &harness.handle_after(0.05, &[attempt_ended(parts[0], 1, Outcome::Ok)]),
    ));
    for _ in 0..30 {
        checked.extend(checked_servers(
            &harness.handle_after(0.1, &[Event::TimerFired]),
        ));
    }
    assert!(
        checked.len() >= 3 && checked.len() <= 15,
        "health checks are limited by the parts sent, got {checked:?}"
    );
    // A load report with many requests in flight takes server 1 out of rotation until it answers a part
    // quickly.
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
    // Reports of unknown servers and reports without a valid number are ignored.
    harness.handle(&[report(77, 1.0), report(0, f64::NAN)]);
}

/// Guards against advice that outweighs the router's own outcomes or holds for too long: a server that is an
/// outlier for other coordinators may be healthy for this one.
#[test]
fn outlier_advice_holds_until_own_outcomes_or_time_override_it() {
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let serving_server = |harness: &mut Harness| {
        let (events, _, parts) = harness.query(0, &[0]);
        let (_, server) = sends(&harness.handle(&events))[0];
        harness.handle_after(0.05, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
        server
    };
    harness.handle(&[Event::OutlierAdvice(vec![ServerId(1), ServerId(99)])]);
    let sent: Vec<u32> = (0..12).map(|_| serving_server(&mut harness)).collect();
    assert!(
        !sent.contains(&1) && sent.contains(&0) && sent.contains(&2),
        "{sent:?}"
    );
    harness.now = harness.now + 6.0;
    let sent: Vec<u32> = (0..12).map(|_| serving_server(&mut harness)).collect();
    assert_eq!(
        sent.iter().filter(|&&server| server == 1).count(),
        4,
        "outdated advice still has an effect: {sent:?}"
    );
}
