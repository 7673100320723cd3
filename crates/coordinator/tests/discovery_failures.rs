//! Discovery failures: answers that are cut off, doubled or never end, outages of each kind, a move with an answer half
//! read, repeated changes. A change counts as published 6 s after discovery could be reached again.

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

/// An endpoint list that can be changed, with a notification of changes.
#[derive(Clone, Default)]
struct MemberList(Arc<Shared>);

/// The revision and entries, and the notification.
type Shared = (Mutex<(u64, Vec<Value>)>, Condvar);

impl MemberList {
    fn new(members: Vec<Value>) -> MemberList {
        let known = MemberList::default();
        *known.0 .0.lock().unwrap() = (1, members);
        known
    }

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

    /// The answer of a working discovery to this call, once it is due.
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

/// Starts the program with this discovery.
fn coordinator(
    discovery: &ScriptedDiscovery,
    members: Vec<Value>,
    data_nodes: Arc<DataNodes>,
) -> TestCoordinator {
    TestCoordinator::with_config(data_nodes, members, |config| {
        config["discovery"] = json!(discovery.address.to_string())
    })
}

/// Sends requests for shards of the first cell until data node 0 has received nothing for half a second. Returns how long
/// after `since` it received its last part, if it did.
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
        let quiet = last().unwrap_or(since).elapsed();
        if quiet > Duration::from_millis(500) && since.elapsed() > Duration::from_millis(700) {
            return last().map(|at| at - since);
        }
        assert!(
            since.elapsed() < Duration::from_secs(20),
            "the change was never applied"
        );
        thread::sleep(Duration::from_millis(4));
    }
}

/// How a failing discovery replies.
type Failure = Box<dyn Fn() -> ScriptedReply + Send + Sync>;

/// Every kind of failed poll, by its name.
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

/// However discovery fails, once it can be reached again its changes are applied within 6 s.
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
    let known = MemberList::new(members.clone());
    let down = Arc::new(AtomicBool::new(false));
    let knows = known.clone();
    let fails = down.clone();
    let discovery = ScriptedDiscovery::new(move |call| {
        if fails.load(Ordering::SeqCst) {
            return fail();
        }
        let body = knows.body(call);
        match fails.load(Ordering::SeqCst) {
            true => fail(),
            false => ScriptedReply::Send(http_ok(&body)),
        }
    });
    let coordinator = coordinator(&discovery, members, data_nodes);
    down.store(true, Ordering::SeqCst);
    known.drain(0);
    thread::sleep(Duration::from_millis(4_000));
    assert_eq!(
        coordinator
            .post_api("during", "pick-confirm", "2.0", &[0], "~1~")
            .status,
        200,
        "{kind}"
    );
    let back = Instant::now();
    down.store(false, Ordering::SeqCst);
    let last = last_part_sent_to_first_node(&coordinator, back);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(5_900)),
        "{kind}: {last:?}"
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
        let coordinator = coordinator(&discovery, members, data_nodes);
        wait_for("the next call", || {
            discovery.calls.lock().unwrap().len() > 2
        });
        let next = discovery.calls.lock().unwrap()[2].from();
        assert_eq!(
            next,
            Some(if reset { 1 } else { 2 }),
            "what was cut off is not applied"
        );
        for number in 0..20 {
            assert_eq!(
                coordinator
                    .post_api(&format!("n{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                    .status,
                200
            );
        }
        let to_first = coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .any(|seen| seen.server == 0);
        assert_eq!(to_first, reset, "reset: {reset}");
    }
}

/// Guards against a second answer in the same read that is taken for the answer to the next call, and from then on delays
/// each change: the revision in the call has to bring it at once all the same.
#[test]
fn a_duplicated_watch_answer_does_not_delay_later_changes() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let known = MemberList::new(members.clone());
    let doubled = AtomicBool::new(false);
    let knows = known.clone();
    let discovery = ScriptedDiscovery::new(move |call| {
        let bytes = http_ok(&knows.body(call));
        match call.from().is_some() && !doubled.swap(true, Ordering::SeqCst) {
            true => ScriptedReply::Send(bytes.repeat(2)),
            false => ScriptedReply::Send(bytes),
        }
    });
    let coordinator = coordinator(&discovery, members, data_nodes);
    let calls = || discovery.calls.lock().unwrap().len();
    // The first change is sent twice in one write; the second has to be applied when it comes.
    known.change(|members| members[3]["size"] = json!(1.5));
    let before = calls();
    wait_for("the next call", || calls() > before);
    thread::sleep(Duration::from_millis(300));
    let since = Instant::now();
    known.drain(0);
    let last = last_part_sent_to_first_node(&coordinator, since);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(1_000)),
        "{last:?} after the change"
    );
}

