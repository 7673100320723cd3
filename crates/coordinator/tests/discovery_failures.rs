//! Discovery failures: truncated, duplicated and endless answers, outages of each kind, a move to another address in the
//! middle of an answer, and repeated changes. A change must be applied within 6 s after discovery is reachable again.

mod common;

use common::scripted_discovery::{
    self, http_ok, http_ok_until_close, member_list, ScriptedDiscovery, ScriptedReply,
};
use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An endpoint list that tests change, and whose watches are notified of changes.
#[derive(Clone, Default)]
struct MemberList(Arc<Shared>);

/// The revision and entries, and the condition variable that signals their changes.
type Shared = (Mutex<(u64, Vec<Value>)>, Condvar);

impl MemberList {
    fn new(members: Vec<Value>) -> MemberList {
        let list = MemberList::default();
        *list.0 .0.lock().unwrap() = (1, members);
        list
    }

    /// Changes the entries and returns the new revision.
    fn change(&self, change: impl FnOnce(&mut Vec<Value>)) -> u64 {
        let mut list = self.0 .0.lock().unwrap();
        list.0 += 1;
        change(&mut list.1);
        self.0 .1.notify_all();
        list.0
    }

    fn drain(&self, server: usize) -> u64 {
        self.change(|members| members[server]["phase"] = json!("leaving"))
    }

    /// Returns the body with which a working discovery answers this call. A watch blocks until the list is newer than its
    /// revision or its hold time has passed.
    fn body(&self, call: &scripted_discovery::DiscoveryCall) -> String {
        let mut list = self.0 .0.lock().unwrap();
        let hold = call
            .target
            .split("hold_ms=")
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let Some(from) = call.from() {
            let hold = Duration::from_millis(hold);
            list = self
                .0
                 .1
                .wait_timeout_while(list, hold, |list| list.0 <= from)
                .unwrap()
                .0;
        }
        member_list(list.0, true, &list.1)
    }
}

/// Starts the program with this discovery service.
fn start_coordinator(
    discovery: &ScriptedDiscovery,
    members: Vec<Value>,
    data_nodes: Arc<DataNodes>,
) -> TestCoordinator {
    TestCoordinator::with_config(data_nodes, members, |config| {
        config["discovery"] = json!(discovery.address.to_string())
    })
}

/// Sends requests for shards of the first cell until data node 0 has received no part for half a second. Returns the time
/// from `since` to its last part, or `None` if it received no part after `since`.
fn last_part_sent_to_first_node(coordinator: &TestCoordinator, since: Instant) -> Option<Duration> {
    let last = || {
        let seen = coordinator.data_nodes.received.lock().unwrap();
        seen.iter()
            .filter(|seen| seen.server == 0 && seen.received_at > since)
            .map(|seen| seen.received_at)
            .max()
    };
    let mut number = 0;
    loop {
        number += 1;
        let name = format!("n{}-{number}", since.elapsed().as_micros());
        coordinator.post_api(&name, "pick-confirm", "2.0", &[0, 2], "~1~");
        let without_parts = last().unwrap_or(since).elapsed();
        if without_parts > Duration::from_millis(500)
            && since.elapsed() > Duration::from_millis(700)
        {
            return last().map(|at| at - since);
        }
        assert!(
            since.elapsed() < Duration::from_secs(20),
            "data node 0 still received parts 20 s after the change"
        );
        thread::sleep(Duration::from_millis(4));
    }
}

/// Builds the reply of a failing discovery.
type Failure = Box<dyn Fn() -> ScriptedReply + Send + Sync>;

/// Returns every kind of failed poll with its name.
fn failures() -> Vec<(&'static str, Failure)> {
    let refusal = || b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec();
    vec![
        ("refused", Box::new(move || ScriptedReply::Send(refusal()))),
        (
            "cut",
            Box::new(|| {
                ScriptedReply::Reset(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev".to_vec(),
                )
            }),
        ),
        ("silent", Box::new(|| ScriptedReply::Stall(Vec::new()))),
        (
            "half",
            Box::new(|| {
                ScriptedReply::Stall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev".to_vec(),
                )
            }),
        ),
        ("closed", Box::new(|| ScriptedReply::Close(Vec::new()))),
        (
            "malformed",
            Box::new(|| ScriptedReply::Send(http_ok("{\"revision\":"))),
        ),
        (
            "no list",
            Box::new(|| ScriptedReply::Send(http_ok("[1,2]"))),
        ),
        (
            "endless",
            Box::new(|| {
                ScriptedReply::Stall(http_ok_until_close(
                    "{\"revision\":9,\"complete\":true,\"members\":[]}",
                ))
            }),
        ),
        (
            "noise",
            Box::new(|| ScriptedReply::Send(b"\0\xff no HTTP at all\r\n\r\n".to_vec())),
        ),
    ]
}

