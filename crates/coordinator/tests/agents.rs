//! An agent of discovery in its rare moments: answers that are cut, doubled or never end, outages of each kind, a move
//! with an answer half read, changes heard twice. What it has counts as told 6 s after it could be reached again.

mod common;

use common::script::{self, answer, endless, list, Agent, Reply};
use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What an agent knows, and word of its changes.
#[derive(Clone, Default)]
struct Known(Arc<Shared>);

/// Its version and list, and word of changes.
type Shared = (Mutex<(u64, Vec<Value>)>, Condvar);

impl Known {
    fn new(members: Vec<Value>) -> Known {
        let known = Known::default();
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

    /// What a sound agent says to this call, in its time.
    fn body(&self, call: &script::Call) -> String {
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
        self::list(list.0, true, &list.1)
    }
}

/// The program before an agent with this script.
fn rig(agent: &Agent, members: Vec<Value>, stage: Arc<Stage>) -> Rig {
    Rig::tuned(stage, members, |config| {
        config["discovery"] = json!(agent.address.to_string())
    })
}

/// Asks for shards of the first cell until server 0 has got nothing for half a second; how long after `since` its last
/// part came, if one did.
fn last_sent(rig: &Rig, since: Instant) -> Option<Duration> {
    let last = || {
        let seen = rig.stage.seen.lock().unwrap();
        seen.iter()
            .filter(|seen| seen.server == 0 && seen.at > since)
            .map(|seen| seen.at)
            .max()
    };
    let mut number = 0;
    loop {
        number += 1;
        let name = format!("n{}-{number}", since.elapsed().as_micros());
        rig.api(&name, "pick-confirm", "2.0", &[0, 2], "~1~");
        let quiet = last().unwrap_or(since).elapsed();
        if quiet > Duration::from_millis(500) && since.elapsed() > Duration::from_millis(700) {
            return last().map(|at| at - since);
        }
        assert!(since.elapsed() < Duration::from_secs(20), "it never heard");
        thread::sleep(Duration::from_millis(4));
    }
}

/// Whatever way an agent fails, once it can be reached again what it has is heard within 6 s.
#[test]
fn after_every_kind_of_failed_call_a_change_is_heard_in_time() {
    let refusal = || b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec();
    type Failing = Box<dyn Fn() -> Reply + Send + Sync>;
    let kinds: Vec<(&str, Failing)> = vec![
        ("refused", Box::new(move || Reply::Send(refusal()))),
        (
            "cut",
            Box::new(|| {
                Reply::Reset(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev".to_vec())
            }),
        ),
        ("silent", Box::new(|| Reply::Stall(Vec::new()))),
        (
            "half",
            Box::new(|| {
                Reply::Stall(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev".to_vec())
            }),
        ),
        ("closed", Box::new(|| Reply::Close(Vec::new()))),
        ("spoilt", Box::new(|| Reply::Send(answer("{\"revision\":")))),
        ("no list", Box::new(|| Reply::Send(answer("[1,2]")))),
        (
            "endless",
            Box::new(|| Reply::Stall(endless("{\"revision\":9,\"complete\":true,\"members\":[]}"))),
        ),
        (
            "noise",
            Box::new(|| Reply::Send(b"\0\xff no HTTP at all\r\n\r\n".to_vec())),
        ),
    ];
    let checks: Vec<_> = kinds
        .into_iter()
        .map(|(kind, fail)| {
            thread::spawn(move || {
                let stage = Stage::new(|_, _, _| Act::Serve);
                let members = members(Wire::Platform, &stage);
                let (known, down) = (
                    Known::new(members.clone()),
                    Arc::new(AtomicBool::new(false)),
                );
                let (knows, fails) = (known.clone(), down.clone());
                let agent = Agent::new(move |call| {
                    if fails.load(Ordering::SeqCst) {
                        return fail();
                    }
                    let body = knows.body(call);
                    match fails.load(Ordering::SeqCst) {
                        true => fail(),
                        false => Reply::Send(answer(&body)),
                    }
                });
                let rig = rig(&agent, members, stage);
                down.store(true, Ordering::SeqCst);
                known.drain(0);
                thread::sleep(Duration::from_millis(4_000));
                assert_eq!(
                    rig.api("during", "pick-confirm", "2.0", &[0], "~1~").status,
                    200,
                    "{kind}"
                );
                let back = Instant::now();
                down.store(false, Ordering::SeqCst);
                let last = last_sent(&rig, back);
                assert!(
                    last.is_none_or(|last| last < Duration::from_millis(5_900)),
                    "{kind}: {last:?}"
                );
            })
        })
        .collect();
    for check in checks {
        check.join().unwrap();
    }
}

/// Guards against a list without a length that a reset cuts off and that could be read all the same: a reset is no end.
#[test]
fn a_reset_is_no_end_of_a_list_and_a_close_is_one() {
    for reset in [true, false] {
        let stage = Stage::new(|_, _, _| Act::Serve);
        let members = members(Wire::Platform, &stage);
        let mut without = members.clone();
        without[0]["phase"] = json!("leaving");
        let (all, calls) = (members.clone(), AtomicUsize::new(0));
        let agent = Agent::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Send(answer(&list(1, true, &all))),
            1 if reset => Reply::Reset(endless(&list(2, true, &without))),
            1 => Reply::Close(endless(&list(2, true, &without))),
            _ => Reply::Stall(Vec::new()),
        });
        let rig = rig(&agent, members, stage);
        wait_for("the next call", || agent.calls.lock().unwrap().len() > 2);
        let next = agent.calls.lock().unwrap()[2].from();
        assert_eq!(
            next,
            Some(if reset { 1 } else { 2 }),
            "what was cut off is not known"
        );
        for number in 0..20 {
            assert_eq!(
                rig.api(&format!("n{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                    .status,
                200
            );
        }
        let to_first = rig
            .stage
            .seen
            .lock()
            .unwrap()
            .iter()
            .any(|seen| seen.server == 0);
        assert_eq!(to_first, reset, "reset: {reset}");
    }
}

/// Guards against a second answer in the same read, which is taken for the answer to the next call, and from then on makes
/// each change heard late: the version in the call has to bring it at once all the same.
#[test]
fn two_answers_at_once_do_not_put_the_watch_a_call_behind() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let members = members(Wire::Platform, &stage);
    let (known, doubled) = (Known::new(members.clone()), AtomicBool::new(false));
    let knows = known.clone();
    let agent = Agent::new(move |call| {
        let bytes = answer(&knows.body(call));
        match call.from().is_some() && !doubled.swap(true, Ordering::SeqCst) {
            true => Reply::Send(bytes.repeat(2)),
            false => Reply::Send(bytes),
        }
    });
    let rig = rig(&agent, members, stage);
    let calls = || agent.calls.lock().unwrap().len();
    // The first change is told twice in one go; the second has to be heard when it comes.
    known.change(|members| members[3]["size"] = json!(1.5));
    let before = calls();
    wait_for("the next call", || calls() > before);
    thread::sleep(Duration::from_millis(300));
    let since = Instant::now();
    known.drain(0);
    let last = last_sent(&rig, since);
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(1_000)),
        "{last:?} after the change"
    );
}

