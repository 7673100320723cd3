//! Race conditions: bytes against a close, a request against its client's disconnect, shutdown against new connections.
//! The stand-ins hold and release bytes at the chosen moment.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn connect(coordinator: &TestCoordinator) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(coordinator.platform).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    BufReader::new(stream)
}

fn send_bytes(client: &mut BufReader<TcpStream>, text: &str) {
    client.get_mut().write_all(text.as_bytes()).unwrap();
}

/// What a client reads next: bytes, the end, or an error.
fn read(client: &mut BufReader<TcpStream>) -> Result<usize, ErrorKind> {
    client.read(&mut [0; 16]).map_err(|e| e.kind())
}

/// The members of a list whose data node 1 (of cell 1, which holds shard 1) is the only one there, at this address.
fn only(data_nodes: &Arc<DataNodes>, address: std::net::SocketAddr) -> Vec<Value> {
    let mut members = start_data_nodes(WireFormat::Platform, data_nodes);
    members[1]["host_port"] = json!(address.to_string());
    members.retain(|member| member["id"] != "s-3");
    members
}

/// Reads frames until nothing comes for a while; their letters and text.
fn frames(stream: &mut TcpStream, quiet: Duration) -> Vec<String> {
    stream.set_read_timeout(Some(quiet)).unwrap();
    let mut all = Vec::new();
    while let Some(length) = read_exact(stream, 4) {
        let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
        let Some(frame) = read_exact(stream, length) else {
            break;
        };
        all.push(String::from_utf8_lossy(&frame).into_owned());
    }
    all
}

/// Guards against a close with bytes unread, which resets the connection: a request that crosses the close of an idle
/// connection is drained after it, and neither served nor a cause for a reset.
#[test]
fn a_request_sent_as_its_idle_connection_closes_is_neither_served_nor_reset() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    let mut idle: Vec<_> = (0..8)
        .map(|number| {
            let mut client = connect(&coordinator);
            send_bytes(
                &mut client,
                &one_part_request(&format!("first{number}"), "stock-search", 2.0, "~1~"),
            );
            assert_eq!(read_response(&mut client).status, 200);
            client
        })
        .collect();
    coordinator.signal("TERM");
    for client in &mut idle {
        assert_eq!(read(client), Ok(0), "the end");
    }
    // The end was received, so it was sent: this crosses it. After a reset a second write would fail.
    let crossing = one_part_request("crossing", "pick-confirm", 2.0, "~2~");
    let (first, rest) = crossing.split_at(20);
    idle.iter_mut().for_each(|client| send_bytes(client, first));
    thread::sleep(Duration::from_millis(10));
    for client in &mut idle {
        assert!(client.get_mut().write_all(rest.as_bytes()).is_ok(), "reset");
        assert_eq!(read(client), Ok(0), "no answer");
    }
    assert!(coordinator.child.wait().unwrap().success());
    assert!(
        coordinator
            .data_nodes
            .execution_counts()
            .keys()
            .all(|(marker, _)| *marker == 1),
        "what came after the end was forwarded"
    );
}

/// Guards against a listener that is closed with connections in its backlog: the system resets them all. The program is
/// stopped while they connect, and continues at the moment at which it closes the listener.
#[test]
fn clients_in_the_backlog_when_the_listener_closes_are_answered() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    let mut idle = connect(&coordinator);
    send_bytes(
        &mut idle,
        &one_part_request("before", "stock-search", 2.0, "~1~"),
    );
    assert_eq!(read_response(&mut idle).status, 200);
    coordinator.signal("TERM");
    assert_eq!(
        read(&mut idle),
        Ok(0),
        "idle connections are closed, and clients still accepted"
    );
    coordinator.signal("STOP");
    let mut last: Vec<_> = (0..20)
        .map(|number| {
            let mut client = connect(&coordinator);
            send_bytes(
                &mut client,
                &one_part_request(&format!("last{number}"), "pick-confirm", 2.0, "~2~"),
            );
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(900));
    coordinator.signal("CONT");
    for client in &mut last {
        let answer = read_response(client);
        assert_eq!(
            (answer.status, answer.fields["connection"].as_str()),
            (200, "close")
        );
    }
    assert!(coordinator.child.wait().unwrap().success());
}

/// Guards against a disconnect that goes undetected since the program stopped reading: the end lies behind all that the
/// client sent.
#[test]
fn a_disconnect_behind_many_unread_bytes_is_detected() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::NoAnswer),
        1000,
    );
    for (name, behind) in [("little", 100), ("much", 40_000), ("flood", 3_000_000)] {
        let before = coordinator.data_nodes.received.lock().unwrap().len();
        let mut client = connect(&coordinator);
        send_bytes(
            &mut client,
            &one_part_request(name, "pick-confirm", 2.5, "~1~"),
        );
        wait_for("the part", || {
            coordinator.data_nodes.received.lock().unwrap().len() > before
        });
        send_bytes(&mut client, &"x".repeat(behind));
        let disconnected = Instant::now();
        drop(client);
        let seen = coordinator.data_nodes.received.lock().unwrap()[before].clone();
        wait_for("the cancel", || seen.cancelled.load(Ordering::Relaxed));
        assert!(
            disconnected.elapsed() < Duration::from_millis(1200),
            "{name}: only at its deadline"
        );
    }
}