/// Guards against a failed poll that delays later changes: they must be applied within 6 s after discovery is reachable
/// again, whatever the kind of failure.
#[test]
fn a_change_is_applied_in_time_after_every_kind_of_failed_poll() {
    let checks: Vec<_> = failures()
        .into_iter()
        .map(|(kind, fail)| thread::spawn(move || check_recovery_from(kind, fail)))
        .collect();
    for check in checks {
        check.join().unwrap();
    }
}

fn check_recovery_from(kind: &str, fail: Failure) {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let list = MemberList::new(members.clone());
    let is_down = Arc::new(AtomicBool::new(false));
    let served_list = list.clone();
    let fails = is_down.clone();
    let discovery = ScriptedDiscovery::new(move |call| {
        if fails.load(Ordering::SeqCst) {
            return fail();
        }
        let body = served_list.body(call);
        match fails.load(Ordering::SeqCst) {
            true => fail(),
            false => ScriptedReply::Send(http_ok(&body)),
        }
    });
    let coordinator = start_coordinator(&discovery, members, data_nodes);
    is_down.store(true, Ordering::SeqCst);
    list.drain(0);
    thread::sleep(Duration::from_millis(4_000));
    assert_eq!(
        coordinator
            .post_api("during", "pick-confirm", "2.0", &[0], "~1~")
            .status,
        200,
        "{kind}: requests must be served during the outage"
    );
    let returned_at = Instant::now();
    is_down.store(false, Ordering::SeqCst);
    let last = last_part_sent_to_first_node(&coordinator, returned_at);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(5_900)),
        "{kind}: expected the last part less than 5.9 s after the outage, found {last:?}"
    );
}

#[test]
fn a_list_without_length_ends_at_close_but_not_at_reset() {
    for reset in [true, false] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
        let members = start_data_nodes(WireFormat::Platform, &data_nodes);
        let mut without = members.clone();
        without[0]["phase"] = json!("leaving");
        let all = members.clone();
        let calls = AtomicUsize::new(0);
        let discovery =
            ScriptedDiscovery::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
                0 => ScriptedReply::Send(http_ok(&member_list(1, true, &all))),
                1 if reset => {
                    ScriptedReply::Reset(http_ok_until_close(&member_list(2, true, &without)))
                }
                1 => ScriptedReply::Close(http_ok_until_close(&member_list(2, true, &without))),
                _ => ScriptedReply::Stall(Vec::new()),
            });
        let coordinator = start_coordinator(&discovery, members, data_nodes);
        wait_for("the next call", || {
            discovery.calls.lock().unwrap().len() > 2
        });
        let next = discovery.calls.lock().unwrap()[2].from();
        assert_eq!(
            next,
            Some(if reset { 1 } else { 2 }),
            "a list cut off by a reset must not be applied"
        );
        for number in 0..20 {
            assert_eq!(
                coordinator
                    .post_api(&format!("n{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                    .status,
                200
            );
        }
        let first_node_received = coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .any(|seen| seen.server == 0);
        assert_eq!(
            first_node_received, reset,
            "parts at data node 0 with reset: {reset}"
        );
    }
}

/// Guards against a duplicated answer in the same read that is taken for the answer to the next call and so delays every
/// later change. The revision in each call must make discovery send a change at once.
#[test]
fn a_duplicated_watch_answer_does_not_delay_later_changes() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let list = MemberList::new(members.clone());
    let duplicated = AtomicBool::new(false);
    let served_list = list.clone();
    let discovery = ScriptedDiscovery::new(move |call| {
        let bytes = http_ok(&served_list.body(call));
        match call.from().is_some() && !duplicated.swap(true, Ordering::SeqCst) {
            true => ScriptedReply::Send(bytes.repeat(2)),
            false => ScriptedReply::Send(bytes),
        }
    });
    let coordinator = start_coordinator(&discovery, members, data_nodes);
    let calls = || discovery.calls.lock().unwrap().len();
    // The answer with the first change is sent twice in one write. The second change must be applied without delay.
    list.change(|members| members[3]["size"] = json!(1.5));
    let before = calls();
    wait_for("the next call", || calls() > before);
    thread::sleep(Duration::from_millis(300));
    let since = Instant::now();
    list.drain(0);
    let last = last_part_sent_to_first_node(&coordinator, since);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(1_000)),
        "expected the last part less than 1 s after the change, found {last:?}"
    );
}

