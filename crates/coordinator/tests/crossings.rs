//! What crosses: bytes and an end, a request and its client's going, an order to stop and whoever just connects. The
//! stand-ins hold and release at the chosen moment.

mod common;

use common::script::Shut;
use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn connect(rig: &Rig) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(rig.platform).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    BufReader::new(stream)
}

fn send(client: &mut BufReader<TcpStream>, text: &str) {
    client.get_mut().write_all(text.as_bytes()).unwrap();
}

/// What a client reads next: bytes, the end, or a fault.
fn read(client: &mut BufReader<TcpStream>) -> Result<usize, ErrorKind> {
    client.read(&mut [0; 16]).map_err(|e| e.kind())
}

/// The members of a list whose data node 1 (of cell 1, which holds shard 1) is the only one there, at this address.
fn only(stage: &Arc<Stage>, address: std::net::SocketAddr) -> Vec<Value> {
    let mut members = members(Wire::Platform, stage);
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

/// Guards against a close over unread bytes, which resets the connection: a request that crosses the end of an idle
/// connection is read after the end, and neither served nor a cause for a reset.
#[test]
fn a_request_that_crosses_an_idle_end_is_neither_served_nor_reset() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    let mut idle: Vec<_> = (0..8)
        .map(|number| {
            let mut client = connect(&rig);
            send(
                &mut client,
                &one_part(&format!("first{number}"), "stock-search", 2.0, "~1~"),
            );
            assert_eq!(response(&mut client).status, 200);
            client
        })
        .collect();
    rig.signal("TERM");
    for client in &mut idle {
        assert_eq!(read(client), Ok(0), "the end");
    }
    // The end is here, so it was sent: this crosses it. After a reset a second write would fail.
    let crossing = one_part("crossing", "pick-confirm", 2.0, "~2~");
    let (first, rest) = crossing.split_at(20);
    idle.iter_mut().for_each(|client| send(client, first));
    thread::sleep(Duration::from_millis(10));
    for client in &mut idle {
        assert!(client.get_mut().write_all(rest.as_bytes()).is_ok(), "reset");
        assert_eq!(read(client), Ok(0), "no answer");
    }
    assert!(rig.child.wait().unwrap().success());
    assert!(
        rig.stage.runs().keys().all(|(marker, _)| *marker == 1),
        "what came after the end was sent on"
    );
}

/// Guards against a listener that is closed over connections that wait to be accepted: the system resets them all. The
/// program stands still while they come, and goes on at the moment at which it turns deaf.
#[test]
fn whoever_connected_before_the_program_turned_deaf_is_answered() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    let mut idle = connect(&rig);
    send(&mut idle, &one_part("before", "stock-search", 2.0, "~1~"));
    assert_eq!(response(&mut idle).status, 200);
    rig.signal("TERM");
    assert_eq!(
        read(&mut idle),
        Ok(0),
        "idle connections are closed, and clients still accepted"
    );
    rig.signal("STOP");
    let mut last: Vec<_> = (0..20)
        .map(|number| {
            let mut client = connect(&rig);
            send(
                &mut client,
                &one_part(&format!("last{number}"), "pick-confirm", 2.0, "~2~"),
            );
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(900));
    rig.signal("CONT");
    for client in &mut last {
        let told = response(client);
        assert_eq!(
            (told.status, told.fields["connection"].as_str()),
            (200, "close")
        );
    }
    assert!(rig.child.wait().unwrap().success());
}

/// Guards against a client that goes unseen since the program stopped reading it: its end lies behind all that it sent.
#[test]
fn a_client_that_sends_much_at_once_and_goes_is_seen_to_go() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Silent), 1000);
    for (name, behind) in [("little", 100), ("much", 40_000), ("flood", 3_000_000)] {
        let before = rig.stage.seen.lock().unwrap().len();
        let mut client = connect(&rig);
        send(&mut client, &one_part(name, "pick-confirm", 2.5, "~1~"));
        wait_for("the part", || rig.stage.seen.lock().unwrap().len() > before);
        send(&mut client, &"x".repeat(behind));
        let gone = Instant::now();
        drop(client);
        let seen = rig.stage.seen.lock().unwrap()[before].clone();
        wait_for("the cancel", || seen.cancelled.load(Ordering::Relaxed));
        assert!(
            gone.elapsed() < Duration::from_millis(1200),
            "{name}: only at its deadline"
        );
    }
}