/// Guards against what an old agent says being taken for the new one's, where SIGHUP comes with an answer half read, and
/// against a whole list that does not say what is gone.
#[test]
fn a_move_with_an_answer_half_read_begins_with_the_new_agents_whole_list() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let members = members(Wire::Platform, &stage);
    let mut without = members.clone();
    without.remove(0);
    let (all, calls) = (members.clone(), AtomicUsize::new(0));
    let old = Agent::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Send(answer(&list(70, true, &all))),
        _ => {
            let bytes = answer(&list(71, true, &all[1..2]));
            Reply::Stall(bytes[..bytes.len() - 20].to_vec())
        }
    });
    let known = Known::new(without);
    let knows = known.clone();
    let new = Agent::new(move |call| Reply::Send(answer(&knows.body(call))));
    let rig = rig(&old, members, stage);
    wait_for("the second call", || old.calls.lock().unwrap().len() > 1);
    let since = Instant::now();
    rig.reconfigure(|config| config["discovery"] = json!(new.address.to_string()));
    let last = last_sent(&rig, since);
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
        rig.api("other", "pick-confirm", "2.0", &[1, 3], "~1~")
            .status,
        200
    );
}

/// Guards against a change that is heard twice, a data node that is removed and comes back under its id, elsewhere, and
/// a whole list after a gap.
#[test]
fn changes_heard_twice_and_ids_that_come_back_are_understood() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let members = members(Wire::Platform, &stage);
    let moved = frame_server(9, stage.clone());
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
        // A gap: the whole list, with one data node fewer.
        (90, true, vec![back, members[1].clone(), members[3].clone()]),
    ];
    let (at, steps) = (Arc::new(AtomicUsize::new(0)), Arc::new(steps));
    let (step, script) = (at.clone(), steps.clone());
    let told = AtomicUsize::new(0);
    let agent = Agent::new(move |call| {
        let number = told.fetch_add(1, Ordering::SeqCst);
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
        told.store(due + 1, Ordering::SeqCst);
        let (revision, complete, members) = &script[due];
        match call.from() {
            Some(from) if from >= *revision && number > due => {
                Reply::Send(answer(&list(from, false, &[])))
            }
            _ => Reply::Send(answer(&list(*revision, *complete, members))),
        }
    });
    let rig = rig(&agent, members.clone(), stage);
    let mut name = 0;
    let mut reached = |step: usize| {
        at.store(step, Ordering::SeqCst);
        let before = agent.calls.lock().unwrap().len();
        wait_for("the next call", || {
            agent.calls.lock().unwrap().len() > before
        });
        thread::sleep(Duration::from_millis(50));
        rig.stage.seen.lock().unwrap().clear();
        for _ in 0..12 {
            name += 1;
            let told = rig.api(
                &format!("n{name}"),
                "pick-confirm",
                "2.0",
                &[0],
                &format!("~{name}~"),
            );
            assert_eq!(told.status, 200, "step {step}: {}", told.json);
        }
        let mut servers: Vec<usize> = rig
            .stage
            .seen
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
    assert_eq!(reached(2), [2], "heard twice");
    assert_eq!(reached(3), [2], "it is gone");
    assert_eq!(reached(4), [2], "heard twice");
    assert_eq!(
        reached(5),
        [2, 9],
        "back, at its new address and nowhere else"
    );
    assert_eq!(reached(6), [9], "what the whole list leaves out is gone");
}