/// Guards against a partly read answer of the old discovery that is taken for an answer of the new one after SIGHUP, and
/// against data nodes that stay in use though the new full list does not contain them.
#[test]
fn moving_discovery_mid_answer_starts_with_the_new_full_list() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let mut without = members.clone();
    without.remove(0);
    let all = members.clone();
    let calls = AtomicUsize::new(0);
    let old = ScriptedDiscovery::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => ScriptedReply::Send(http_ok(&member_list(70, true, &all))),
        _ => {
            let bytes = http_ok(&member_list(71, true, &all[1..2]));
            ScriptedReply::Stall(bytes[..bytes.len() - 20].to_vec())
        }
    });
    let list = MemberList::new(without);
    let served_list = list.clone();
    let new =
        ScriptedDiscovery::new(move |call| ScriptedReply::Send(http_ok(&served_list.body(call))));
    let coordinator = start_coordinator(&old, members, data_nodes);
    wait_for("the second call", || old.calls.lock().unwrap().len() > 1);
    let since = Instant::now();
    coordinator.reconfigure(|config| config["discovery"] = json!(new.address.to_string()));
    let last = last_part_sent_to_first_node(&coordinator, since);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(1_000)),
        "expected the last part less than 1 s after the move, found {last:?}"
    );
    assert_eq!(
        new.calls.lock().unwrap()[0].from(),
        None,
        "the first call to the new discovery must request the full list, since revisions differ between services"
    );
    // Shards of the other cell are still served, so the old discovery's partial answer, a list of one data node, was not
    // applied.
    assert_eq!(
        coordinator
            .post_api("other", "pick-confirm", "2.0", &[1, 3], "~1~")
            .status,
        200
    );
}

/// Guards against errors in applying a repeated change, a data node that is removed and returns under its id at another
/// address, and a full list after a gap in the revisions.
#[test]
fn repeated_changes_and_returning_ids_are_applied_correctly() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let new_address = start_frame_node(9, data_nodes.clone());
    let phase = |phase: &str| {
        let mut member = members[0].clone();
        member["phase"] = json!(phase);
        member
    };
    let mut returned = phase("active");
    returned["host_port"] = json!(new_address.to_string());
    let repeated = vec![phase("leaving"), phase("leaving")];
    let steps: Vec<(u64, bool, Vec<Value>)> = vec![
        (1, true, members.clone()),
        (2, false, repeated.clone()),
        (2, false, repeated),
        (3, false, vec![phase("left")]),
        (3, false, vec![phase("left")]),
        (4, false, vec![returned.clone()]),
        // A gap in the revisions, so the full list is sent. It has one data node fewer.
        (
            90,
            true,
            vec![returned, members[1].clone(), members[3].clone()],
        ),
    ];
    let current_step = Arc::new(AtomicUsize::new(0));
    let steps = Arc::new(steps);
    let step = current_step.clone();
    let script = steps.clone();
    let next_step = AtomicUsize::new(0);
    let discovery = ScriptedDiscovery::new(move |call| {
        let number = next_step.fetch_add(1, Ordering::SeqCst);
        if number > 0 {
            let end = Instant::now() + Duration::from_millis(1_900);
            while step.load(Ordering::SeqCst) < number && Instant::now() < end {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let due = step
            .load(Ordering::SeqCst)
            .min(number)
            .min(script.len() - 1);
        next_step.store(due + 1, Ordering::SeqCst);
        let (revision, complete, members) = &script[due];
        match call.from() {
            Some(from) if from >= *revision && number > due => {
                ScriptedReply::Send(http_ok(&member_list(from, false, &[])))
            }
            _ => ScriptedReply::Send(http_ok(&member_list(*revision, *complete, members))),
        }
    });
    let coordinator = start_coordinator(&discovery, members.clone(), data_nodes);
    let mut name = 0;
    // Moves discovery to this step and returns the data nodes that receive parts afterwards.
    let mut servers_after_step = |step: usize| {
        current_step.store(step, Ordering::SeqCst);
        let before = discovery.calls.lock().unwrap().len();
        wait_for("the next call", || {
            discovery.calls.lock().unwrap().len() > before
        });
        thread::sleep(Duration::from_millis(50));
        coordinator.data_nodes.received.lock().unwrap().clear();
        for _ in 0..12 {
            name += 1;
            let answer = coordinator.post_api(
                &format!("n{name}"),
                "pick-confirm",
                "2.0",
                &[0],
                &format!("~{name}~"),
            );
            assert_eq!(answer.status, 200, "step {step}: {}", answer.json);
        }
        let mut servers: Vec<usize> = coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .map(|seen| seen.server)
            .collect();
        servers.sort_unstable();
        servers.dedup();
        servers
    };
    assert_eq!(servers_after_step(1), [2], "data node 0 is leaving");
    assert_eq!(
        servers_after_step(2),
        [2],
        "the change to leaving is repeated"
    );
    assert_eq!(servers_after_step(3), [2], "data node 0 has left");
    assert_eq!(servers_after_step(4), [2], "the change to left is repeated");
    assert_eq!(
        servers_after_step(5),
        [2, 9],
        "data node 0 has returned and gets parts at its new address only"
    );
    assert_eq!(
        servers_after_step(6),
        [9],
        "a data node that the full list does not contain gets no parts"
    );
}

/// Guards against a malformed list that replaces or empties the list in force.
#[test]
fn a_malformed_list_leaves_the_current_one_in_force() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let all = members.clone();
    let calls = AtomicUsize::new(0);
    let discovery = ScriptedDiscovery::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => ScriptedReply::Send(http_ok(&member_list(1, true, &all))),
        1 => ScriptedReply::Send(http_ok(
            "{\"revision\":2,\"complete\":true,\"members\":[{\"id\":7}",
        )),
        2 => ScriptedReply::Send(http_ok("{\"revision\":\"two\"}")),
        3 => ScriptedReply::Send(http_ok(&member_list(5, true, &[]))),
        _ => ScriptedReply::Stall(Vec::new()),
    });
    let coordinator = start_coordinator(&discovery, members, data_nodes);
    coordinator.wait_for_log_line("not an endpoint list");
    wait_for("the later calls", || {
        discovery.calls.lock().unwrap().len() > 4
    });
    for number in 0..8 {
        assert_eq!(
            coordinator
                .post_api(&format!("n{number}"), "pick-confirm", "2.0", &[0, 1], "~1~")
                .status,
            200
        );
    }
}