/// Guards against requests that are dropped without a word once more is sent ahead than is kept.
#[test]
fn what_is_sent_too_far_ahead_is_refused_and_the_answers_before_it_stand() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(20)), 1000);
    let mut client = connect(&rig);
    let all: String = (0..600)
        .map(|number| one_part(&format!("p{number}"), "stock-search", 2.0, "~1~"))
        .collect();
    assert!(all.len() > 60_000);
    send(&mut client, &all);
    let (mut served, mut told) = (0, response(&mut client));
    while told.status == 200 {
        served += 1;
        told = response(&mut client);
    }
    assert!(
        served > 0 && rig.stage.seen.lock().unwrap().len() == served,
        "{served} served"
    );
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (429, "close")
    );
    assert!(told.fields.contains_key("retry-after"));
    assert_eq!(
        read(&mut client),
        Ok(0),
        "the end, and no reset over the answers"
    );
}

/// Guards against parts that are written for clients who left while the connection came up: also where more calls and
/// cancels wait behind the dial than a connection takes in at once, and where a deployment has no cancels.
#[test]
fn nothing_is_written_for_clients_who_left_while_the_connection_came_up() {
    for cancel in [true, false] {
        let stage = Stage::new(|_, _, _| Act::Serve);
        let shut = Shut::new();
        let rig = Rig::tuned(stage.clone(), only(&stage, shut.address()), |config| {
            let caps = &mut config["settings"]["caps"];
            (caps["dialTimeoutS"], caps["streamsPerConn"], caps["cancel"]) =
                (json!(9.0), json!(400), json!(cancel));
            // No copies, or they go out while all wait.
            caps["secondCopies"] = json!(false);
        });
        let mut stays = connect(&rig);
        send(&mut stays, &one_part("stays", "pick-confirm", 2.5, "~1~"));
        let mut going = Vec::new();
        for number in 0..100 {
            let mut client = connect(&rig);
            send(
                &mut client,
                &one_part(&format!("goes{number}"), "pick-confirm", 2.5, "~2~"),
            );
            going.push(client);
        }
        thread::sleep(Duration::from_millis(100));
        drop(going);
        thread::sleep(Duration::from_millis(100));
        let mut stream = shut.open();
        let sent = frames(&mut stream, Duration::from_millis(300));
        let calls: Vec<&String> = sent.iter().filter(|frame| frame.starts_with('Q')).collect();
        assert_eq!(calls.len(), 1, "cancel {cancel}: {calls:?}");
        assert!(calls[0].starts_with("Qstays.1 "));
    }
}

/// Guards against a further attempt that was decided within its class's window and written after it, since its
/// connection came up late.
#[test]
fn a_keyed_part_that_may_have_run_is_not_written_after_its_window() {
    for (window, written) in [(0.8, false), (9.0, true)] {
        let stage = Stage::new(|_, _, _| Act::Cut);
        let shut = Shut::new();
        let mut members = members(Wire::Platform, &stage);
        members[3]["host_port"] = json!(shut.address().to_string());
        let rig = Rig::tuned(stage.clone(), members, |config| {
            config["settings"]["caps"]["dialTimeoutS"] = json!(9.0);
            let class = &mut config["settings"]["classes"][1];
            (class["effect"], class["dedupWindowS"]) = (json!("deduplicated"), json!(window));
        });
        let told = thread::scope(|scope| {
            // The data node that is there runs the part and breaks off, whichever of the two is asked first.
            let told = scope.spawn(|| rig.api("keyed", "pick-confirm", "2.5", &[1], "~1~").status);
            thread::sleep(Duration::from_millis(1000));
            let sent = frames(&mut shut.open(), Duration::from_millis(300));
            let calls = sent
                .iter()
                .filter(|frame| frame.starts_with("Qkeyed.1 "))
                .count();
            assert!(rig.stage.runs()[&(1, 1)] > 0);
            assert_eq!(calls > 0, written, "window {window}: {sent:?}");
            told.join().unwrap()
        });
        assert!(told >= 500, "{told}");
    }
}
