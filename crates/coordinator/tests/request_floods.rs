//! Clients that send small or unsound requests at full speed: usual clients on new connections are served in time, and the
//! memory does not grow.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time for which each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Time within which a usual client on a new connection is served.
const USUAL_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Number of requests in one write.
const BATCH: u64 = 40;
/// The platform's smallest limit of memory.
const MEMORY_LIMIT_MB: u64 = 32;

/// The requests of a flood. Each has a name that no other has.
#[derive(Clone, Copy, Debug)]
enum Flood {
    UnknownPath,
    UnknownClass,
    MalformedBody,
    /// Sound queries under ever new ids.
    Sound,
    UnknownIndex,
    /// As many unsound searches as fit into one request.
    UnsoundMultiSearch,
    SoundMultiSearch,
}

impl Flood {
    fn door(self, coordinator: &TestCoordinator) -> SocketAddr {
        match self {
            Flood::UnknownIndex | Flood::UnsoundMultiSearch | Flood::SoundMultiSearch => {
                coordinator.opensearch
            }
            _ => coordinator.platform,
        }
    }

    fn request(self, number: u64) -> String {
        match self {
            Flood::UnknownPath => format!("GET /path{number} HTTP/1.1\r\n\r\n"),
            Flood::UnknownClass => api_request(number, &format!("class{number}"), "{}"),
            Flood::MalformedBody => api_request(number, "stock-search", "{{{{"),
            Flood::Sound => {
                let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~2~"});
                api_request(number, "stock-search", &body.to_string())
            }
            Flood::UnknownIndex => post(&format!("/index{number}/_search"), "{}"),
            Flood::UnsoundMultiSearch => {
                let line = format!("{{\"index\":\"none\"}}\n{{\"query\":{{\"a{number}\":1}}}}\n");
                post("/_msearch", &line.repeat(64))
            }
            Flood::SoundMultiSearch => post("/stock-search/_msearch", &"{}\n{}\n".repeat(64)),
        }
    }
}

fn api_request(number: u64, class: &str, body: &str) -> String {
    let fields = format!("X-Request-Id: {number:0100}\r\nX-Class: {class}\r\nX-Deadline: 2\r\n");
    let length = body.len();
    format!("POST /api HTTP/1.1\r\n{fields}Content-Length: {length}\r\n\r\n{body}")
}

fn post(target: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Sends batches of requests until `ended`, on a new connection whenever one is closed.
fn send_flood(address: SocketAddr, flood: Flood, next: &AtomicU64, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(address).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let answers =
            thread::spawn(move || while reader.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {});
        stream
            .set_write_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let mut is_open = true;
        while is_open && !ended.load(Ordering::Relaxed) {
            let first = next.fetch_add(BATCH, Ordering::Relaxed);
            let batch: String = (first..first + BATCH)
                .map(|number| flood.request(number))
                .collect();
            let mut unsent = batch.as_bytes();
            while is_open && !unsent.is_empty() && !ended.load(Ordering::Relaxed) {
                match stream.write(unsent) {
                    Ok(written) => unsent = &unsent[written..],
                    Err(error) => is_open = error.kind() == std::io::ErrorKind::WouldBlock,
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        answers.join().unwrap();
    }
}

/// Plays a flood from several connections beside usual clients.
fn check_flood(flood: Flood, connections: usize) {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let coordinator = TestCoordinator::start(WireFormat::Platform, data_nodes, 183);
    let address = flood.door(&coordinator);
    let ended = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..connections)
        .map(|_| {
            let (ended, next) = (ended.clone(), next.clone());
            thread::spawn(move || send_flood(address, flood, &next, &ended))
        })
        .collect();
    let begun = Instant::now();
    let mut served = 0;
    let mut slowest = Duration::ZERO;
    while begun.elapsed() < FLOOD_TIME {
        let asked_at = Instant::now();
        let id = format!("usual{served}");
        let answer = coordinator.post_api(&id, "pick-confirm", "2.0", &[1, 2], "~1~");
        slowest = slowest.max(asked_at.elapsed());
        // Among sound requests, a usual one may be rejected for lack of capacity, but at once.
        let is_rejected = matches!(answer.status, 429 | 503);
        let is_sound = matches!(flood, Flood::Sound | Flood::SoundMultiSearch);
        assert!(
            answer.status == 200 || is_sound && is_rejected,
            "{flood:?}: {}",
            answer.status
        );
        served += 1;
        thread::sleep(Duration::from_millis(20));
    }
    let memory = resident_memory_mb(&coordinator);
    ended.store(true, Ordering::Relaxed);
    drop(coordinator);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    println!("{flood:?}, {connections} connections: slowest {slowest:?}, {memory} MB");
    assert!(
        slowest < USUAL_ANSWER_TIME,
        "{flood:?}, {connections} connections: {slowest:?}"
    );
    assert!(
        memory <= MEMORY_LIMIT_MB,
        "{flood:?}, {connections} connections: {memory} MB"
    );
}

/// Guards against one client that holds the thread, or fills the memory, with requests that are answered at once.
#[test]
fn one_connection_at_full_speed_delays_no_usual_client() {
    for flood in [
        Flood::UnknownPath,
        Flood::UnknownClass,
        Flood::MalformedBody,
        Flood::Sound,
        Flood::UnknownIndex,
        Flood::UnsoundMultiSearch,
        Flood::SoundMultiSearch,
    ] {
        check_flood(flood, 1);
    }
}

/// Guards against the same by many clients at once: their share of the thread must not grow with their number.
#[test]
fn many_connections_at_full_speed_delay_no_usual_client() {
    for flood in [
        Flood::UnknownPath,
        Flood::MalformedBody,
        Flood::UnsoundMultiSearch,
    ] {
        check_flood(flood, 40);
    }
}
