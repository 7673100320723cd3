//! Graceful shutdown with open connections: clients send requests on every connection that stays open until the process
//! ends.

mod common;

use common::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn api_request(id: &str, marker: u32) -> String {
    one_part_request(id, "pick-confirm", 2.5, &format!("~{marker}~"))
}

fn connect(coordinator: &TestCoordinator) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(coordinator.platform).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    BufReader::new(stream)
}

/// Waits until the process refuses new connections. Panics after 10 s.
fn wait_until_listener_closes(coordinator: &TestCoordinator) {
    let since = Instant::now();
    while TcpStream::connect(coordinator.platform).is_ok() {
        assert!(
            since.elapsed() < Duration::from_secs(10),
            "the listener was still open after 10 s"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against a shutdown that drops a partly received request. Its connection stays open, so the request must be
/// answered, or rejected if the rest does not arrive.
#[test]
fn partly_received_requests_are_answered_or_rejected_at_shutdown() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(50)),
        1000,
    );
    let text = api_request("half", 1);
    let (first, rest) = text.split_at(text.len() - 9);
    let mut completing = connect(&coordinator);
    let mut incomplete = connect(&coordinator);
    completing.get_mut().write_all(first.as_bytes()).unwrap();
    let idle = connect(&coordinator);
    coordinator.signal("TERM");
    thread::sleep(Duration::from_millis(300));
    incomplete
        .get_mut()
        .write_all(&api_request("never", 2).as_bytes()[..40])
        .unwrap();
    wait_until_listener_closes(&coordinator);
    completing.get_mut().write_all(rest.as_bytes()).unwrap();
    let answer = read_response(&mut completing);
    assert_eq!(
        (answer.status, answer.fields["connection"].as_str()),
        (200, "close")
    );
    let answer = read_response(&mut incomplete);
    assert_eq!(
        (answer.status, answer.fields["connection"].as_str()),
        (503, "close")
    );
    assert!(answer.fields.contains_key("retry-after"));
    assert!(coordinator.child.wait().unwrap().success());
    drop(idle);
    assert_eq!(
        coordinator.data_nodes.execution_counts().len(),
        1,
        "only the completed request may reach a data node"
    );
}

/// Guards against an answer that is truncated by a reset because its client pipelined further requests, and against
/// pipelined requests that were received and get no answer: the last answer announces the close.
#[test]
fn a_pipelining_client_gets_all_its_answers_at_shutdown() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(400)),
        1000,
    );
    let mut client = connect(&coordinator);
    client
        .get_mut()
        .write_all(api_request("first", 1).as_bytes())
        .unwrap();
    thread::sleep(Duration::from_millis(50));
    coordinator.signal("TERM");
    thread::sleep(Duration::from_millis(100));
    client
        .get_mut()
        .write_all((api_request("second", 2) + &api_request("third", 3)).as_bytes())
        .unwrap();
    for is_last in [false, false, true] {
        let answer = read_response(&mut client);
        assert_eq!((answer.status, answer.closes_connection()), (200, is_last));
    }
    assert_eq!(
        client.read(&mut [0]).unwrap(),
        0,
        "the connection must end after the last answer"
    );
    assert!(coordinator.child.wait().unwrap().success());
    assert_eq!(coordinator.data_nodes.execution_counts().len(), 3);
}

/// The results of one client's requests until its connection ended.
#[derive(Debug, Default)]
struct ClientRecord {
    answered: usize,
    /// Requests without an answer.
    unanswered: usize,
    /// Whether the connection ended without further bytes.
    ended_cleanly: bool,
}

