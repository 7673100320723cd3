//! Endpoint lists from files: rewritten in every way while the program serves, and restored after a kill.

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

const FILE_SOURCE: &str =
    "[membership]\nsource = \"files\"\npath = \"servers.d\"\nstate = \"state\"\n";

/// A roster file with these data nodes, past their slow start.
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

/// A repetition count: lower in CI than in a long run, which a variable asks for.
fn times(variable: &str, usual: usize) -> usize {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

fn start(data_nodes: &Arc<DataNodes>, files: &[(&str, &str)]) -> TestCoordinator {
    let files: Vec<(&str, &str)> = files.iter().copied().chain([("state/.keep", "")]).collect();
    TestCoordinator::start_with_files(
        WireFormat::Platform,
        data_nodes.clone(),
        (1000, 1024),
        Vec::new(),
        FILE_SOURCE,
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

/// Invalid texts, which must leave the list in force.
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

/// Sends requests of both classes one after another; counts the statuses of the answers.
fn send_until_stopped(
    coordinator: &TestCoordinator,
    client: u64,
    stop: &AtomicBool,
) -> BTreeMap<u16, usize> {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let marker = 1 + client * 1_000_000 + turn;
        let (class, shards) = match turn % 3 {
            0 => ("pick-confirm", vec![1, 2]),
            _ => ("stock-search", (0..8).collect::<Vec<u32>>()),
        };
        let answer = coordinator.post_api(
            &format!("m{marker}"),
            class,
            "2.0",
            &shards,
            &format!("~{marker}~"),
        );
        *statuses.entry(answer.status).or_default() += 1;
        thread::sleep(Duration::from_millis(5));
    }
    statuses
}

/// Guards against a query that is routed by two lists, a removed data node that still gets parts, an invalid file that
/// removes anything, and a change that fails a query.
#[test]
fn files_rewritten_under_load_never_yield_a_mixed_list() {
    let rewrites = times("CAIRNROAD_REWRITES", 36);
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Delay(15));
    let all: Vec<(usize, SocketAddr)> = (0..8)
        .map(|number| (number, start_frame_node(number, data_nodes.clone())))
        .collect();
    // Lists take turns between two fleets that have no data node in common.
    let fleet = |turn: usize| {
        if turn.is_multiple_of(2) {
            &all[..4]
        } else {
            &all[4..]
        }
    };
    let coordinator = Arc::new(start(
        &data_nodes,
        &[("servers.d/servers.toml", &roster(1, fleet(0)))],
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let client = |number: u64| {
        let coordinator = coordinator.clone();
        let stop = stop.clone();
        thread::spawn(move || send_until_stopped(&coordinator, number, &stop))
    };
    let clients: Vec<_> = (0..4).map(client).collect();
    let path = coordinator.folder.join("servers.d/servers.toml");
    let mut generation = 1;
    let mut turn = 0;
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
            true => coordinator
                .wait_for_log_line(&format!("endpoint list in force generation={generation} ")),
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
    // Every request got one answer; a confirm whose data node was removed while it ran may have failed.
    assert!(
        statuses
            .keys()
            .all(|status| [200, 429, 500, 503].contains(status)),
        "{statuses:?}"
    );
    let served = statuses[&200] as f64 / statuses.values().sum::<usize>() as f64;
    assert!(served > 0.9, "{statuses:?}");
    assert_one_list_a_query(&data_nodes, &switches, slowest);
    // No part of a class that may not run twice did.
    let confirms = data_nodes
        .execution_counts()
        .into_iter()
        .filter(|((marker, _), _)| ((marker - 1) % 1_000_000).is_multiple_of(3));
    assert!(confirms.into_iter().all(|(_, runs)| runs == 1));
}

/// Checks that each query was routed by one list, and that no part reached a data node long after its removal.
/// `switches` says when which fleet was written to the list, `slowest` how long a change took at most.
fn assert_one_list_a_query(
    data_nodes: &DataNodes,
    switches: &[(Instant, usize)],
    slowest: Duration,
) {
    let seen = data_nodes.received.lock().unwrap();
    let mut fleets: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    let mut latest = Duration::ZERO;
    for part in seen.iter() {
        fleets
            .entry(marker(&part.query))
            .or_default()
            .insert(part.server / 4);
        // The list in force a quarter of a second before this part came, and those since.
        let allowed: BTreeSet<usize> = {
            let since = switches
                .iter()
                .rposition(|(at, _)| *at + Duration::from_millis(250) <= part.received_at)
                .unwrap_or(0);
            switches[since..]
                .iter()
                .filter(|(at, _)| *at <= part.received_at + Duration::from_millis(100))
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
            .find(|(at, turn)| *at <= part.received_at && turn % 2 != part.server / 4)
        {
            let back = switches
                .iter()
                .rev()
                .find(|(at, turn)| *at <= part.received_at && turn % 2 == part.server / 4);
            if back.is_none_or(|(back, _)| back < gone) {
                latest = latest.max(part.received_at - *gone);
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
}

fn cairnroad(coordinator: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .args(args)
        .env("NODE_CONFIG", coordinator.join("config.json"))
        .env("CAIRNROAD_FILE", coordinator.join("own.toml"))
        .output()
        .unwrap()
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Guards against a start without a list, or with an unintended one, after a kill at any moment.
#[test]
fn after_a_kill_the_newest_or_previous_snapshot_is_restored() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..4)
        .map(|number| (number, start_frame_node(number, data_nodes.clone())))
        .collect();
    let mut coordinator = start(&data_nodes, &[("servers.d/servers.toml", &roster(1, &all))]);
    let path = coordinator.folder.join("servers.d/servers.toml");
    let mut newest = 1;
    for round in 0..times("CAIRNROAD_KILLS", 12) as u64 {
        // Lists change faster than they are stored; the kill comes at some moment of that.
        let kill_at = Instant::now() + Duration::from_millis(40 + (round * 7919) % 160);
        let mut written = newest;
        while Instant::now() < kill_at {
            newest += 1;
            write(0, &path, &roster(newest, &all));
            thread::sleep(Duration::from_millis(35 + round % 3 * 10));
            written = newest;
        }
        coordinator.child.kill().unwrap();
        coordinator.child.wait().unwrap();
        let stored: Value = serde_json::from_slice(
            &cairnroad(&coordinator.folder, &["roster", "show", "--json"]).stdout,
        )
        .unwrap();
        let stored = stored["roster"]["generation"].as_u64().unwrap();
        assert!(
            stored <= newest && stored + 4 >= written,
            "round {round}: generation {stored} of {newest}"
        );
        // With invalid files the program starts on what was stored, and logs it.
        std::fs::write(&path, "generation = ").unwrap();
        coordinator.restart();
        coordinator.wait_for_log_line(&format!("stored list in force generation={stored} "));
        let answer =
            coordinator.post_api(&format!("k{round}"), "stock-search", "2.0", &[1, 2], "~1~");
        assert_eq!(answer.status, 200, "{}", answer.json);
        newest = newest.max(stored) + 1;
        write(0, &path, &roster(newest, &all));
        coordinator.wait_for_log_line(&format!("endpoint list in force generation={newest} "));
    }
}

/// Guards against a start on a torn or corrupt snapshot instead of the one before it.
#[test]
fn a_corrupt_snapshot_is_skipped() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..4)
        .map(|number| (number, start_frame_node(number, data_nodes.clone())))
        .collect();
    let mut coordinator = start(&data_nodes, &[("servers.d/servers.toml", &roster(1, &all))]);
    let path = coordinator.folder.join("servers.d/servers.toml");
    write(0, &path, &roster(2, &all));
    coordinator.wait_for_log_line("endpoint list in force generation=2 ");
    coordinator.child.kill().unwrap();
    coordinator.child.wait().unwrap();
    let slot = coordinator.folder.join("state/roster.b");
    let mut bytes = std::fs::read(&slot).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&slot, bytes).unwrap();
    std::fs::write(&path, "").unwrap();
    coordinator.restart();
    coordinator.wait_for_log_line("roster.b: checksum mismatch");
    coordinator.wait_for_log_line("stored list in force generation=1 ");
    assert_eq!(
        coordinator
            .post_api("d-1", "stock-search", "2.0", &[1], "~1~")
            .status,
        200
    );
}

/// The roster commands as operators use them before a planned change.
#[test]
fn roster_commands_check_compare_and_apply() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..6)
        .map(|number| (number, start_frame_node(number, data_nodes.clone())))
        .collect();
    let coordinator = start(
        &data_nodes,
        &[
            ("servers.d/kita.toml", &roster(1, &all[..2])),
            ("servers.d/minami.toml", &roster(1, &all[2..4])),
        ],
    );
    coordinator.wait_for_log_line("endpoint list in force generation=1 ");
    let run = |args: &[&str], code: i32, words: &str| {
        let output = cairnroad(&coordinator.folder, args);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{args:?}: {}",
            printed(&output)
        );
        assert!(
            printed(&output).contains(words),
            "{args:?}: {}",
            printed(&output)
        );
    };
    let file = |name: &str, text: &str| {
        std::fs::write(coordinator.folder.join(name), text).unwrap();
        coordinator.folder.join(name).to_str().unwrap().to_string()
    };
    run(
        &["roster", "check"],
        0,
        "valid: generation 1, 4 servers, 4 of them active",
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
        "nothing was written: 2 of 4 active servers would be removed at once, over the permitted share of 0.34",
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
    coordinator.wait_for_log_line("endpoint list in force generation=2 added=2 removed=0");
    run(&["roster", "show"], 0, "generation = 2");
    run(
        &["roster", "apply", &small, "--allow-shrink"],
        0,
        "remove: s-2, s-3, s-4, s-5",
    );
    coordinator.wait_for_log_line("endpoint list in force generation=3 added=0 removed=4");
    assert_eq!(
        coordinator
            .post_api("s-1", "stock-search", "2.0", &[1, 2], "~1~")
            .status,
        200
    );
    let effective = cairnroad(&coordinator.folder, &["check-config", "--json"]);
    let effective: Value = serde_json::from_slice(&effective.stdout).unwrap();
    assert_eq!(effective["effective"]["discovery"], json!(null));
    // A removed folder leaves the list in force.
    std::fs::rename(
        coordinator.folder.join("servers.d"),
        coordinator.folder.join("elsewhere"),
    )
    .unwrap();
    coordinator.wait_for_log_line("endpoint files rejected");
    assert_eq!(
        coordinator
            .post_api("s-2", "stock-search", "2.0", &[1, 2], "~2~")
            .status,
        200
    );
}
