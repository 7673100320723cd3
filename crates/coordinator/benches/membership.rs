//! Measures changes of a list of 10,000 endpoints: the time from the write of the file until the list is in force, the time
//! for which a change blocks the core thread, and peak memory. Run with
//! `cargo bench -p cairnroad-coordinator --bench membership`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{read_response, Behavior, DataNodes, TestCoordinator, WireFormat};
use hdrhistogram::Histogram;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The number of endpoints in each list.
const ENDPOINTS: usize = 10_000;
/// The number of lists that replace the first one.
const UPDATES: u64 = 12;
/// The pause between two lists, long enough for one to be in force before the next is written.
const UPDATE_INTERVAL: Duration = Duration::from_millis(700);
/// The pause between two health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_micros(200);
const OWN_FILE: &str =
    "[membership]\nsource = \"files\"\npath = \"servers.toml\"\nstate = \"state\"\n";

/// Builds a list's text. Each list replaces a tenth of the endpoints and changes all weights. No two endpoints share an
/// address.
fn endpoint_file(generation: u64) -> String {
    let mut text = format!("generation = {generation}\n");
    for number in 0..ENDPOINTS {
        let incarnation = if number.is_multiple_of(10) {
            generation
        } else {
            0
        };
        text.push_str(&format!(
            "[[server]]\nid = \"s-{number}-{incarnation}\"\naddress = \"127.{}.{}.{}:9\"\ncell = {}\nweight = {}\nstarted = 2026-01-01T00:00:00Z\n",
            1 + incarnation % 100, number / 250, number % 250 + 1, number % 2, 1 + (number as u64 + generation) % 3
        ));
    }
    text.push_str("# end\n");
    text
}

/// Sends health checks until `stop` is set and returns their latencies in microseconds. The core thread answers them, so
/// the latency shows for how long the thread was blocked.
fn measure_health_latency(address: SocketAddr, stop: &AtomicBool) -> Histogram<u64> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        stream
            .write_all(b"GET /_health HTTP/1.1\r\nHost: b\r\n\r\n")
            .unwrap();
        assert_eq!(read_response(&mut reader).status, 200);
        latencies
            .record(start.elapsed().as_micros() as u64)
            .unwrap();
        thread::sleep(HEALTH_CHECK_INTERVAL);
    }
    latencies
}

/// Replaces the list and returns the time until it is in force, in milliseconds.
fn measure_update(coordinator: &TestCoordinator, generation: u64) -> f64 {
    let path = coordinator.folder.join("servers.toml");
    let temporary = path.with_extension("tmp");
    std::fs::write(&temporary, endpoint_file(generation)).unwrap();
    let start = Instant::now();
    std::fs::rename(temporary, path).unwrap();
    coordinator.wait_for_log_line(&format!("endpoint list in force generation={generation} "));
    start.elapsed().as_secs_f64() * 1000.0
}

/// Returns the line `VmHWM` (peak resident memory) of the process's status.
fn peak_memory(coordinator: &TestCoordinator) -> String {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", coordinator.child.id())).unwrap();
    let mut lines = status.lines();
    lines
        .find(|line| line.starts_with("VmHWM"))
        .unwrap()
        .to_string()
}

fn print_results(mut update_times: Vec<f64>, latencies: &Histogram<u64>, memory: &str) {
    update_times.sort_by(f64::total_cmp);
    println!(
        "{ENDPOINTS} servers, {UPDATES} lists, a tenth replaced and all weights changed with each"
    );
    println!(
        "from the write until in force, ms: median {:.0}, {:.0} to {:.0}",
        update_times[update_times.len() / 2],
        update_times[0],
        update_times[update_times.len() - 1]
    );
    println!(
        "health answered, ms: median {:.2}, p99 {:.2}, longest {:.2} of {}",
        latencies.value_at_quantile(0.5) as f64 / 1000.0,
        latencies.value_at_quantile(0.99) as f64 / 1000.0,
        latencies.max() as f64 / 1000.0,
        latencies.len()
    );
    println!("{memory}");
}

fn main() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let first_list = endpoint_file(1);
    let files = [("servers.toml", first_list.as_str()), ("state/.keep", "")];
    let coordinator = TestCoordinator::start_with_files(
        WireFormat::Platform,
        data_nodes,
        (1000, 1024),
        Vec::new(),
        OWN_FILE,
        &files,
    );
    coordinator.wait_for_log_line("endpoint list in force generation=1 ");
    let stop = Arc::new(AtomicBool::new(false));
    let health_checks = {
        let address = coordinator.platform;
        let stop = stop.clone();
        thread::spawn(move || measure_health_latency(address, &stop))
    };
    let mut update_times = Vec::new();
    for generation in 2..2 + UPDATES {
        update_times.push(measure_update(&coordinator, generation));
        thread::sleep(UPDATE_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    let latencies = health_checks.join().unwrap();
    print_results(update_times, &latencies, &peak_memory(&coordinator));
}
