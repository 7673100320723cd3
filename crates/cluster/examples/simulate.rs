//! Simulates clusters of given sizes on a virtual clock. Measures the time until all members have discovered each
//! other, the time until a failure is detected, the rate of members that are falsely declared failed, and the traffic.
//! Prints a table with one row per size and datagram loss.
//!
//!     cargo run --release -p cairnroad-cluster --example simulate -- 100 1000 --loss 0 0.05 0.2 --schedules 1000

#[path = "../tests/sim/mod.rs"]
mod sim;

use cairnroad_cluster::view::MemberState;
use sim::{Fault, Simulation};
use std::collections::BTreeSet;

/// Duration of the observation of false failures and traffic, in seconds.
const OBSERVATION_TIME: f64 = 120.0;
/// Number of members killed at once to measure failure detection.
const KILLED_COUNT: usize = 3;
/// Time limit in seconds for discovery, and for the detection of failures.
const TIME_LIMIT: f64 = 120.0;
/// Time in seconds after discovery until gossip about the start has ended, so that the traffic is that of an idle
/// cluster.
const IDLE_DELAY: f64 = 20.0;
/// Seed of the simulations' random numbers.
const RANDOM_SEED: u64 = 7;

/// The parsed command line.
#[derive(Default)]
struct Arguments {
    sizes: Vec<usize>,
    losses: Vec<f64>,
    schedules: u64,
}

fn parse_arguments(values: impl Iterator<Item = String>) -> Arguments {
    let mut arguments = Arguments::default();
    let mut option = "sizes";
    for value in values {
        match (value.as_str(), option) {
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
    println!("| members | loss | discovery, s | detection: median, 99th percentile, maximum, s | false failures per member-hour | bytes per member-second, idle | datagrams per member-second, idle |");
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
        println!("to run {schedules} random schedules of faults in a group of 12: `SCHEDULES={schedules} cargo test --release -p cairnroad-cluster schedule`");
    }
}

fn table_row(size: usize, loss: f64) -> String {
    let mut sim = Simulation::new(size, RANDOM_SEED);
    let loss_fault = Fault::Loss {
        lost: loss,
        duplicated: 0.0,
    };
    sim.schedule_fault(0.0, loss_fault);
    let discovery = seconds_until_discovered(&mut sim);
    let discovery = discovery.map_or("never".to_string(), |seconds| format!("{seconds:.1}"));
    sim.run_until(sim.elapsed() + IDLE_DELAY);
    let idle = observe_idle_cluster(&mut sim);
    let delays = detection_delays(&mut sim);
    let delay =
        |share| quantile(&delays, share).map_or("-".to_string(), |secs| format!("{secs:.1}"));
    format!(
        "| {size} | {loss} | {discovery} | {}, {}, {} | {:.2} | {:.0} | {:.1} |",
        delay(0.5),
        delay(0.99),
        delay(1.0),
        idle.false_failures_per_member_hour,
        idle.bytes_per_member_second,
        idle.datagrams_per_member_second
    )
}

/// Runs until all members see each other, checked every half second, and returns the time that this took; `None` after
/// [`TIME_LIMIT`].
fn seconds_until_discovered(sim: &mut Simulation) -> Option<f64> {
    let half_seconds = 1..=(TIME_LIMIT * 2.0) as u32;
    half_seconds
        .map(|count| f64::from(count) / 2.0)
        .find(|seconds| {
            sim.run_until(*seconds);
            sim.running()
                .into_iter()
                .all(|observer| sim.live_members_seen_by(observer).len() == sim.size)
        })
}

/// Measurements of a cluster without faults other than loss.
struct IdleCluster {
    false_failures_per_member_hour: f64,
    bytes_per_member_second: f64,
    datagrams_per_member_second: f64,
}

fn observe_idle_cluster(sim: &mut Simulation) -> IdleCluster {
    let start = sim.elapsed();
    let bytes_before: u64 = sim.bytes_sent.iter().sum();
    let datagrams_before = sim.datagrams_sent;
    sim.run_until(start + OBSERVATION_TIME);
    let bytes = sim.bytes_sent.iter().sum::<u64>() - bytes_before;
    let datagrams = sim.datagrams_sent - datagrams_before;
    let failed: BTreeSet<usize> = sim
        .failures(start)
        .iter()
        .map(|change| change.member)
        .collect();
    let members = sim.size as f64;
    IdleCluster {
        false_failures_per_member_hour: failed.len() as f64 / (members * OBSERVATION_TIME / 3600.0),
        bytes_per_member_second: bytes as f64 / members / OBSERVATION_TIME,
        datagrams_per_member_second: datagrams as f64 / members / OBSERVATION_TIME,
    }
}

/// Kills some members and returns, in ascending order, the seconds until each other member saw each of them fail.
fn detection_delays(sim: &mut Simulation) -> Vec<f64> {
    let killed: Vec<usize> = (0..KILLED_COUNT)
        .map(|number| sim.size / 2 + number * 7 % sim.size / 3)
        .collect();
    let killed_at = sim.elapsed();
    for &member in &killed {
        sim.schedule_fault(killed_at, Fault::Kill(member));
    }
    sim.run_until(killed_at + TIME_LIMIT);
    let mut delays: Vec<f64> = sim
        .member_changes
        .iter()
        .filter(|change| change.at >= killed_at && change.state == MemberState::Failed)
        .filter(|change| killed.contains(&change.member))
        .map(|change| change.at - killed_at)
        .collect();
    delays.sort_by(f64::total_cmp);
    delays
}

/// Returns the quantile at a share between 0 and 1; `None` if there are no values.
fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(last)).copied()
}