/// Sends requests on one connection for as long as it stays open.
fn send_until_closed(address: SocketAddr, client: u32) -> ClientRecord {
    let mut record = ClientRecord::default();
    let Ok(stream) = TcpStream::connect(address) else {
        return record;
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut stream = BufReader::new(stream);
    for number in 0..10_000 {
        let text = api_request(&format!("c{client}-{number}"), client * 10_000 + number);
        if stream.get_mut().write_all(text.as_bytes()).is_err() {
            break;
        }
        let answer = read_response(&mut stream);
        match answer.status {
            200 => record.answered += 1,
            // The connection was closed before the server read the request, so a client may send it again.
            0 => record.unanswered += 1,
            other => panic!("expected status 200 or the end of the connection, found {other}"),
        }
        if answer.status == 0 || answer.closes_connection() {
            break;
        }
    }
    // After the last answer, nothing but the end of the connection may follow.
    let end = stream.read(&mut [0]).map_err(|e| e.kind());
    record.ended_cleanly = matches!(end, Ok(0) | Err(ErrorKind::ConnectionReset));
    record
}

/// Guards against accepted requests that get no answer at a shutdown. Clients send on their connections as long as these
/// stay open. Each request must be answered, or its connection closed before the request was read, so that the client
/// may send it again.
#[test]
fn no_accepted_request_is_lost_at_shutdown_under_load() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(30)),
        1000,
    );
    let address = coordinator.platform;
    let clients: Vec<_> = (0..20)
        .map(|client| thread::spawn(move || send_until_closed(address, client)))
        .collect();
    thread::sleep(Duration::from_millis(500));
    coordinator.signal("TERM");
    let records: Vec<ClientRecord> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert!(coordinator.child.wait().unwrap().success());
    assert!(
        records
            .iter()
            .all(|client| client.answered > 2 && client.unanswered == 0 && client.ended_cleanly),
        "{records:?}"
    );
    // The data nodes ran each answered request exactly once, and no other request.
    let answered: usize = records.iter().map(|client| client.answered).sum();
    assert_eq!(
        (
            coordinator.data_nodes.execution_counts().len(),
            coordinator.data_nodes.execution_counts().values().max()
        ),
        (answered, Some(&1))
    );
}

/// Guards against new clients that prolong the shutdown until the platform kills the process with requests in flight.
#[test]
fn shutdown_finishes_while_new_clients_keep_connecting() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(600)),
        1000,
    );
    let address = coordinator.platform;
    let mut open = BufReader::new(TcpStream::connect(address).unwrap());
    open.get_mut()
        .write_all(stock_search_request("open", "~1~").as_bytes())
        .unwrap();
    wait_for("the part at the data node", || {
        !coordinator.data_nodes.received.lock().unwrap().is_empty()
    });
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut connections = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                for text in [
                    "",
                    "GET /_health HTTP/1.1\r\n\r\n",
                    "POST /api HTTP/1.1\r\n",
                ] {
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        continue;
                    };
                    let _ = stream.write_all(text.as_bytes());
                    connections.push(stream);
                }
                connections.drain(..connections.len().saturating_sub(60));
                thread::sleep(Duration::from_millis(10));
            }
        });
        coordinator.signal("TERM");
        let start = Instant::now();
        while coordinator.child.try_wait().unwrap().is_none()
            && start.elapsed() < Duration::from_secs(20)
        {
            thread::sleep(Duration::from_millis(5));
        }
        ended.store(true, Ordering::Relaxed);
    });
    assert!(
        coordinator
            .child
            .try_wait()
            .unwrap()
            .is_some_and(|status| status.success()),
        "the process must end with success within 20 s of SIGTERM"
    );
    assert_eq!(
        read_response(&mut open).status,
        200,
        "the request in flight must be answered before the process ends"
    );
}

#[test]
fn shutdown_finishes_once_all_requests_are_answered() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(1000)),
        1000,
    );
    let send_request = |stream: &mut TcpStream, id: &str| {
        stream
            .write_all(stock_search_request(id, "~1~").as_bytes())
            .unwrap()
    };
    let mut early = TcpStream::connect(coordinator.platform).unwrap();
    send_request(&mut early, "early");
    wait_for("the part at the data node", || {
        !coordinator.data_nodes.received.lock().unwrap().is_empty()
    });
    coordinator.signal("TERM");
    wait_for("the start of the shutdown", || {
        coordinator
            .call(coordinator.platform, "GET /_health", &[], "")
            .status
            == 503
    });
    let mut late = TcpStream::connect(coordinator.platform).unwrap();
    send_request(&mut late, "late");
    for stream in [early, late] {
        let mut reader = BufReader::new(stream);
        let answer = read_response(&mut reader);
        assert_eq!(
            (answer.status, answer.fields["connection"].as_str()),
            (200, "close")
        );
        assert_eq!(
            reader.read(&mut [0]).unwrap(),
            0,
            "the connection must be closed after its answer"
        );
    }
    wait_for("the end of the process", || {
        coordinator.child.try_wait().unwrap().is_some()
    });
    assert!(coordinator.child.wait().unwrap().success());
}

fn stock_search_request(id: &str, query: &str) -> String {
    one_part_request(id, "stock-search", 2.0, query)
}