/// Guards against pipelined requests that are dropped without an answer once more is sent than is buffered.
#[test]
fn pipelining_beyond_the_buffer_is_rejected_after_the_earlier_answers() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(20)),
        1000,
    );
    let mut client = connect(&coordinator);
    let all: String = (0..600)
        .map(|number| one_part_request(&format!("p{number}"), "stock-search", 2.0, "~1~"))
        .collect();
    assert!(all.len() > 60_000);
    send_bytes(&mut client, &all);
    let mut served = 0;
    let mut answer = read_response(&mut client);
    while answer.status == 200 {
        served += 1;
        answer = read_response(&mut client);
    }
    assert!(
        served > 0 && coordinator.data_nodes.received.lock().unwrap().len() == served,
        "{served} served"
    );
    assert_eq!(
        (answer.status, answer.fields["connection"].as_str()),
        (429, "close")
    );
    assert!(answer.fields.contains_key("retry-after"));
    assert_eq!(
        read(&mut client),
        Ok(0),
        "the end, and no reset over the answers"
    );
}

/// Guards against parts that are written for clients that left while the connection was being dialed: also where more
/// calls and cancels wait behind the dial than a connection takes in at once, and where a deployment has no cancels.
#[test]
fn no_part_is_written_for_clients_that_left_during_the_dial() {
    for cancel in [true, false] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
        let unaccepting = UnacceptingNode::new();
        let coordinator = TestCoordinator::with_config(
            data_nodes.clone(),
            only(&data_nodes, unaccepting.address()),
            |config| {
                let caps = &mut config["settings"]["caps"];
                (caps["dialTimeoutS"], caps["streamsPerConn"], caps["cancel"]) =
                    (json!(9.0), json!(400), json!(cancel));
                // No hedged requests, or they are sent while all wait.
                caps["secondCopies"] = json!(false);
            },
        );
        let mut stays = connect(&coordinator);
        send_bytes(
            &mut stays,
            &one_part_request("stays", "pick-confirm", 2.5, "~1~"),
        );
        let mut going = Vec::new();
        for number in 0..100 {
            let mut client = connect(&coordinator);
            send_bytes(
                &mut client,
                &one_part_request(&format!("goes{number}"), "pick-confirm", 2.5, "~2~"),
            );
            going.push(client);
        }
        thread::sleep(Duration::from_millis(100));
        drop(going);
        thread::sleep(Duration::from_millis(100));
        let mut stream = unaccepting.accept();
        let sent = frames(&mut stream, Duration::from_millis(300));
        let calls: Vec<&String> = sent.iter().filter(|frame| frame.starts_with('Q')).collect();
        assert_eq!(calls.len(), 1, "cancel {cancel}: {calls:?}");
        assert!(calls[0].starts_with("Qstays.1 "));
    }
}

/// Guards against a retry that was decided within its class's deduplication window and written after it, since its
/// connection came up late.
#[test]
fn a_possibly_executed_idempotent_part_is_not_retried_after_its_dedup_window() {
    for (window, written) in [(0.8, false), (9.0, true)] {
        let data_nodes = DataNodes::new(|_, _, _| Behavior::CloseMidAnswer);
        let unaccepting = UnacceptingNode::new();
        let mut members = start_data_nodes(WireFormat::Platform, &data_nodes);
        members[3]["host_port"] = json!(unaccepting.address().to_string());
        let coordinator = TestCoordinator::with_config(data_nodes.clone(), members, |config| {
            config["settings"]["caps"]["dialTimeoutS"] = json!(9.0);
            let class = &mut config["settings"]["classes"][1];
            (class["effect"], class["dedupWindowS"]) = (json!("deduplicated"), json!(window));
        });
        let status = thread::scope(|scope| {
            // The data node that is there runs the part and breaks off, whichever of the two is asked first.
            let status = scope.spawn(|| {
                coordinator
                    .post_api("keyed", "pick-confirm", "2.5", &[1], "~1~")
                    .status
            });
            thread::sleep(Duration::from_millis(1000));
            let sent = frames(&mut unaccepting.accept(), Duration::from_millis(300));
            let calls = sent
                .iter()
                .filter(|frame| frame.starts_with("Qkeyed.1 "))
                .count();
            assert!(coordinator.data_nodes.execution_counts()[&(1, 1)] > 0);
            assert_eq!(calls > 0, written, "window {window}: {sent:?}");
            status.join().unwrap()
        });
        assert!(status >= 500, "{status}");
    }
}
