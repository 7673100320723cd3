//! Measures the cost of contract checks in the running program: CPU time per query and latency, with checks off, in the mode
//! `observe` at a share of 1, and in the mode `enforce`. Run with
//! `cargo bench -p cairnroad-coordinator --bench contract [ROUNDS]`.
//!
//! The modes alternate. Queries of three parts are sent at a fixed rate on eight connections. Each figure is the median over
//! the rounds, with minimum and maximum.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{read_response, start_data_nodes, Behavior, DataNodes, TestCoordinator, WireFormat};
use hdrhistogram::Histogram;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Queries per second over all connections.
const QUERY_RATE: f64 = 400.0;
/// The number of client connections.
const CONNECTIONS: usize = 8;
/// The measured duration of a round.
const MEASUREMENT: Duration = Duration::from_secs(3);
/// The duration for which a round runs before the measurement.
const WARM_UP: Duration = Duration::from_millis(700);
/// The number of rounds per mode if the command line has no other number.
const DEFAULT_ROUNDS: usize = 5;
/// The contract modes that are compared.
const MODES: [&str; 3] = ["off", "observe", "enforce"];

const PLATFORM: &str = r##"
openapi: 3.1.0
info: {title: clients, version: "1"}
paths:
  /api:
    post:
      parameters:
        - {name: X-Request-Id, in: header, required: true, schema: {type: string, pattern: "^[A-Za-z0-9._-]{1,128}$"}}
        - {name: X-Class, in: header, required: true, schema: {enum: [stock-search, pick-confirm]}}
        - {name: X-Deadline, in: header, required: true, schema: {type: number, exclusiveMinimum: 0}}
      requestBody: {required: true, content: {application/json: {schema: {type: object, required: [shards, q], properties: {q: {type: string}, shards: {type: array, minItems: 1, items: {type: object, required: [shard, weight], properties: {shard: {type: integer, minimum: 0, maximum: 7}, weight: {type: number, exclusiveMinimum: 0}}}}}}}}}
      responses:
        "200": {description: ok, content: {application/json: {schema: {type: object, required: [complete, hits], properties: {hits: {type: array, items: {type: object, required: [shard, doc]}}}}}}}
        default: {description: any}
"##;
const SEARCH: &str = r##"
openapi: 3.1.0
info: {title: servers, version: "1"}
paths:
  /{class}/_search:
    post:
      parameters: [{name: class, in: path, required: true, schema: {type: string}}]
      requestBody: {content: {application/json: {schema: {type: object, required: [query]}}}}
      responses:
        "200": {description: ok, content: {application/json: {schema: {type: object, required: [hits], properties: {hits: {type: object, required: [hits], properties: {hits: {type: array, items: {type: object, required: [_id, _score, _source], properties: {_id: {type: string}, _score: {type: number}, _source: {type: object, required: [doc], properties: {doc: {type: string}}}}}}}}}}}}}
        default: {description: any}
"##;
const FRAMES: &str = r##"
asyncapi: 3.0.0
info: {title: servers, version: "1"}
channels:
  frames:
    messages:
      call: {x-frame: Q, contentType: text/plain, headers: {type: object, required: [id, shard]}, payload: {type: string}}
      giveUp: {x-frame: X}
      ask: {x-frame: "L?"}
      load: {x-frame: L, contentType: text/plain}
      answer: {x-frame: A, contentType: text/plain, headers: {type: object, required: [id, end], properties: {end: {enum: [ok, err, busy]}}}, payload: {type: string, pattern: "^value"}}
"##;

/// A group of the program's threads whose CPU times are added up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Threads {
    /// The core thread, which is the main thread of the process.
    Core,
    /// All other threads.
    Background,
}

/// Returns the CPU time that these threads of a process have used, in nanoseconds.
fn cpu_nanoseconds(pid: u32, threads: Threads) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    tasks
        .flatten()
        .map(|task| task.file_name().to_string_lossy().into_owned())
        .filter(|thread| (*thread == pid.to_string()) == (threads == Threads::Core))
        .filter_map(|thread| thread_nanoseconds(pid, &thread))
        .sum()
}

/// Returns the CPU time of one thread in nanoseconds, or `None` if the thread has ended.
fn thread_nanoseconds(pid: u32, thread: &str) -> Option<u64> {
    let path = format!("/proc/{pid}/task/{thread}/schedstat");
    let text = std::fs::read_to_string(path).ok()?;
    text.split(' ').next()?.parse().ok()
}

/// The CPU time that a process has used so far, in nanoseconds.
struct CpuTimes {
    core: u64,
    background: u64,
}

impl CpuTimes {
    fn read(pid: u32) -> CpuTimes {
        CpuTimes {
            core: cpu_nanoseconds(pid, Threads::Core),
            background: cpu_nanoseconds(pid, Threads::Background),
        }
    }
}

