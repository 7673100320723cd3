//! The one clock of silence: news of the list that a broken watch misses, from a process's first moment on.

mod common;

use common::*;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Asks for both shards of the first cell's servers until a time has passed; when the last part reached server 0.
fn last_sent(rig: &Rig, since: Instant, until: Duration) -> Option<Duration> {
    let mut number = 0;
    while since.elapsed() < until {
        number += 1;
        let name = format!("n{}-{number}", since.elapsed().as_micros());
        rig.api(&name, "pick-confirm", "2.0", &[0, 2], "~1~");
        thread::sleep(Duration::from_millis(5));
    }
    let seen = rig.stage.seen.lock().unwrap();
    let at = seen
        .iter()
        .filter(|seen| seen.server == 0)
        .map(|seen| seen.at)
        .max();
    at.map(|at| at.saturating_duration_since(since))
}

/// Guards against silence on one connection after another that is waited out in full each time: what the agent has
/// counts as told 6 s after the watch fell silent, whether or not it arrived.
#[test]
fn a_watch_that_falls_silent_is_begun_anew_in_time() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    // The watch that is open, and the next two connections, are silent for good.
    rig.discovery.hush(2);
    let since = Instant::now();
    rig.discovery.set_phase(0, "leaving");
    let last = last_sent(&rig, since, Duration::from_millis(7_000))
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

/// Guards against an agent that is down for long: once it answers again, what it has is heard at once.
#[test]
fn after_an_outage_the_agent_is_soon_heard() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    rig.discovery.hush(1_000);
    rig.discovery.set_phase(0, "leaving");
    thread::sleep(Duration::from_secs(5));
    let since = Instant::now();
    // What is open stays silent; what is opened from now on is answered.
    rig.discovery.hush(0);
    let last = last_sent(&rig, since, Duration::from_millis(2_500));
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(2_000)),
        "sent to {last:?} after the outage"
    );
}

/// Guards against a new process that serves by the list of its last life though the agent has a newer one.
#[test]
fn what_the_agent_has_counts_from_a_process_s_first_moment() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    let known = json!({"revision": 1, "complete": true, "members": rig.discovery.members()});
    rig.reconfigure(|config| config["known"] = known);
    rig.wait_for_line("class");
    rig.discovery.set_phase(0, "left");
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    rig.stage.seen.lock().unwrap().clear();
    rig.restart();
    for number in 0..20 {
        assert_eq!(
            rig.api(&format!("f{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                .status,
            200
        );
    }
    let seen = rig.stage.seen.lock().unwrap();
    assert!(!seen.is_empty() && seen.iter().all(|seen| seen.server != 0));
}
