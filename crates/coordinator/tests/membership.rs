//! The list of servers in files, rewritten in every way while the program serves, and found again after a kill.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const OWN: &str = "[membership]\nsource = \"files\"\npath = \"servers.d\"\nstate = \"state\"\n";

/// A roster's text: the servers of these numbers, warm.
fn roster(generation: u64, servers: &[(usize, SocketAddr)]) -> String {
    let one = |(number, address): &(usize, SocketAddr)| {
        format!(
            "[[server]]\nid = \"s-{number}\"\naddress = \"{address}\"\ncell = {}\nstarted = 2026-01-01T00:00:00Z\n",
            number % CELLS as usize
        )
    };
    format!(
        "generation = {generation}\n{}# end\n",
        servers.iter().map(one).collect::<String>()
    )
}

/// How often something is done: less in CI than in a long run that a variable asks for.
fn times(variable: &str, usual: usize) -> usize {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

fn start(stage: &Arc<Stage>, files: &[(&str, &str)]) -> Rig {
    let files: Vec<(&str, &str)> = files.iter().copied().chain([("state/.keep", "")]).collect();
    Rig::start_own(
        Wire::Platform,
        stage.clone(),
        (1000, 1024),
        Vec::new(),
        OWN,
        &files,
    )
}

/// Ways in which a file comes to hold a new text.
fn write(way: usize, path: &Path, text: &str) {
    let beside = path.with_extension("tmp");
    match way % 5 {
        0 => {
            std::fs::write(&beside, text).unwrap();
            std::fs::rename(&beside, path).unwrap();
        }
        1 => std::fs::write(path, text).unwrap(),
        2 => {
            std::fs::remove_file(path).unwrap();
            std::fs::write(path, text).unwrap();
        }
        3 => {
            // In two halves, as over a slow link.
            let (first, second) = text.split_at(text.len() / 2);
            std::fs::write(path, first).unwrap();
            thread::sleep(Duration::from_millis(20));
            std::fs::write(path, [first, second].concat()).unwrap();
        }
        _ => {
            // An editor's copy first, then the file by its link.
            std::fs::write(path.with_file_name(".servers.toml.swp"), "garbage").unwrap();
            let target = path.with_file_name(format!("target-{}", text.len() % 7));
            std::fs::write(&target, text).unwrap();
            let _ = std::fs::remove_file(&beside);
            std::os::unix::fs::symlink(&target, &beside).unwrap();
            std::fs::rename(&beside, path).unwrap();
        }
    }
}

/// Texts that must leave the old list in force.
fn broken(kind: usize, text: &str) -> String {
    match kind % 6 {
        0 => text[..text.len() - 8].to_string(),
        1 => text.replace("s-1\"", "s-0\""),
        2 => text
            .replace("cell = 0", "cell = 0\nweight = 0")
            .replace("cell = 1", "cell = 1\nweight = 0"),
        3 => text.replace("cell = 1", "cell = 9"),
        4 => text.replace("generation = ", "generation = -"),
        _ => String::new(),
    }
}

/// Guards against a query that sees two lists, a removed server that goes on getting work, a broken file that takes
/// anything away, and a change that costs a query its answer.
#[test]
fn files_rewritten_in_every_way_under_load_never_make_a_mixed_list() {
    let rewrites = times("CAIRNROAD_REWRITES", 36);
    let stage = Stage::new(|_, _, _| Act::Late(15));
    let all: Vec<(usize, SocketAddr)> = (0..8)
        .map(|number| (number, frame_server(number, stage.clone())))
        .collect();
    // Lists take turns between two fleets that have no server in common.
    let fleet = |turn: usize| {
        if turn.is_multiple_of(2) {
            &all[..4]
        } else {
            &all[4..]
        }
    };
    let rig = Arc::new(start(
        &stage,
        &[("servers.d/servers.toml", &roster(1, fleet(0)))],
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let client = |number: u64| {
        let (rig, stop) = (rig.clone(), stop.clone());
        thread::spawn(move || {
            let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
            for turn in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let marker = 1 + number * 1_000_000 + turn;
                let (class, shards) = match turn % 3 {
                    0 => ("pick-confirm", vec![1, 2]),
                    _ => ("stock-search", (0..8).collect::<Vec<u32>>()),
                };
                let told = rig.api(
                    &format!("m{marker}"),
                    class,
                    "2.0",
                    &shards,
                    &format!("~{marker}~"),
                );
                *statuses.entry(told.status).or_default() += 1;
                thread::sleep(Duration::from_millis(5));
            }
            statuses
        })
    };
    let clients: Vec<_> = (0..4).map(client).collect();
    let path = rig.folder.join("servers.d/servers.toml");
    let (mut generation, mut turn) = (1, 0);
    // When each fleet was written out of the list, and in again.
    let mut switches: Vec<(Instant, usize)> = vec![(Instant::now(), 0)];
    let mut slowest = Duration::ZERO;
    for step in 0..rewrites {
        thread::sleep(Duration::from_millis(60));
        if step % 3 == 2 {
            write(
                step / 3,
                &path,
                &broken(step / 3, &roster(generation + 1, fleet(turn + 1))),
            );
            continue;
        }
        (generation, turn) = (generation + 1, turn + 1);
        let begun = Instant::now();
        write(step, &path, &roster(generation, fleet(turn)));
        switches.push((Instant::now(), turn));
        // A long run writes faster than the log tells.
        match rewrites <= 36 {
            true => rig.wait_for_line(&format!("endpoint list in force generation={generation} ")),
            false => thread::sleep(Duration::from_millis(60)),
        }
        slowest = slowest.max(begun.elapsed());
    }
    thread::sleep(Duration::from_millis(400));
    stop.store(true, Ordering::Relaxed);
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for client in clients {
        client
            .join()
            .unwrap()
            .into_iter()
            .for_each(|(status, count)| *statuses.entry(status).or_default() += count);
    }
    // Every call came back with one answer; a confirm whose server left with it under way may have failed.
    assert!(
        statuses
            .keys()
            .all(|status| [200, 429, 500, 503].contains(status)),
        "{statuses:?}"
    );
    let served = statuses[&200] as f64 / statuses.values().sum::<usize>() as f64;
    assert!(served > 0.9, "{statuses:?}");
    let seen = stage.seen.lock().unwrap();
    let mut fleets: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    let mut latest = Duration::ZERO;
    for part in seen.iter() {
        fleets
            .entry(marker(&part.text))
            .or_default()
            .insert(part.server / 4);
        // The list in force a quarter of a second before this part came, and those since.
        let allowed: BTreeSet<usize> = {
            let since = switches
                .iter()
                .rposition(|(at, _)| *at + Duration::from_millis(250) <= part.at)
                .unwrap_or(0);
            switches[since..]
                .iter()
                .filter(|(at, _)| *at <= part.at + Duration::from_millis(100))
                .map(|(_, turn)| turn % 2)
                .collect()
        };
        assert!(
            allowed.contains(&(part.server / 4)),
            "a part reached a server {part:?} that left the list long before"
        );
        if let Some((gone, _)) = switches
            .iter()
            .rev()
            .find(|(at, turn)| *at <= part.at && turn % 2 != part.server / 4)
        {
            let back = switches
                .iter()
                .rev()
                .find(|(at, turn)| *at <= part.at && turn % 2 == part.server / 4);
            if back.is_none_or(|(back, _)| back < gone) {
                latest = latest.max(part.at - *gone);
            }
        }
    }
    let mixed: Vec<_> = fleets
        .iter()
        .filter(|(_, fleets)| fleets.len() > 1)
        .collect();
    assert!(mixed.is_empty(), "queries that saw two lists: {mixed:?}");
    assert!(fleets.len() > 100, "{}", fleets.len());
    println!(
        "{} queries, slowest change in force {slowest:?}, latest part to a removed server {latest:?}",
        fleets.len()
    );
    drop(seen);
    // No part of a class that may not run twice did.
    let confirms = stage
        .runs()
        .into_iter()
        .filter(|((marker, _), _)| ((marker - 1) % 1_000_000).is_multiple_of(3));
    assert!(confirms.into_iter().all(|(_, runs)| runs == 1));
}

fn cairnroad(rig: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .args(args)
        .env("NODE_CONFIG", rig.join("config.json"))
        .env("CAIRNROAD_FILE", rig.join("own.toml"))
        .output()
        .unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Guards against a start without a list, or on one that nobody meant, after a kill at any moment.
#[test]
fn after_a_kill_at_any_moment_the_newest_or_the_one_before_it_is_found() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..4)
        .map(|number| (number, frame_server(number, stage.clone())))
        .collect();
    let mut rig = start(&stage, &[("servers.d/servers.toml", &roster(1, &all))]);
    let path = rig.folder.join("servers.d/servers.toml");
    let mut newest = 1;
    for round in 0..times("CAIRNROAD_KILLS", 12) as u64 {
        // Lists change faster than they are kept; the kill comes at some moment of that.
        let kill_at = Instant::now() + Duration::from_millis(40 + (round * 7919) % 160);
        let mut told = newest;
        while Instant::now() < kill_at {
            newest += 1;
            write(0, &path, &roster(newest, &all));
            thread::sleep(Duration::from_millis(35 + round % 3 * 10));
            told = newest;
        }
        rig.child.kill().unwrap();
        rig.child.wait().unwrap();
        let kept: Value =
            serde_json::from_slice(&cairnroad(&rig.folder, &["roster", "show", "--json"]).stdout)
                .unwrap();
        let kept = kept["roster"]["generation"].as_u64().unwrap();
        assert!(
            kept <= newest && kept + 4 >= told,
            "round {round}: generation {kept} of {newest}"
        );
        // With broken files the program starts on what was kept, and says so.
        std::fs::write(&path, "generation = ").unwrap();
        rig.restart();
        rig.wait_for_line(&format!("stored list in force generation={kept} "));
        let told = rig.api(&format!("k{round}"), "stock-search", "2.0", &[1, 2], "~1~");
        assert_eq!(told.status, 200, "{}", told.json);
        newest = newest.max(kept) + 1;
        write(0, &path, &roster(newest, &all));
        rig.wait_for_line(&format!("endpoint list in force generation={newest} "));
    }
}

/// What was a torn or damaged list is passed over for the one before it.
#[test]
fn a_damaged_kept_list_is_passed_over() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..4)
        .map(|number| (number, frame_server(number, stage.clone())))
        .collect();
    let mut rig = start(&stage, &[("servers.d/servers.toml", &roster(1, &all))]);
    let path = rig.folder.join("servers.d/servers.toml");
    write(0, &path, &roster(2, &all));
    rig.wait_for_line("endpoint list in force generation=2 ");
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    let slot = rig.folder.join("state/roster.b");
    let mut bytes = std::fs::read(&slot).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&slot, bytes).unwrap();
    std::fs::write(&path, "").unwrap();
    rig.restart();
    rig.wait_for_line("roster.b: its checksum is wrong");
    rig.wait_for_line("stored list in force generation=1 ");
    assert_eq!(
        rig.api("d-1", "stock-search", "2.0", &[1], "~1~").status,
        200
    );
}

