//! Groups of many members on a virtual clock: how soon they find each other, how soon a failure is known, how many are
//! taken for failed though nothing happened, and what it costs. Prints a row of a table for each size and loss.
//!
//!     cargo run --release -p cairnroad-cluster --example simulate -- 100 1000 --loss 0 0.05 0.2 --schedules 1000

#[path = "../tests/sim/mod.rs"]
mod sim;

use cairnroad_cluster::view::MemberState;
use sim::{Fault, Sim};

/// Seconds that are watched for failures that are none.
const WATCHED: f64 = 120.0;
/// Members killed at once, to see when it is known.
const KILLED: usize = 3;
/// Seconds in which a group has to be found, and a failure to be known.
const FOUND: f64 = 120.0;

fn main() {
    let (mut sizes, mut losses, mut schedules) = (Vec::new(), Vec::new(), 0u64);
    let mut part = "sizes";
    for word in std::env::args().skip(1) {
        match (word.as_str(), part) {
            ("--loss", _) => part = "losses",
            ("--schedules", _) => part = "schedules",
            (number, "sizes") => sizes.extend(number.parse::<usize>()),
            (number, "losses") => losses.extend(number.parse::<f64>()),
            (number, _) => schedules = number.parse().unwrap_or(0),
        }
    }
    if sizes.is_empty() {
        eprintln!("usage: simulate SIZE ... [--loss SHARE ...] [--schedules COUNT]");
        std::process::exit(2);
    }
    if losses.is_empty() {
        losses.push(0.0);
    }
    println!("| members | loss | found, s | known: median, 99th, last, s | false failures a member-hour | bytes a member-second, quiet | datagrams |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut plays = Vec::new();
    for &size in &sizes {
        for &loss in &losses {
            plays.push(std::thread::spawn(move || row(size, loss)));
        }
    }
    for play in plays {
        match play.join() {
            Ok(row) => println!("{row}"),
            Err(_) => std::process::exit(1),
        }
    }
    if schedules > 0 {
        println!("{schedules} schedules of faults in a group of 12: run `SCHEDULES={schedules} cargo test --release -p cairnroad-cluster schedule`");
    }
}

fn row(size: usize, loss: f64) -> String {
    let mut sim = Sim::new(size, 7);
    sim.plan(0.0, Fault::Loss(loss, 0.0));
    let found = (1..=(FOUND * 2.0) as u32).find(|half| {
        sim.play(f64::from(*half) / 2.0);
        sim.alive().into_iter().all(|by| sim.sees(by).len() == size)
    });
    let found = found.map_or("never".to_string(), |half| {
        format!("{:.1}", f64::from(half) / 2.0)
    });
    // Until news of the start has been told, traffic is not that of a quiet group.
    sim.play(sim.age() + 20.0);
    let (from, bytes, datagrams) = (sim.age(), sim.bytes.iter().sum::<u64>(), sim.datagrams);
    sim.play(from + WATCHED);
    let false_failures = sim
        .failures(from)
        .iter()
        .map(|seen| seen.of)
        .collect::<std::collections::BTreeSet<_>>()
        .len();
    let per = |total: u64| total as f64 / size as f64 / WATCHED;
    let (bytes, datagrams) = (
        per(sim.bytes.iter().sum::<u64>() - bytes),
        per(sim.datagrams - datagrams),
    );
    let killed: Vec<usize> = (0..KILLED)
        .map(|number| size / 2 + number * 7 % size / 3)
        .collect();
    let at = sim.age();
    for &member in &killed {
        sim.plan(at, Fault::Kill(member));
    }
    sim.play(at + FOUND);
    let mut known: Vec<f64> = sim
        .seen
        .iter()
        .filter(|seen| {
            seen.at >= at && seen.state == MemberState::Failed && killed.contains(&seen.of)
        })
        .map(|seen| seen.at - at)
        .collect();
    known.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        known
            .get(((known.len() as f64 * share) as usize).min(known.len().saturating_sub(1)))
            .copied()
    };
    let secs = |share| quantile(share).map_or("-".to_string(), |secs| format!("{secs:.1}"));
    let hours = size as f64 * WATCHED / 3600.0;
    format!(
        "| {size} | {loss} | {found} | {}, {}, {} | {:.2} | {bytes:.0} | {datagrams:.1} |",
        secs(0.5),
        secs(0.99),
        secs(1.0),
        false_failures as f64 / hours
    )
}