/// Guards against a spoilt list that empties the one in force.
#[test]
fn a_spoilt_list_leaves_the_one_in_force() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let members = members(Wire::Platform, &stage);
    let (all, calls) = (members.clone(), AtomicUsize::new(0));
    let agent = Agent::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Send(answer(&list(1, true, &all))),
        1 => Reply::Send(answer(
            "{\"revision\":2,\"complete\":true,\"members\":[{\"id\":7}",
        )),
        2 => Reply::Send(answer("{\"revision\":\"two\"}")),
        3 => Reply::Send(answer(&list(5, true, &[]))),
        _ => Reply::Stall(Vec::new()),
    });
    let rig = rig(&agent, members, stage);
    rig.wait_for_line("not an endpoint list");
    wait_for("the later calls", || agent.calls.lock().unwrap().len() > 4);
    for number in 0..8 {
        assert_eq!(
            rig.api(&format!("n{number}"), "pick-confirm", "2.0", &[0, 1], "~1~")
                .status,
            200
        );
    }
}

/// Guards against a process that waits for discovery before it is ready: it goes by the list of its last life.
#[test]
fn a_process_is_ready_though_discovery_is_down() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let members = members(Wire::Platform, &stage);
    let agent = Agent::new(|_| Reply::Stall(Vec::new()));
    let since = Instant::now();
    let rig = Rig::tuned(stage, members.clone(), |config| {
        config["discovery"] = json!(agent.address.to_string());
        config["known"] = json!({"revision": 7, "complete": true, "members": members});
    });
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "ready after {:?}",
        since.elapsed()
    );
    assert_eq!(
        rig.api("known", "pick-confirm", "2.0", &[0, 1], "~1~")
            .status,
        200
    );
}

/// Guards against idle clients who take up every descriptor while discovery is down: the watch and a connection to a
/// data node that is new must be had at its return, and settings must be read at SIGHUP.
#[test]
fn idle_clients_leave_descriptors_for_the_watch_and_for_data_nodes() {
    for descriptors in [64, 256] {
        let stage = Stage::new(|_, _, _| Act::Serve);
        let servers = members(Wire::Platform, &stage);
        let rig = Rig::confined(stage.clone(), servers.clone(), descriptors);
        assert_eq!(
            rig.api("before", "pick-confirm", "2.0", &[0, 1], "~1~")
                .status,
            200
        );
        rig.discovery.hush(1_000);
        let fresh: Vec<Value> = members(Wire::Platform, &stage)
            .into_iter()
            .enumerate()
            .map(|(number, mut member)| {
                member["id"] = json!(format!("new-{number}"));
                member
            })
            .collect();
        rig.discovery.set_members(fresh);
        // They come faster than idle ones may be sent away, and most stay in the middle of a request.
        let mut clients = Vec::new();
        for number in 0..descriptors * 2 {
            let Ok(mut client) = std::net::TcpStream::connect(rig.platform) else {
                break;
            };
            if number % 3 > 0 {
                let _ = std::io::Write::write_all(&mut client, b"POST /api HTTP/1.1\r\nX-Req");
            }
            clients.push(client);
        }
        rig.reconfigure(|config| config["settings"]["classes"][0]["aimS"] = json!(0.9));
        rig.wait_for_line("class");
        rig.discovery.hush(0);
        let back = Instant::now();
        let mut name = 0;
        let mut status = || {
            name += 1;
            rig.api(
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