/// The commands as staff use them before a storm.
#[test]
fn staff_check_compare_and_apply_a_roster() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..6)
        .map(|number| (number, frame_server(number, stage.clone())))
        .collect();
    let rig = start(
        &stage,
        &[
            ("servers.d/kita.toml", &roster(1, &all[..2])),
            ("servers.d/minami.toml", &roster(1, &all[2..4])),
        ],
    );
    rig.wait_for_line("endpoint list in force generation=1 ");
    let run = |args: &[&str], code: i32, words: &str| {
        let told = cairnroad(&rig.folder, args);
        assert_eq!(told.status.code(), Some(code), "{args:?}: {}", said(&told));
        assert!(said(&told).contains(words), "{args:?}: {}", said(&told));
    };
    let file = |name: &str, text: &str| {
        std::fs::write(rig.folder.join(name), text).unwrap();
        rig.folder.join(name).to_str().unwrap().to_string()
    };
    run(
        &["roster", "check"],
        0,
        "sound: generation 1, 4 servers, 4 of them active",
    );
    let storm = file("storm.toml", &roster(1, &all));
    run(
        &["roster", "diff", &storm],
        0,
        "add: s-4, s-5\ncell 0: 33 % of its turns go to other servers\n",
    );
    let small = file("small.toml", &roster(1, &all[..2]));
    run(
        &["roster", "apply", &small],
        1,
        "nothing was written: 2 of 4 working servers would leave at once, over the share of 0.34",
    );
    run(
        &[
            "roster",
            "check",
            &file("bad.toml", "generation = 3\n[[server]]\nid = \"x\"\n"),
        ],
        1,
        "bad.toml:2: 'address' of 'x' is missing",
    );
    run(
        &["roster", "apply", "nowhere.toml"],
        2,
        "nowhere.toml: No such file",
    );
    run(&["roster", "apply", &storm], 0, "generation 2 written to");
    rig.wait_for_line("endpoint list in force generation=2 added=2 removed=0");
    run(&["roster", "show"], 0, "generation = 2");
    run(
        &["roster", "apply", &small, "--allow-shrink"],
        0,
        "remove: s-2, s-3, s-4, s-5",
    );
    rig.wait_for_line("endpoint list in force generation=3 added=0 removed=4");
    assert_eq!(
        rig.api("s-1", "stock-search", "2.0", &[1, 2], "~1~").status,
        200
    );
    let effective = cairnroad(&rig.folder, &["check-config", "--json"]);
    let effective: Value = serde_json::from_slice(&effective.stdout).unwrap();
    assert_eq!(effective["effective"]["discovery"], json!(null));
    // A folder that vanishes leaves the list in force.
    std::fs::rename(rig.folder.join("servers.d"), rig.folder.join("elsewhere")).unwrap();
    rig.wait_for_line("endpoint files rejected");
    assert_eq!(
        rig.api("s-2", "stock-search", "2.0", &[1, 2], "~2~").status,
        200
    );
}