/// Guards against an answer of the old discovery being taken for the new one's, where SIGHUP comes with an answer half
/// read, and against a full list whose missing entries are not removed.
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
    let known = MemberList::new(without);
    let knows = known.clone();
    let new = ScriptedDiscovery::new(move |call| ScriptedReply::Send(http_ok(&knows.body(call))));
    let coordinator = coordinator(&old, members, data_nodes);
    wait_for("the second call", || old.calls.lock().unwrap().len() > 1);
    let since = Instant::now();
    coordinator.reconfigure(|config| config["discovery"] = json!(new.address.to_string()));
    let last = last_part_sent_to_first_node(&coordinator, since);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(1_000)),
        "{last:?} after the move"
    );
    assert_eq!(
        new.calls.lock().unwrap()[0].from(),
        None,
        "its revisions are its own"
    );
    // Shards of the other cell are still served: the half answer named one data node alone.
    assert_eq!(
        coordinator
            .post_api("other", "pick-confirm", "2.0", &[1, 3], "~1~")
            .status,
        200
    );
}

/// Guards against a repeated change, a data node that is removed and returns under its id at another address, and a full
/// list after a gap in revisions.
#[test]
fn repeated_changes_and_returning_ids_are_applied_correctly() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let moved = start_frame_node(9, data_nodes.clone());
    let phase = |phase: &str| {
        let mut member = members[0].clone();
        member["phase"] = json!(phase);
        member
    };
    let mut back = phase("active");
    back["host_port"] = json!(moved.to_string());
    let twice = vec![phase("leaving"), phase("leaving")];
    let steps: Vec<(u64, bool, Vec<Value>)> = vec![
        (1, true, members.clone()),
        (2, false, twice.clone()),
        (2, false, twice),
        (3, false, vec![phase("left")]),
        (3, false, vec![phase("left")]),
        (4, false, vec![back.clone()]),
        // A gap: the full list, with one data node fewer.
        (90, true, vec![back, members[1].clone(), members[3].clone()]),
    ];
    let at = Arc::new(AtomicUsize::new(0));
    let steps = Arc::new(steps);
    let step = at.clone();
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
    let coordinator = coordinator(&discovery, members.clone(), data_nodes);
    let mut name = 0;
    let mut reached = |step: usize| {
        at.store(step, Ordering::SeqCst);
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
    assert_eq!(reached(1), [2], "it leaves");
    assert_eq!(reached(2), [2], "repeated");
    assert_eq!(reached(3), [2], "it is gone");
    assert_eq!(reached(4), [2], "repeated");
    assert_eq!(
        reached(5),
        [2, 9],
        "back, at its new address and nowhere else"
    );
    assert_eq!(reached(6), [9], "what the full list leaves out is gone");
}

/// Guards against a malformed list that empties the one in force.
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
    let coordinator = coordinator(&discovery, members, data_nodes);
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

/// Guards against a process that waits for discovery before it is ready: it starts with the list it is given.
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
        "ready after {:?}",
        since.elapsed()
    );
    assert_eq!(
        coordinator
            .post_api("known", "pick-confirm", "2.0", &[0, 1], "~1~")
            .status,
        200
    );
}

/// Guards against idle clients that use up every descriptor while discovery is down: the watch and a connection to a
/// new data node must be possible at its return, and settings must be readable at SIGHUP.
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
        let fresh: Vec<Value> = start_data_nodes(WireFormat::Platform, &data_nodes)
            .into_iter()
            .enumerate()
            .map(|(number, mut member)| {
                member["id"] = json!(format!("new-{number}"));
                member
            })
            .collect();
        coordinator.discovery.set_members(fresh);
        // They connect faster than idle ones may be evicted, and most stay in the middle of a request.
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
        let back = Instant::now();
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
        wait_for("service", || status() == 200);
        assert!(
            back.elapsed() < Duration::from_secs(6),
            "{descriptors}: {:?}",
            back.elapsed()
        );
        drop(clients);
    }
}
