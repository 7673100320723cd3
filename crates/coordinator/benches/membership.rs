//! A list of 10,000 servers: how long a change takes from its write until it is in force, how long the core's thread is
//! held up by it, and memory: `cargo bench -p cairnroad-coordinator --bench membership`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use hdrhistogram::Histogram;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 10_000;
const CHANGES: u64 = 12;

fn roster(generation: u64) -> String {
    // A tenth of the servers is replaced with each list; no two share an address.
    let one = |number: usize| {
        let part = if number.is_multiple_of(10) {
            generation
        } else {
            0
        };
        format!(
            "[[server]]\nid = \"s-{number}-{part}\"\naddress = \"127.{}.{}.{}:9\"\ncell = {}\nweight = {}\nstarted = 2026-01-01T00:00:00Z\n",
            1 + part % 100, number / 250, number % 250 + 1, number % 2, 1 + (number as u64 + generation) % 3
        )
    };
    format!(
        "generation = {generation}\n{}# end\n",
        (0..SERVERS).map(one).collect::<String>()
    )
}

fn main() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let own = "[membership]\nsource = \"files\"\npath = \"servers.toml\"\nstate = \"state\"\n";
    let files = [("servers.toml", roster(1)), ("state/.keep", String::new())];
    let files: Vec<(&str, &str)> = files
        .iter()
        .map(|(name, text)| (*name, text.as_str()))
        .collect();
    let rig = Rig::start_own(Wire::Platform, stage, (1000, 1024), Vec::new(), own, &files);
    rig.wait_for_line("endpoint list in force generation=1 ");
    let stop = Arc::new(AtomicBool::new(false));
    let (to, done) = (rig.platform, stop.clone());
    // Health is answered by the core's thread: what it is late by is what the thread was held up.
    let pings = thread::spawn(move || {
        let mut stream = TcpStream::connect(to).unwrap();
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut seen = Histogram::<u64>::new(3).unwrap();
        while !done.load(Ordering::Relaxed) {
            let start = Instant::now();
            stream
                .write_all(b"GET /_health HTTP/1.1\r\nHost: b\r\n\r\n")
                .unwrap();
            assert_eq!(response(&mut reader).status, 200);
            seen.record(start.elapsed().as_micros() as u64).unwrap();
            thread::sleep(Duration::from_micros(200));
        }
        seen
    });
    let mut took = Vec::new();
    for generation in 2..2 + CHANGES {
        let text = roster(generation);
        let path = rig.folder.join("servers.toml");
        std::fs::write(path.with_extension("tmp"), text).unwrap();
        let start = Instant::now();
        std::fs::rename(path.with_extension("tmp"), path).unwrap();
        rig.wait_for_line(&format!("endpoint list in force generation={generation} "));
        took.push(start.elapsed().as_secs_f64() * 1000.0);
        thread::sleep(Duration::from_millis(700));
    }
    stop.store(true, Ordering::Relaxed);
    let seen = pings.join().unwrap();
    took.sort_by(f64::total_cmp);
    let status = std::fs::read_to_string(format!("/proc/{}/status", rig.child.id())).unwrap();
    let memory = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    println!(
        "{SERVERS} servers, {CHANGES} lists, a tenth replaced and all weights changed with each"
    );
    println!(
        "from the write until in force, ms: median {:.0}, {:.0} to {:.0}",
        took[took.len() / 2],
        took[0],
        took[took.len() - 1]
    );
    println!(
        "health answered, ms: median {:.2}, p99 {:.2}, longest {:.2} of {}",
        seen.value_at_quantile(0.5) as f64 / 1000.0,
        seen.value_at_quantile(0.99) as f64 / 1000.0,
        seen.max() as f64 / 1000.0,
        seen.len()
    );
    println!("{memory}");
}
