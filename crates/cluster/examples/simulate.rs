//! Clusters of many members on a virtual clock: how soon they find each other, how soon a failure is detected, how many
//! members are declared failed though nothing happened, and what it costs. Prints a row of a table for each size and
//! loss.
//!
//!     cargo run --release -p cairnroad-cluster --example simulate -- 100 1000 --loss 0 0.05 0.2 --schedules 1000

#[path = "../tests/sim/mod.rs"]
mod sim;

use cairnroad_cluster::view::MemberState;
use sim::{Fault, Simulation};
use std::collections::BTreeSet;

/// Seconds that are watched for false failures.
const WATCHED: f64 = 120.0;
/// Members killed at once, to see when that is detected.
const KILLED: usize = 3;
/// Seconds in which all members have to find each other, and a failure has to be detected.
const TIME_LIMIT: f64 = 120.0;
/// Seconds until gossip about the start has ended, so that traffic is that of a quiet cluster.
const QUIET_AFTER: f64 = 20.0;
/// Seeds the simulations.
const SEED: u64 = 7;

/// What the command line asks for.
#[derive(Default)]
struct Arguments {
    sizes: Vec<usize>,
    losses: Vec<f64>,
    schedules: u64,
}

fn parse_arguments(words: impl Iterator<Item = String>) -> Arguments {
    let mut arguments = Arguments::default();
    let mut option = "sizes";
    for word in words {
        match (word.as_str(), option) {
            ("--loss", _) => option = "losses",
            ("--schedules", _) => option = "schedules",
            (number, "sizes") => arguments.sizes.extend(number.parse::<usize>()),
            (number, "losses") => arguments.losses.extend(number.parse::<f64>()),
            (number, _) => arguments.schedules = number.parse().unwrap_or(0),
        }
    }
    if arguments.losses.is_empty() {
        arguments.losses.push(0.0);
    }
    arguments
}

fn main() {
    let arguments = parse_arguments(std::env::args().skip(1));
    if arguments.sizes.is_empty() {
        eprintln!("usage: simulate SIZE ... [--loss SHARE ...] [--schedules COUNT]");
        std::process::exit(2);
    }
    println!("| members | loss | found, s | known: median, 99th, last, s | false failures a member-hour | bytes a member-second, quiet | datagrams |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut simulations = Vec::new();
    for &size in &arguments.sizes {
        for &loss in &arguments.losses {
            simulations.push(std::thread::spawn(move || table_row(size, loss)));
        }
    }
    for simulation in simulations {
        match simulation.join() {
            Ok(row) => println!("{row}"),
            Err(_) => std::process::exit(1),
        }
    }
    let schedules = arguments.schedules;
    if schedules > 0 {
        println!("{schedules} schedules of faults in a group of 12: run `SCHEDULES={schedules} cargo test --release -p cairnroad-cluster schedule`");
    }
}

fn table_row(size: usize, loss: f64) -> String {
    let mut sim = Simulation::new(size, SEED);
    let loss_fault = Fault::Loss {
        lost: loss,
        duplicated: 0.0,
    };
    sim.schedule_fault(0.0, loss_fault);
    let found = seconds_until_found(&mut sim);
    let found = found.map_or("never".to_string(), |seconds| format!("{seconds:.1}"));
    sim.run_until(sim.elapsed() + QUIET_AFTER);
    let quiet = watch_quiet(&mut sim);
    let delays = detection_delays(&mut sim);
    let delay =
        |share| quantile(&delays, share).map_or("-".to_string(), |secs| format!("{secs:.1}"));
    format!(
        "| {size} | {loss} | {found} | {}, {}, {} | {:.2} | {:.0} | {:.1} |",
        delay(0.5),
        delay(0.99),
        delay(1.0),
        quiet.false_failures_per_member_hour,
        quiet.bytes_per_member_second,
        quiet.datagrams_per_member_second
    )
}

/// Runs until all members see each other, looking every half second.
fn seconds_until_found(sim: &mut Simulation) -> Option<f64> {
    let half_seconds = 1..=(TIME_LIMIT * 2.0) as u32;
    half_seconds
        .map(|half| f64::from(half) / 2.0)
        .find(|seconds| {
            sim.run_until(*seconds);
            sim.running()
                .into_iter()
                .all(|observer| sim.live_members_seen_by(observer).len() == sim.size)
        })
}

/// What a cluster without faults other than loss does.
struct QuietCluster {
    false_failures_per_member_hour: f64,
    bytes_per_member_second: f64,
    datagrams_per_member_second: f64,
}

fn watch_quiet(sim: &mut Simulation) -> QuietCluster {
    let start = sim.elapsed();
    let bytes_before: u64 = sim.bytes_sent.iter().sum();
    let datagrams_before = sim.datagrams_sent;
    sim.run_until(start + WATCHED);
    let bytes = sim.bytes_sent.iter().sum::<u64>() - bytes_before;
    let datagrams = sim.datagrams_sent - datagrams_before;
    let failed: BTreeSet<usize> = sim
        .failures(start)
        .iter()
        .map(|change| change.member)
        .collect();
    let members = sim.size as f64;
    QuietCluster {
        false_failures_per_member_hour: failed.len() as f64 / (members * WATCHED / 3600.0),
        bytes_per_member_second: bytes as f64 / members / WATCHED,
        datagrams_per_member_second: datagrams as f64 / members / WATCHED,
    }
}

/// Kills some members and returns, sorted, after how many seconds each other member saw each of them fail.
fn detection_delays(sim: &mut Simulation) -> Vec<f64> {
    let killed: Vec<usize> = (0..KILLED)
        .map(|number| sim.size / 2 + number * 7 % sim.size / 3)
        .collect();
    let killed_at = sim.elapsed();
    for &member in &killed {
        sim.schedule_fault(killed_at, Fault::Kill(member));
    }
    sim.run_until(killed_at + TIME_LIMIT);
    let mut delays: Vec<f64> = sim
        .changes
        .iter()
        .filter(|change| change.at >= killed_at && change.state == MemberState::Failed)
        .filter(|change| killed.contains(&change.member))
        .map(|change| change.at - killed_at)
        .collect();
    delays.sort_by(f64::total_cmp);
    delays
}

fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(last)).copied()
}
