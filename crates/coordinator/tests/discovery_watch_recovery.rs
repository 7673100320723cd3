//! Changes of the endpoint list must be applied in time though the watch on discovery fails, or the process starts with an
//! older list.

mod common;

use common::scripted_discovery::*;
use common::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
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

/// How a slow agent delays its answers.
#[derive(Clone, Copy, Debug)]
enum Slowness {
    /// Each answer begins this much later than it is due.
    Late(Duration),
    /// Each answer arrives in pieces over this time.
    Trickling(Duration),
}

/// When an agent becomes slow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SlowFrom {
    /// Before the coordinator starts.
    Start,
    /// After the coordinator has received a list.
    FirstList,
    /// With the agent to which SIGHUP moves the coordinator.
    Move,
}

/// Guards against a watch that gives up each poll before its answer arrives, and begins the same again without end: a drain
/// must be heard of within 6 s, and 0.25 s of grace and 0.05 s of slack later nothing may be sent.
#[test]
fn a_drain_is_heard_of_while_the_agent_is_slow() {
    let late = |millis| Slowness::Late(Duration::from_millis(millis));
    let trickling = |millis| Slowness::Trickling(Duration::from_millis(millis));
    let checks: Vec<_> = [
        (late(600), SlowFrom::FirstList),
        (late(1_200), SlowFrom::FirstList),
        (late(2_500), SlowFrom::FirstList),
        (trickling(1_500), SlowFrom::FirstList),
        (late(1_200), SlowFrom::Start),
        (trickling(2_000), SlowFrom::Start),
        (late(1_200), SlowFrom::Move),
        (late(2_500), SlowFrom::Move),
    ]
    .into_iter()
    .map(|(slowness, from)| thread::spawn(move || check_slow_agent(slowness, from)))
    .collect();
    for check in checks {
        check.join().unwrap();
    }
}

fn check_slow_agent(slowness: Slowness, from: SlowFrom) {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let mut drained = members.clone();
    drained[0]["phase"] = json!("leaving");
    let is_slow = Arc::new(AtomicBool::new(from == SlowFrom::Start));
    let is_draining = Arc::new(AtomicBool::new(from == SlowFrom::Start));
    let agent = || {
        let (members, drained) = (members.clone(), drained.clone());
        let (is_slow, is_draining) = (is_slow.clone(), is_draining.clone());
        ScriptedDiscovery::new(move |call| {
            let is_told = || call.from() == Some(2) || !is_draining.load(Ordering::SeqCst);
            let held = if call.target.contains("hold_ms=100") {
                100
            } else {
                2_000
            };
            let asked_at = Instant::now();
            while call.from().is_some()
                && is_told()
                && asked_at.elapsed() < Duration::from_millis(held)
            {
                thread::sleep(Duration::from_millis(2));
            }
            let body = match is_draining.load(Ordering::SeqCst) {
                true => member_list(2, true, &drained),
                false => member_list(1, true, &members),
            };
            match slowness {
                _ if !is_slow.load(Ordering::SeqCst) => ScriptedReply::Send(http_ok(&body)),
                Slowness::Late(delay) => {
                    thread::sleep(delay);
                    ScriptedReply::Send(http_ok(&body))
                }
                Slowness::Trickling(duration) => ScriptedReply::Trickle(http_ok(&body), duration),
            }
        })
    };
    let (first, second) = (agent(), agent());
    let known = json!({"revision": 1, "complete": true, "members": members});
    let begun = Instant::now();
    let coordinator = TestCoordinator::with_config(data_nodes, members.clone(), |config| {
        config["discovery"] = json!(first.address.to_string());
        config["known"] = known;
    });
    let mut told_from = begun;
    if from != SlowFrom::Start {
        is_slow.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(4_300));
        is_draining.store(true, Ordering::SeqCst);
        told_from = Instant::now();
    }
    if from == SlowFrom::Move {
        coordinator.reconfigure(|config| config["discovery"] = json!(second.address.to_string()));
    }
    let last = last_part_sent_to_first_node(&coordinator, told_from, Duration::from_secs(8));
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(6_300)),
        "{slowness:?} from {from:?}: last part {last:?} after the drain"
    );
}
