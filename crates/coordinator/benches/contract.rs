//! What checking costs the running program: CPU of the core's thread a query and latency, with descriptions off,
//! observed at full share and enforced, in turns: `cargo bench -p cairnroad-coordinator --bench contract [ROUNDS]`.
//!
//! Queries of three parts come at a fixed rate on eight connections. Figures are the median over rounds with the least
//! and the most.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use hdrhistogram::Histogram;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Queries a second, on so many connections, for so long.
const RATE: f64 = 400.0;
const CONNECTIONS: usize = 8;
const SPAN: Duration = Duration::from_secs(3);
const WARM: Duration = Duration::from_millis(700);

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

/// Nanoseconds that a thread of the program has run.
fn ran(pid: u32, core: bool) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"))
        .unwrap()
        .flatten();
    let of = |name: std::ffi::OsString| {
        let text = std::fs::read_to_string(format!(
            "/proc/{pid}/task/{}/schedstat",
            name.to_string_lossy()
        ))
        .ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    tasks
        .filter(|task| (task.file_name().to_string_lossy() == pid.to_string()) == core)
        .filter_map(|t| of(t.file_name()))
        .sum()
}

struct Figures {
    core_us: f64,
    aside_us: f64,
    p50_ms: f64,
    p99_ms: f64,
}

fn round(wire: WireFormat, mode: &str) -> Figures {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(wire, &data_nodes);
    let own = match mode {
        "off" => String::new(),
        mode => ["platform", "servers"]
            .map(|name| {
                format!("[contract.{name}]\nmode = \"{mode}\"\ndescription = \"{name}.yaml\"\n")
            })
            .concat(),
    };
    let servers = if wire == WireFormat::OpenSearch {
        SEARCH
    } else {
        FRAMES
    };
    let files = [("platform.yaml", PLATFORM), ("servers.yaml", servers)];
    let coordinator = Arc::new(TestCoordinator::start_with_files(
        wire,
        data_nodes,
        (1000, 1024),
        members,
        &own,
        &files,
    ));
    let pid = coordinator.child.id();
    let start = Instant::now();
    let client = |number: usize| {
        let to = coordinator.platform;
        thread::spawn(move || {
            let mut stream = TcpStream::connect(to).unwrap();
            stream.set_nodelay(true).unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut seen = Histogram::<u64>::new(3).unwrap();
            let gap = Duration::from_secs_f64(CONNECTIONS as f64 / RATE);
            let first = start + gap.mul_f64(number as f64 / CONNECTIONS as f64);
            for turn in 0.. {
                let due = first + gap * turn;
                if due > start + WARM + SPAN {
                    break;
                }
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let shards: Vec<_> = (0..3)
                    .map(|at| json!({"shard": (turn as usize + at) % 8, "weight": 1.0 / 3.0}))
                    .collect();
                let body =
                    json!({"shards": shards, "q": format!("~{}~", turn as usize * CONNECTIONS + number)})
                        .to_string();
                let id = format!("b{number}-{turn}");
                let head = format!(
                    "POST /api HTTP/1.1\r\nHost: b\r\nX-Request-Id: {id}\r\nX-Class: stock-search\r\nX-Deadline: 2.0\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(head.as_bytes()).unwrap();
                let answer = read_response(&mut reader);
                assert_eq!(answer.status, 200, "{}", answer.json);
                if due > start + WARM {
                    // From when it was due: a client that is held up by one answer still counts what it missed.
                    seen.record(due.elapsed().as_micros() as u64).unwrap();
                }
            }
            seen
        })
    };
    let clients: Vec<_> = (0..CONNECTIONS).map(client).collect();
    thread::sleep((start + WARM).saturating_duration_since(Instant::now()));
    let (core, aside) = (ran(pid, true), ran(pid, false));
    thread::sleep((start + WARM + SPAN).saturating_duration_since(Instant::now()));
    let (core, aside) = (ran(pid, true) - core, ran(pid, false) - aside);
    let mut seen = Histogram::<u64>::new(3).unwrap();
    for client in clients {
        seen.add(client.join().unwrap()).unwrap();
    }
    let queries = seen.len() as f64;
    Figures {
        core_us: core as f64 / 1000.0 / queries,
        aside_us: aside as f64 / 1000.0 / queries,
        p50_ms: seen.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: seen.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

fn main() {
    let rounds = std::env::args()
        .skip(1)
        .find_map(|word| word.parse().ok())
        .unwrap_or(5);
    println!(
        "{RATE} queries a second of three parts, {rounds} rounds in turns: median (least to most)"
    );
    for wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let modes = ["off", "observe", "enforce"];
        let mut all: Vec<Vec<Figures>> = modes.iter().map(|_| Vec::new()).collect();
        for _ in 0..rounds {
            for (at, mode) in modes.iter().enumerate() {
                all[at].push(round(wire, mode));
            }
        }
        println!("servers that speak {wire:?}");
        for (mode, figures) in modes.iter().zip(&all) {
            let show = |pick: fn(&Figures) -> f64| {
                let mut values: Vec<f64> = figures.iter().map(pick).collect();
                values.sort_by(f64::total_cmp);
                format!(
                    "{:7.2} ({:.2} to {:.2})",
                    values[values.len() / 2],
                    values[0],
                    values[values.len() - 1]
                )
            };
            println!(
                "  {mode:8} core us a query {}, aside {}, p50 ms {}, p99 ms {}",
                show(|f| f.core_us),
                show(|f| f.aside_us),
                show(|f| f.p50_ms),
                show(|f| f.p99_ms)
            );
        }
    }
}
