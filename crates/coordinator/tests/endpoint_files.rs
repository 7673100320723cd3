//! Endpoint lists from files: rewritten in various ways while the program serves requests, and restored from snapshots
//! after the process was killed.

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

/// Builds an endpoint file with these data nodes, all of which started long enough ago to be past their slow start.
fn roster(generation: u64, servers: &[(usize, SocketAddr)]) -> String {
    let entry = |(number, address): &(usize, SocketAddr)| {
        format!(
            "[[server]]\nid = \"s-{number}\"\naddress = \"{address}\"\ncell = {}\nstarted = 2026-01-01T00:00:00Z\n",
            number % CELLS as usize
        )
    };
    format!(
        "generation = {generation}\n{}# end\n",
        servers.iter().map(entry).collect::<String>()
    )
}

/// Returns a number of repetitions: `default`, unless an environment variable sets another one for a long run.
fn repetitions(variable: &str, default: usize) -> usize {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
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

/// Replaces a file's content in one of five ways, as operators and their tools do.
fn write(method: usize, path: &Path, text: &str) {
    let temporary = path.with_extension("tmp");
    match method % 5 {
        0 => {
            std::fs::write(&temporary, text).unwrap();
            std::fs::rename(&temporary, path).unwrap();
        }
        1 => std::fs::write(path, text).unwrap(),
        2 => {
            std::fs::remove_file(path).unwrap();
            std::fs::write(path, text).unwrap();
        }
        3 => {
            // The first half first, as when a file is copied over a slow network.
            let (first, second) = text.split_at(text.len() / 2);
            std::fs::write(path, first).unwrap();
            thread::sleep(Duration::from_millis(20));
            std::fs::write(path, [first, second].concat()).unwrap();
        }
        _ => {
            // An editor's swap file, then a symbolic link that replaces the file.
            std::fs::write(path.with_file_name(".servers.toml.swp"), "garbage").unwrap();
            let target = path.with_file_name(format!("target-{}", text.len() % 7));
            std::fs::write(&target, text).unwrap();
            let _ = std::fs::remove_file(&temporary);
            std::os::unix::fs::symlink(&target, &temporary).unwrap();
            std::fs::rename(&temporary, path).unwrap();
        }
    }
}

/// Makes an endpoint file's text invalid in one of six ways.
fn invalid_text(kind: usize, text: &str) -> String {
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

/// Sends requests of both classes one after another until `stop` is set, and counts the answers by status.
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

/// Guards against a query that is routed by two different lists, a removed data node that still gets parts, an invalid file
/// that changes the list, and requests that fail because of a change.
#[test]
fn files_rewritten_under_load_never_yield_a_mixed_list() {
    let rewrites = repetitions("CAIRNROAD_REWRITES", 36);
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Delay(15));
    let all: Vec<(usize, SocketAddr)> = (0..8)
        .map(|number| (number, start_frame_node(number, data_nodes.clone())))
        .collect();
    // The lists alternate between two fleets that have no data node in common.
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
    // The time of each change of the file, and the turn whose fleet it wrote.
    let mut switches: Vec<(Instant, usize)> = vec![(Instant::now(), 0)];
    let mut slowest = Duration::ZERO;
    for step in 0..rewrites {
        thread::sleep(Duration::from_millis(60));
        if step % 3 == 2 {
            write(
                step / 3,
                &path,
                &invalid_text(step / 3, &roster(generation + 1, fleet(turn + 1))),
            );
            continue;
        }
        (generation, turn) = (generation + 1, turn + 1);
        let begun = Instant::now();
        write(step, &path, &roster(generation, fleet(turn)));
        switches.push((Instant::now(), turn));
        // A long run rewrites the file faster than it waits for each log line.
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
    // Every request got one answer. A pick-confirm request may fail if its data node was removed while it ran.
    assert!(
        statuses
            .keys()
            .all(|status| [200, 429, 500, 503].contains(status)),
        "expected only the statuses 200, 429, 500 and 503, found {statuses:?}"
    );
    let served = statuses[&200] as f64 / statuses.values().sum::<usize>() as f64;
    assert!(
        served > 0.9,
        "expected over 90 % of the answers to have status 200, found {statuses:?}"
    );
    assert_one_list_per_query(&data_nodes, &switches, slowest);
    // No part of the class that may run at most once ran twice.
    let confirm_executions = data_nodes
        .execution_counts()
        .into_iter()
        .filter(|((marker, _), _)| ((marker - 1) % 1_000_000).is_multiple_of(3));
    assert!(confirm_executions.into_iter().all(|(_, runs)| runs == 1));
}

/// Asserts that each query was routed by a single list, and that no part reached a data node more than 250 ms after the list
/// without it was written. `switches` holds the time and turn of each change; `slowest` is the longest time until a
/// change was in force, and is only printed.
fn assert_one_list_per_query(
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
        // The list that was written last by 250 ms before this part was received, and all lists written since then. A
        // tolerance of 100 ms is added because a change is recorded after its write.
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
            "a part reached a server that the list had not contained for 250 ms: {part:?}"
        );
        if let Some((removed_at, _)) = switches
            .iter()
            .rev()
            .find(|(at, turn)| *at <= part.received_at && turn % 2 != part.server / 4)
        {
            let added_at = switches
                .iter()
                .rev()
                .find(|(at, turn)| *at <= part.received_at && turn % 2 == part.server / 4);
            if added_at.is_none_or(|(added_at, _)| added_at < removed_at) {
                latest = latest.max(part.received_at - *removed_at);
            }
        }
    }
    let mixed: Vec<_> = fleets
        .iter()
        .filter(|(_, fleets)| fleets.len() > 1)
        .collect();
    assert!(
        mixed.is_empty(),
        "queries that were routed by two lists, with the fleets of each: {mixed:?}"
    );
    assert!(
        fleets.len() > 100,
        "expected more than 100 queries, found {}",
        fleets.len()
    );
    println!(
        "{} queries, slowest change in force {slowest:?}, latest part to a removed server {latest:?}",
        fleets.len()
    );
}

