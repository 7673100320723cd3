//! Clients that send many requests at once: each that was received gets its own answer, in order, in its own time.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Number of requests sent at once: more than are served within their deadline.
const REQUESTS: usize = 30;
/// Deadline of each request, which counts from its arrival.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after its deadline up to which a late answer counts as an answer.
const LATEST: Duration = Duration::from_millis(550);

/// How the requests are sent.
#[derive(Clone, Copy, Debug)]
enum Writes {
    Together,
    /// In pieces of so many bytes, which end within requests.
    Pieces(usize),
}

fn request(door: WireFormat, number: usize) -> String {
    match door {
        WireFormat::Platform => {
            let id = format!("p{number}");
            one_part_request(&id, "pick-confirm", DEADLINE.as_secs_f64(), "~1~")
        }
        WireFormat::OpenSearch => {
            let body = json!({"query": {"match": {"text": "~1~"}}}).to_string();
            let target = "/pick-confirm/_search?preference=_shards:1&timeout=2s";
            let length = body.len();
            format!("POST {target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}")
        }
    }
}

fn send(stream: &mut TcpStream, text: &str, writes: Writes) {
    let size = match writes {
        Writes::Together => text.len(),
        Writes::Pieces(size) => size,
    };
    for piece in text.as_bytes().chunks(size) {
        stream.write_all(piece).unwrap();
    }
}

/// Guards against pipelined requests that get no answer of their own, or get it after their time: their time counts from their
/// arrival, and one rejection stands for one request.
#[test]
fn each_of_many_requests_sent_at_once_gets_its_own_answer_in_time() {
    for (door, writes) in [
        (WireFormat::Platform, Writes::Together),
        (WireFormat::Platform, Writes::Pieces(333)),
        (WireFormat::OpenSearch, Writes::Together),
        (WireFormat::OpenSearch, Writes::Pieces(41)),
    ] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Delay(100));
        let coordinator = TestCoordinator::start(WireFormat::Platform, data_nodes, 1000);
        let address = match door {
            WireFormat::Platform => coordinator.platform,
            WireFormat::OpenSearch => coordinator.opensearch,
        };
        let mut client = BufReader::new(TcpStream::connect(address).unwrap());
        let all: String = (0..REQUESTS).map(|number| request(door, number)).collect();
        let sent_at = Instant::now();
        send(client.get_mut(), &all, writes);
        let mut statuses = Vec::new();
        for number in 0..REQUESTS {
            statuses.push(read_response(&mut client).status);
            let took = sent_at.elapsed();
            assert!(
                took < DEADLINE + LATEST,
                "{door:?}, {writes:?}: answer {number} after {took:?}"
            );
        }
        let served = statuses.iter().take_while(|&&status| status == 200).count();
        assert!(served >= 10, "{door:?}, {writes:?}: {statuses:?}");
        assert!(
            statuses[served..]
                .iter()
                .all(|status| [429, 503, 504].contains(status)),
            "{door:?}, {writes:?}: {statuses:?}"
        );
        let sent = coordinator.data_nodes.received.lock().unwrap().len();
        assert!(
            sent == served || sent == served + 1,
            "{sent} sent, {served} served"
        );
    }
}

/// Guards against pipelined requests that are dropped with their buffer when an operator drains the coordinator: each gets an
/// answer, and the last one announces the close.
#[test]
fn pipelined_requests_are_answered_while_an_operator_drains() {
    let environment = Environment {
        admin_api: true,
        ..Environment::default()
    };
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Delay(100));
    let coordinator = TestCoordinator::with_environment(data_nodes, environment);
    let mut client = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    let all: String = (0..5)
        .map(|number| request(WireFormat::Platform, number))
        .collect();
    send(client.get_mut(), &all, Writes::Together);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(coordinator.admin_status("PUT /v1/coordinator/drain"), 200);
    for number in 0..5 {
        let answer = read_response(&mut client);
        assert_eq!(
            (answer.status, answer.closes_connection()),
            (200, number == 4),
            "{number}"
        );
    }
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// Guards against requests that are dropped behind an unsound one, and against an answer that stands for the requests behind a
/// part of one.
#[test]
fn unsound_requests_among_pipelined_ones_get_their_own_answers() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let coordinator = TestCoordinator::start(WireFormat::Platform, data_nodes, 1000);
    let mut client = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    let unknown_path = "GET /none HTTP/1.1\r\n\r\n";
    let unreadable = "GET / HTTP/3.7\r\n\r\n";
    let all = request(WireFormat::Platform, 0)
        + unknown_path
        + &request(WireFormat::Platform, 1)
        + unreadable;
    send(client.get_mut(), &all, Writes::Together);
    let statuses = [0; 4].map(|_| read_response(&mut client).status);
    assert_eq!(statuses, [200, 404, 200, 400]);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}
