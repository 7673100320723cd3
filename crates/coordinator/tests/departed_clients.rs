//! Clients that send much and leave: no attempt begins for them afterwards.

mod common;

use common::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients that flood at once; together they send more than is discarded before hedged requests are due.
const CLIENTS: u64 = 48;
/// Time from a query to the close of its connection: hedged requests are due 0.5 s after the query.
const SENDS_FOR: Duration = Duration::from_millis(250);
/// Time after a client's close in which an attempt may still begin, with the slack that the rules on sockets give.
const LATEST_ATTEMPT: Duration = Duration::from_millis(150);

/// What a client sends behind its query.
#[derive(Clone, Copy, Debug)]
enum Flood {
    Nothing,
    Noise,
    /// Complete queries, each with an id and a marker of its own.
    Queries,
}

/// Guards against attempts for clients that have left: behind megabytes of unread bytes their close was seen some tenths
/// of a second late, and hedged requests and pipelined queries were sent meanwhile.
#[test]
fn no_attempt_begins_after_the_close_of_a_client_that_sent_much() {
    for (door, flood) in [
        (WireFormat::Platform, Flood::Nothing),
        (WireFormat::Platform, Flood::Noise),
        (WireFormat::Platform, Flood::Queries),
        (WireFormat::OpenSearch, Flood::Noise),
        (WireFormat::OpenSearch, Flood::Queries),
    ] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
        let coordinator = TestCoordinator::start(WireFormat::Platform, data_nodes, 1000);
        for number in 0..40 {
            let id = format!("warm{number}");
            coordinator.post_api(&id, "stock-search", "2.0", &[1], "~0~");
        }
        // One of the two holders answers nothing from now on, so that hedged requests to the other one are due.
        let mut overrides = coordinator.data_nodes.overrides.lock().unwrap();
        overrides.insert(1, Behavior::NoAnswer);
        drop(overrides);
        let address = match door {
            WireFormat::Platform => coordinator.platform,
            WireFormat::OpenSearch => coordinator.opensearch,
        };
        let clients: Vec<_> = (1..=CLIENTS)
            .map(|client| thread::spawn(move || flood_and_leave(address, door, client, flood)))
            .collect();
        let closed_at: BTreeMap<u64, Instant> = clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect();
        thread::sleep(Duration::from_millis(1500));
        let received = coordinator.data_nodes.received.lock().unwrap();
        let late = received.iter().filter(|part| {
            let closed_at = closed_at.get(&(marker(&part.query) % MARKERS_PER_CLIENT));
            closed_at.is_some_and(|&at| part.received_at > at + LATEST_ATTEMPT)
        });
        assert_eq!(
            late.count(),
            0,
            "attempts after the close: {door:?}, {flood:?}"
        );
        let of_clients = received.iter().filter(|part| marker(&part.query) > 0);
        assert!(
            of_clients.count() > 0,
            "no query was sent: {door:?}, {flood:?}"
        );
    }
}

/// Distance between the markers of a client's queries.
const MARKERS_PER_CLIENT: u64 = 1000;

/// Sends a query, then the flood, and closes the connection. Returns the client's number and the time of the close.
fn flood_and_leave(
    address: SocketAddr,
    door: WireFormat,
    client: u64,
    flood: Flood,
) -> (u64, Instant) {
    let mut stream = TcpStream::connect(address).unwrap();
    let write_timeout = Some(Duration::from_millis(20));
    stream.set_write_timeout(write_timeout).unwrap();
    let start = Instant::now();
    stream.write_all(query(door, client).as_bytes()).unwrap();
    let mut next_marker = client;
    while start.elapsed() < SENDS_FOR {
        let bytes: Vec<u8> = match flood {
            Flood::Nothing => Vec::new(),
            Flood::Noise => vec![b'x'; 64 * 1024],
            Flood::Queries => (0..100)
                .flat_map(|_| {
                    next_marker += MARKERS_PER_CLIENT;
                    query(door, next_marker).into_bytes()
                })
                .collect(),
        };
        // A full send buffer or a reset ends the write early.
        if bytes.is_empty() || stream.write(&bytes).is_err() {
            thread::sleep(Duration::from_millis(5));
        }
    }
    drop(stream);
    (client, Instant::now())
}

fn query(door: WireFormat, marker: u64) -> String {
    let text = format!("~{marker}~");
    match door {
        WireFormat::Platform => {
            one_part_request(&format!("flood{marker}"), "stock-search", 2.0, &text)
        }
        WireFormat::OpenSearch => {
            let body = json!({"query": {"match": {"text": text}}}).to_string();
            let length = body.len();
            format!("POST /stock-search/_search?preference=_shards:1 HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}")
        }
    }
}
