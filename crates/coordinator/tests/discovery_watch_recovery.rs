//! Changes of the endpoint list must be applied in time though the watch on discovery fails, or the process starts with an
//! older list.

mod common;

use common::scripted_discovery::*;
use common::*;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Sends requests for shards 0 and 2, of the first cell, until `until` has passed since `since`. Returns the time from
/// `since` to the last part at data node 0, or `None` if it received no part.
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

/// Guards against a watch that waits for its full time-out on one unresponsive connection after another. A change must be
/// applied within 6 s after the watch stopped getting answers.
#[test]
fn a_silent_watch_is_restarted_in_time() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    // The open watch and the next two connections get no more answers.
    coordinator.discovery.silence(2);
    let since = Instant::now();
    coordinator.discovery.set_phase(0, "leaving");
    let last = last_part_sent_to_first_node(&coordinator, since, Duration::from_millis(7_000))
        .expect("data node 0 received no part before the change");
    assert!(
        last > Duration::from_millis(100),
        "data node 0 must get parts while the watch gets no answers, but the last part came after {last:?}"
    );
    assert!(
        last < Duration::from_millis(6_250),
        "expected the last part within 6.25 s after the watch stopped getting answers, found {last:?}"
    );
}

/// Guards against a long poll backoff after an outage: once discovery answers again, its changes must be applied within 2 s.
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
    // Connections that are open now stay without answers, and new ones are answered.
    coordinator.discovery.silence(0);
    let last = last_part_sent_to_first_node(&coordinator, since, Duration::from_millis(2_500));
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(2_000)),
        "expected the last part less than 2 s after the outage, found {last:?}"
    );
}

/// Guards against a backoff that grows during an outage beyond the time for which a draining data node may still get
/// parts: discovery returns in the middle of it, and its list counts as told at once.
#[test]
fn the_pause_between_two_polls_stays_under_the_grace_of_drains_in_a_long_outage() {
    // The settings allow 0.25 s, the platform's rules 0.05 s more, of which a stall of the process may take 0.15 s.
    const MAX_PAUSE: Duration = Duration::from_millis(150);
    // The time for which an unanswered poll is waited for after a fault.
    const POLL_TIMEOUT: Duration = Duration::from_millis(500);
    const OUTAGE: Duration = Duration::from_secs(9);
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let list = member_list(1, true, &members);
    let discovery = ScriptedDiscovery::new(move |call| match call.from() {
        None => ScriptedReply::Send(http_ok(&list)),
        Some(_) => ScriptedReply::Stall(Vec::new()),
    });
    let _coordinator = TestCoordinator::with_config(data_nodes, members, |config| {
        config["discovery"] = json!(discovery.address.to_string());
    });
    thread::sleep(OUTAGE);
    let calls = discovery.calls.lock().unwrap();
    let mut pauses: Vec<Duration> = calls
        .windows(2)
        .map(|pair| (pair[1].at - pair[0].at).saturating_sub(POLL_TIMEOUT))
        .collect();
    assert!(pauses.len() > 8, "{pauses:?}");
    // The median of the last pauses, since a busy machine may delay some.
    let mut last: Vec<Duration> = pauses.split_off(pauses.len() - 5);
    last.sort();
    assert!(last[2] <= MAX_PAUSE, "pauses {pauses:?}, then {last:?}");
}

/// Guards against a new process that serves with the older list of its configuration though discovery has a newer one.
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