/// The figures of a round. CPU times are in microseconds per query, latencies in milliseconds.
struct Figures {
    core_us: f64,
    background_us: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Runs one round and measures it after the warm-up.
fn run_round(wire: WireFormat, mode: &str) -> Figures {
    let coordinator = start_coordinator(wire, mode);
    let pid = coordinator.child.id();
    let start = Instant::now();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let address = coordinator.platform;
            thread::spawn(move || run_client(address, number, start))
        })
        .collect();
    sleep_until(start + WARM_UP);
    let before = CpuTimes::read(pid);
    sleep_until(start + WARM_UP + MEASUREMENT);
    let after = CpuTimes::read(pid);
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    for client in clients {
        latencies.add(client.join().unwrap()).unwrap();
    }
    let queries = latencies.len() as f64;
    Figures {
        core_us: (after.core - before.core) as f64 / 1000.0 / queries,
        background_us: (after.background - before.background) as f64 / 1000.0 / queries,
        p50_ms: latencies.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

fn start_coordinator(wire: WireFormat, mode: &str) -> Arc<TestCoordinator> {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(wire, &data_nodes);
    let servers = match wire {
        WireFormat::OpenSearch => SEARCH,
        _ => FRAMES,
    };
    let files = [("platform.yaml", PLATFORM), ("servers.yaml", servers)];
    Arc::new(TestCoordinator::start_with_files(
        wire,
        data_nodes,
        (1000, 1024),
        members,
        &contract_settings(mode),
        &files,
    ))
}

fn contract_settings(mode: &str) -> String {
    if mode == "off" {
        return String::new();
    }
    ["platform", "servers"]
        .map(|name| {
            format!("[contract.{name}]\nmode = \"{mode}\"\ndescription = \"{name}.yaml\"\n")
        })
        .concat()
}

/// Sends queries at this connection's share of the rate until the round ends. Returns the latencies in microseconds.
fn run_client(address: SocketAddr, number: usize, start: Instant) -> Histogram<u64> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    let interval = Duration::from_secs_f64(CONNECTIONS as f64 / QUERY_RATE);
    let first = start + interval.mul_f64(number as f64 / CONNECTIONS as f64);
    for sequence in 0.. {
        let due = first + interval * sequence;
        if due > start + WARM_UP + MEASUREMENT {
            break;
        }
        sleep_until(due);
        let query = query(number, sequence as usize);
        stream.write_all(query.as_bytes()).unwrap();
        let answer = read_response(&mut reader);
        assert_eq!(answer.status, 200, "{}", answer.json);
        if due > start + WARM_UP {
            // Measured from the time at which the query was due, so that a delayed answer also counts for the queries that
            // had to wait for it.
            latencies.record(due.elapsed().as_micros() as u64).unwrap();
        }
    }
    latencies
}

/// Builds the text of a request with three parts.
fn query(connection: usize, sequence: usize) -> String {
    let shards: Vec<_> = (0..3)
        .map(|offset| json!({"shard": (sequence + offset) % 8, "weight": 1.0 / 3.0}))
        .collect();
    let text = format!("~{}~", sequence * CONNECTIONS + connection);
    let body = json!({"shards": shards, "q": text}).to_string();
    format!(
        "POST /api HTTP/1.1\r\nHost: b\r\nX-Request-Id: b{connection}-{sequence}\r\nX-Class: stock-search\r\n\
         X-Deadline: 2.0\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn main() {
    let rounds = std::env::args()
        .skip(1)
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(DEFAULT_ROUNDS);
    println!(
        "{QUERY_RATE} queries a second of three parts, {rounds} rounds in turns: median (minimum to maximum)"
    );
    for wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let mut figures = MODES.map(|_| Vec::new());
        for _ in 0..rounds {
            for (figures, mode) in figures.iter_mut().zip(MODES) {
                figures.push(run_round(wire, mode));
            }
        }
        println!("servers that speak {wire:?}");
        for (mode, figures) in MODES.iter().zip(&figures) {
            println!(
                "  {mode:8} core us a query {}, background {}, p50 ms {}, p99 ms {}",
                summarize(figures, |round| round.core_us),
                summarize(figures, |round| round.background_us),
                summarize(figures, |round| round.p50_ms),
                summarize(figures, |round| round.p99_ms)
            );
        }
    }
}

/// Formats the median of one figure over the rounds, with minimum and maximum.
fn summarize(rounds: &[Figures], figure: fn(&Figures) -> f64) -> String {
    let mut values: Vec<f64> = rounds.iter().map(figure).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let minimum = values[0];
    let maximum = values[values.len() - 1];
    format!("{median:7.2} ({minimum:.2} to {maximum:.2})")
}
