//! Client connections: limits, time-outs, eviction of idle connections, pipelining and disconnects.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn over_the_connection_limit_clients_get_503_with_retry_after() {
    let data_nodes = DataNodes::new(|marker, _, _| {
        if marker == 1 {
            Behavior::NoAnswer
        } else {
            Behavior::Serve
        }
    });
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    // Of 64 descriptors, half are available to clients with a request in flight.
    let coordinator =
        TestCoordinator::start_with_members(WireFormat::Platform, data_nodes, 1000, 64, members);
    let held: Vec<_> = (0..32)
        .map(|n| {
            let mut stream = TcpStream::connect(coordinator.platform).unwrap();
            stream
                .write_all(api_request(&format!("held{n}"), "~1~").as_bytes())
                .unwrap();
            stream
        })
        .collect();
    wait_for("the parts at the data nodes", || {
        coordinator.data_nodes.received.lock().unwrap().len() == 32
    });
    let rejected = coordinator.post_api("a", "stock-search", "2.0", &[1], "~2~");
    assert_eq!(
        (rejected.status, rejected.fields["connection"].as_str()),
        (503, "close")
    );
    assert!(rejected.fields.contains_key("retry-after"));
    drop(held);
    let mut names = 0..;
    let mut status = || {
        coordinator
            .post_api(
                &format!("b{}", names.next().unwrap()),
                "stock-search",
                "2.0",
                &[1],
                "~2~",
            )
            .status
    };
    wait_for("a free connection slot", || status() == 200);
}

/// Guards against idle clients that occupy all connection slots. Neither clients that send nothing nor clients that sent one
/// request may block others, and an evicted idle connection is closed without an answer.
#[test]
fn idle_connections_are_evicted_for_active_clients() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let coordinator =
        TestCoordinator::start_with_members(WireFormat::Platform, data_nodes, 1000, 64, members);
    let mut longest_idle = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    longest_idle
        .get_mut()
        .write_all(api_request("once", "~1~").as_bytes())
        .unwrap();
    assert_eq!(read_response(&mut longest_idle).status, 200);
    let _silent: Vec<_> = (0..200)
        .map(|_| TcpStream::connect(coordinator.platform).unwrap())
        .collect();
    let start = Instant::now();
    for number in 0..20 {
        assert_eq!(
            coordinator
                .post_api(&format!("a{number}"), "stock-search", "2.0", &[1], "~1~")
                .status,
            200
        );
    }
    assert!(
        start.elapsed() < Duration::from_secs(15),
        "expected idle connections to delay 20 requests by less than 15 s, took {:?}",
        start.elapsed()
    );
    assert_eq!(
        longest_idle.read(&mut [0]).unwrap(),
        0,
        "the connection that was idle for the longest time must be evicted first"
    );
}

/// Guards against an unlimited wait for a client that stops in the middle of a request, and against an error response that is
/// truncated by a reset while the client still sends.
#[test]
fn slow_or_oversized_requests_end_in_time() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    for address in [coordinator.platform, coordinator.opensearch] {
        let begin = |text: &str| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_secs(8)))
                .unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            BufReader::new(stream)
        };
        let mut idle = begin("");
        let mut incomplete =
            begin("POST /api HTTP/1.1\r\nX-Request-Id: h\r\nContent-Length: 9\r\n\r\nhalf");
        let mut chunked = begin("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut with_length = begin("POST /api HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n");
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        for _ in 0..1000 {
            chunked.get_mut().write_all(chunk.as_bytes()).unwrap();
            with_length.get_mut().write_all(chunk.as_bytes()).unwrap();
        }
        for (stream, status) in [
            (&mut chunked, 413),
            (&mut with_length, 413),
            (&mut incomplete, 408),
            (&mut idle, 0),
        ] {
            let answer = read_response(stream);
            assert_eq!((answer.status, stream.read(&mut [0]).unwrap()), (status, 0));
            assert_eq!(
                answer.fields.get("connection").map(String::as_str),
                (status > 0).then_some("close")
            );
        }
    }
}

#[test]
fn a_disconnected_clients_parts_are_cancelled() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::NoAnswer),
        1000,
    );
    let mut stream = TcpStream::connect(coordinator.platform).unwrap();
    stream
        .write_all(api_request("gone", "~1~").as_bytes())
        .unwrap();
    wait_for("the parts at the data nodes", || {
        !coordinator.data_nodes.received.lock().unwrap().is_empty()
    });
    drop(stream);
    wait_for("the cancel at the data node", || {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .all(|seen| seen.cancelled.load(Ordering::Relaxed))
    });
}

#[test]
fn expect_continue_is_answered() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    let mut stream = TcpStream::connect(coordinator.platform).unwrap();
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~1~"}).to_string();
    let head =
        "POST /api HTTP/1.1\r\nX-Request-Id: e\r\nX-Class: stock-search\r\nX-Deadline: 2\r\n";
    let head = format!(
        "{head}Expect: 100-continue\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut interim_response = [0; 25];
    stream.read_exact(&mut interim_response).unwrap();
    assert_eq!(&interim_response, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(body.as_bytes()).unwrap();
    assert_eq!(read_response(&mut BufReader::new(stream)).status, 200);
}

/// Guards against a client that pipelines many requests and occupies a connection slot until all are served, and against
/// requests that are left without an answer of their own when the limit is reached.
#[test]
fn pipelining_beyond_its_time_limit_is_rejected() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(100)),
        1000,
    );
    let mut client = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    // Their own deadlines are longer than the limit.
    let all: String = (0..60)
        .map(|number| one_part_request(&format!("p{number}"), "stock-search", 9.0, "~1~") + "\r\n")
        .collect();
    client.get_mut().write_all(all.as_bytes()).unwrap();
    let answers: Vec<Response> = (0..60).map(|_| read_response(&mut client)).collect();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(
        served > 0 && coordinator.data_nodes.received.lock().unwrap().len() == served,
        "{served} served"
    );
    let (last, others) = answers.split_last().unwrap();
    assert!(others.iter().all(|answer| !answer.closes_connection()));
    assert_eq!(
        (last.status, last.fields["connection"].as_str()),
        (429, "close")
    );
    for rejected in &answers[served..] {
        assert_eq!(rejected.status, 429);
        assert!(rejected.fields.contains_key("retry-after"));
    }
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// Guards against a Unix socket among the process's descriptors, also after it has handled signals. The deployment does not
/// permit Unix sockets, and the test hosts of the fleet allow TCP and UDP only.
#[test]
fn the_process_holds_no_unix_socket() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    coordinator.signal("HUP");
    coordinator.wait_for_log_line("reload applied");
    let listed = std::fs::read_to_string("/proc/net/unix").unwrap();
    let unix: Vec<&str> = listed
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(6))
        .collect();
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", coordinator.child.id())).unwrap();
    let sockets: Vec<String> = descriptors
        .filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok())
        .filter_map(|target| {
            target
                .to_str()?
                .strip_prefix("socket:[")?
                .strip_suffix(']')
                .map(String::from)
        })
        .collect();
    assert!(
        !sockets.is_empty(),
        "expected the listening sockets among the descriptors, found no socket"
    );
    let found: Vec<&String> = sockets
        .iter()
        .filter(|inode| unix.contains(&inode.as_str()))
        .collect();
    assert!(
        found.is_empty(),
        "Unix sockets among the descriptors: {found:?}"
    );
}

fn api_request(id: &str, query: &str) -> String {
    one_part_request(id, "stock-search", 2.0, query)
}