/// Runs a command with the configuration files in a coordinator's folder.
fn run_cairnroad(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .args(args)
        .env("NODE_CONFIG", folder.join("config.json"))
        .env("CAIRNROAD_FILE", folder.join("own.toml"))
        .output()
        .unwrap()
}

/// Returns the standard output followed by the standard error.
fn combined_output(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Guards against a start without a list, or with a wrong one, after the process was killed at any moment of a change.
#[test]
fn after_a_kill_the_newest_or_previous_snapshot_is_restored() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let all: Vec<(usize, SocketAddr)> = (0..4)
        .map(|number| (number, start_frame_node(number, data_nodes.clone())))
        .collect();
    let mut coordinator = start(&data_nodes, &[("servers.d/servers.toml", &roster(1, &all))]);
    let path = coordinator.folder.join("servers.d/servers.toml");
    let mut newest = 1;
    for round in 0..repetitions("CAIRNROAD_KILLS", 12) as u64 {
        // The list changes faster than snapshots are stored, and the kill comes at a different moment in each round.
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
            &run_cairnroad(&coordinator.folder, &["roster", "show", "--json"]).stdout,
        )
        .unwrap();
        let stored = stored["roster"]["generation"].as_u64().unwrap();
        assert!(
            stored <= newest && stored + 4 >= written,
            "round {round}: expected a stored generation from {written} - 4 to {newest}, found {stored}"
        );
        // With an invalid file, the program starts with the stored list and logs its generation.
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

/// Guards against a start with a corrupt snapshot instead of the previous one.
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

/// Checks the `roster` commands in the order in which operators use them for a planned change.
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
    let run = |args: &[&str], code: i32, expected_text: &str| {
        let output = run_cairnroad(&coordinator.folder, args);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{args:?}: {}",
            combined_output(&output)
        );
        assert!(
            combined_output(&output).contains(expected_text),
            "{args:?}: expected the output to contain {expected_text:?}, found {}",
            combined_output(&output)
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
    let grown = file("storm.toml", &roster(1, &all));
    run(
        &["roster", "diff", &grown],
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
    run(&["roster", "apply", &grown], 0, "generation 2 written to");
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
    let effective = run_cairnroad(&coordinator.folder, &["check-config", "--json"]);
    let effective: Value = serde_json::from_slice(&effective.stdout).unwrap();
    assert_eq!(effective["effective"]["discovery"], json!(null));
    // Without the folder of endpoint files, the list stays in force.
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

/// Time after which a change of the files has to be in force: the grace of removals, and the slack of the rules on sockets.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(300);

/// A layout of links to a list, as tools that lay out configuration leave it.
#[derive(Clone, Copy, Debug)]
enum Links {
    /// The path is a link to a file in another folder, which is replaced there.
    File,
    /// The path leads through a link to a folder; the link is turned to a new folder with each list.
    TurnedFolder,
    /// The path is a folder with a link to a file in another folder.
    FileOfFolder,
    /// The path is a link to a link to a folder, in which the file is overwritten.
    ChainToFolder,
}

impl Links {
    /// Lays the list out below `root`. Returns the path in the settings.
    fn create(self, root: &Path, text: &str) -> std::path::PathBuf {
        use std::os::unix::fs::symlink;
        for folder in ["config", "files", "versions/0"] {
            std::fs::create_dir_all(root.join(folder)).unwrap();
        }
        std::fs::write(root.join("files/servers.toml"), text).unwrap();
        std::fs::write(root.join("versions/0/servers.toml"), text).unwrap();
        let config = root.join("config");
        match self {
            Links::File => symlink("../files/servers.toml", config.join("list.toml")).unwrap(),
            Links::TurnedFolder => {
                symlink("../versions/0", config.join("current")).unwrap();
                symlink("current/servers.toml", config.join("list.toml")).unwrap();
            }
            Links::FileOfFolder => {
                std::fs::create_dir(config.join("list.toml")).unwrap();
                symlink("../../files/servers.toml", config.join("list.toml/a.toml")).unwrap();
            }
            Links::ChainToFolder => {
                symlink("../files", config.join("current")).unwrap();
                symlink("current", config.join("list.toml")).unwrap();
            }
        }
        config.join("list.toml")
    }

    /// Replaces the list as this layout's tool does.
    fn change(self, root: &Path, step: usize, text: &str) {
        let target = root.join("files/servers.toml");
        match self {
            Links::File | Links::FileOfFolder => write(0, &target, text),
            Links::ChainToFolder => write(1, &target, text),
            Links::TurnedFolder => {
                let version = format!("versions/{step}");
                std::fs::create_dir(root.join(&version)).unwrap();
                std::fs::write(root.join(&version).join("servers.toml"), text).unwrap();
                let next = root.join("config/next");
                std::os::unix::fs::symlink(format!("../{version}"), &next).unwrap();
                std::fs::rename(&next, root.join("config/current")).unwrap();
            }
        }
    }
}

/// Guards against a change behind a symbolic link that only the regular rescan finds, up to a second later.
#[test]
fn a_change_behind_links_is_in_force_as_fast_as_one_in_place() {
    for links in [
        Links::File,
        Links::TurnedFolder,
        Links::FileOfFolder,
        Links::ChainToFolder,
    ] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
        let servers: Vec<(usize, SocketAddr)> = (0..5)
            .map(|number| (number, start_frame_node(number, data_nodes.clone())))
            .collect();
        let root = std::env::temp_dir().join(format!("cairnroad-links-{}", std::process::id()));
        let path = links.create(&root, &roster(1, &servers));
        let sections = format!(
            "[membership]\nsource = \"files\"\npath = \"{}\"\n",
            path.display()
        );
        let coordinator = TestCoordinator::start_with_files(
            WireFormat::Platform,
            data_nodes,
            (1000, 1024),
            Vec::new(),
            &sections,
            &[],
        );
        for step in 1..=6 {
            // Changes at different times of the rescan's interval.
            thread::sleep(Duration::from_millis(330));
            let generation = step as u64 + 1;
            links.change(&root, step, &roster(generation, &servers[step % 2..]));
            let changed_at = Instant::now();
            coordinator
                .wait_for_log_line(&format!("endpoint list in force generation={generation}"));
            let took = changed_at.elapsed();
            assert!(took < IN_FORCE_WITHIN, "{links:?}, change {step}: {took:?}");
        }
        drop(coordinator);
        std::fs::remove_dir_all(&root).unwrap();
    }
}

/// Guards against a list that comes into force while it is being written over the old one, and then bars the finished list:
/// with the generation of the new list, or with digits of both generations.
#[test]
fn a_list_that_is_overwritten_in_place_is_in_force_once_it_is_finished() {
    let generation_digit = "generation = 2".len();
    for (cut, pause) in [
        (Cut::Middle, 20),
        (Cut::Middle, 400),
        (Cut::Middle, 1_500),
        (Cut::At(generation_digit), 40),
        (Cut::At(generation_digit), 400),
        (Cut::BeforeEnd(12), 400),
        (Cut::Pieces(10), 30),
    ] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
        let servers: Vec<(usize, SocketAddr)> = (0..6)
            .map(|number| (number, start_frame_node(number, data_nodes.clone())))
            .collect();
        let old = roster(19, &[servers[0], servers[1], servers[2], servers[3]]);
        let new = roster(20, &[servers[4], servers[1], servers[2], servers[5]]);
        assert_eq!(old.len(), new.len());
        let coordinator = start(&data_nodes, &[("servers.d/servers.toml", &old)]);
        coordinator.wait_for_log_line("endpoint list in force generation=19");
        let path = coordinator.folder.join("servers.d/servers.toml");
        overwrite(&path, new.as_bytes(), cut, Duration::from_millis(pause));
        thread::sleep(IN_FORCE_WITHIN);
        data_nodes.received.lock().unwrap().clear();
        for number in 0..24 {
            let id = format!("after{number}");
            let answer =
                coordinator.post_api(&id, "stock-search", "2.0", &[number % SHARDS], "~1~");
            assert_eq!(answer.status, 200, "{cut:?}, {pause} ms");
        }
        let received = data_nodes.received.lock().unwrap();
        let used: BTreeSet<usize> = received.iter().map(|part| part.server).collect();
        let removed: Vec<&usize> = used
            .iter()
            .filter(|&&server| server == 0 || server == 3)
            .collect();
        assert!(
            removed.is_empty(),
            "{cut:?}, {pause} ms: parts at removed servers {removed:?}"
        );
    }
}

/// Where a writer pauses.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Middle,
    At(usize),
    /// This many bytes before the end.
    BeforeEnd(usize),
    /// After each of so many pieces.
    Pieces(usize),
}

/// Writes a text over a file of the same length, without truncating it.
fn overwrite(path: &Path, text: &[u8], cut: Cut, pause: Duration) {
    use std::io::Write;
    let piece = match cut {
        Cut::Middle => text.len() / 2,
        Cut::At(offset) => offset,
        Cut::BeforeEnd(bytes) => text.len() - bytes,
        Cut::Pieces(pieces) => text.len().div_ceil(pieces),
    };
    let mut file = std::fs::OpenOptions::new().write(true).open(path).unwrap();
    let (mut first, mut rest) = text.split_at(piece);
    loop {
        file.write_all(first).unwrap();
        if rest.is_empty() {
            return;
        }
        thread::sleep(pause);
        let length = match cut {
            Cut::Pieces(_) => piece.min(rest.len()),
            _ => rest.len(),
        };
        (first, rest) = rest.split_at(length);
    }
}
