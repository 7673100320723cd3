//! Changes of the endpoint list that a broken watch misses are applied in time, from a process's start on.

mod common;

use common::*;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Requests both shards of the first cell until a time has passed; returns when the last part reached server 0.
fn last_part_sent_to_first_node(
    coordinator: &TestCoordinator,
    since: Instant,
    until: Duration,
) -> Option<Duration> {
    let mut number = 0;
    while since.elapsed() < until {
        number += 1;
        let name = format!("n{}-{number}", since.elapsed().as_micros());
        coordinator.post_api(&name, "pick-confirm", "2.0", &[0, 2], "~1~");
        thread::sleep(Duration::from_millis(5));
    }
    let seen = coordinator.data_nodes.received.lock().unwrap();
    let at = seen
        .iter()
        .filter(|seen| seen.server == 0)
        .map(|seen| seen.received_at)
        .max();
    at.map(|at| at.saturating_duration_since(since))
}

/// Guards against a full silence time-out on one connection after another: a change counts as published 6 s after the
/// watch fell silent, whether or not it arrived.
#[test]
fn a_silent_watch_is_restarted_in_time() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    // The watch that is open, and the next two connections, are silent for good.
    coordinator.discovery.silence(2);
    let since = Instant::now();
    coordinator.discovery.set_phase(0, "leaving");
    let last = last_part_sent_to_first_node(&coordinator, since, Duration::from_millis(7_000))
        .expect("server 0 had its turns before");
    assert!(
        last > Duration::from_millis(100),
        "the watch was silent: {last:?}"
    );
    assert!(
        last < Duration::from_millis(6_250),
        "sent to {last:?} after the watch fell silent"
    );
}

/// Guards against a long backoff after an outage: once discovery answers again, its changes are applied at once.
#[test]
fn polling_resumes_soon_after_a_discovery_outage() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    coordinator.discovery.silence(1_000);
    coordinator.discovery.set_phase(0, "leaving");
    thread::sleep(Duration::from_secs(5));
    let since = Instant::now();
    // What is open stays silent; what is opened from now on is answered.
    coordinator.discovery.silence(0);
    let last = last_part_sent_to_first_node(&coordinator, since, Duration::from_millis(2_500));
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(2_000)),
        "sent to {last:?} after the outage"
    );
}

/// Guards against a new process that serves by an older list though discovery has a newer one.
#[test]
fn a_new_process_applies_the_current_list_before_serving() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    let known =
        json!({"revision": 1, "complete": true, "members": coordinator.discovery.members()});
    coordinator.reconfigure(|config| config["known"] = known);
    coordinator.wait_for_log_line("class");
    coordinator.discovery.set_phase(0, "left");
    coordinator.child.kill().unwrap();
    coordinator.child.wait().unwrap();
    coordinator.data_nodes.received.lock().unwrap().clear();
    coordinator.restart();
    for number in 0..20 {
        assert_eq!(
            coordinator
                .post_api(&format!("f{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                .status,
            200
        );
    }
    let seen = coordinator.data_nodes.received.lock().unwrap();
    assert!(!seen.is_empty() && seen.iter().all(|seen| seen.server != 0));
}