/// Guards against a process that waits for discovery before it is ready although its configuration contains a list.
#[test]
fn startup_becomes_ready_while_discovery_is_down() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let discovery = ScriptedDiscovery::new(|_| ScriptedReply::Stall(Vec::new()));
    let since = Instant::now();
    let coordinator = TestCoordinator::with_config(data_nodes, members.clone(), |config| {
        config["discovery"] = json!(discovery.address.to_string());
        config["known"] = json!({"revision": 7, "complete": true, "members": members});
    });
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "expected the process to be ready within 5 s, took {:?}",
        since.elapsed()
    );
    assert_eq!(
        coordinator
            .post_api("known", "pick-confirm", "2.0", &[0, 1], "~1~")
            .status,
        200
    );
}

/// Guards against idle clients that use up all descriptors while discovery is down. The watch and connections to new data
/// nodes must be possible when discovery returns, and the configuration file must be readable on SIGHUP.
#[test]
fn idle_clients_do_not_exhaust_descriptors_for_discovery_and_data_nodes() {
    for descriptors in [64, 256] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
        let servers = start_data_nodes(WireFormat::Platform, &data_nodes);
        let coordinator = TestCoordinator::with_descriptor_limit(
            data_nodes.clone(),
            servers.clone(),
            descriptors,
        );
        assert_eq!(
            coordinator
                .post_api("before", "pick-confirm", "2.0", &[0, 1], "~1~")
                .status,
            200
        );
        coordinator.discovery.silence(1_000);
        let new_members: Vec<Value> = start_data_nodes(WireFormat::Platform, &data_nodes)
            .into_iter()
            .enumerate()
            .map(|(number, mut member)| {
                member["id"] = json!(format!("new-{number}"));
                member
            })
            .collect();
        coordinator.discovery.set_members(new_members);
        // The clients connect faster than idle connections may be evicted, and two of three stop in the middle of a request.
        let mut clients = Vec::new();
        for number in 0..descriptors * 2 {
            let Ok(mut client) = std::net::TcpStream::connect(coordinator.platform) else {
                break;
            };
            if number % 3 > 0 {
                let _ = std::io::Write::write_all(&mut client, b"POST /api HTTP/1.1\r\nX-Req");
            }
            clients.push(client);
        }
        coordinator.reconfigure(|config| config["settings"]["classes"][0]["aimS"] = json!(0.9));
        coordinator.wait_for_log_line("class");
        coordinator.discovery.silence(0);
        let returned_at = Instant::now();
        let mut name = 0;
        let mut status = || {
            name += 1;
            coordinator
                .post_api(
                    &format!("after{name}"),
                    "pick-confirm",
                    "2.0",
                    &[0, 1],
                    "~2~",
                )
                .status
        };
        wait_for("a served request", || status() == 200);
        assert!(
            returned_at.elapsed() < Duration::from_secs(6),
            "{descriptors} descriptors: expected service within 6 s after discovery returned, took {:?}",
            returned_at.elapsed()
        );
        drop(clients);
    }
}
