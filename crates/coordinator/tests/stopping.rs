//! Restarts with open connections: clients send on every connection that stays open, up to the kill.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn api_text(id: &str, marker: u32) -> String {
    let body =
        json!({"shards": [{"shard": 1, "weight": 1.0}], "q": format!("~{marker}~")}).to_string();
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: pick-confirm\r\nX-Deadline: 2.5\r\n"
    );
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn connect(rig: &Rig) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(rig.platform).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    BufReader::new(stream)
}

/// Waits until nobody is accepted any more.
fn wait_until_deaf(rig: &Rig) {
    let since = Instant::now();
    while TcpStream::connect(rig.platform).is_ok() {
        assert!(since.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against an end that comes while the rest of a request is on its way: it was begun on a connection that stayed
/// open, so it is answered, or refused where the rest doesn't come.
#[test]
fn what_came_in_part_is_answered_or_refused() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(50)), 1000);
    let text = api_text("half", 1);
    let (first, rest) = text.split_at(text.len() - 9);
    let (mut finished, mut never) = (connect(&rig), connect(&rig));
    finished.get_mut().write_all(first.as_bytes()).unwrap();
    let silent = connect(&rig);
    rig.signal("TERM");
    thread::sleep(Duration::from_millis(300));
    never
        .get_mut()
        .write_all(&api_text("never", 2).as_bytes()[..40])
        .unwrap();
    wait_until_deaf(&rig);
    finished.get_mut().write_all(rest.as_bytes()).unwrap();
    let told = response(&mut finished);
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (200, "close")
    );
    let told = response(&mut never);
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (503, "close")
    );
    assert!(told.fields.contains_key("retry-after"));
    assert!(rig.child.wait().unwrap().success());
    drop(silent);
    assert_eq!(
        rig.stage.runs().len(),
        1,
        "what was refused reached no server"
    );
}

/// Guards against an answer that a reset cuts off, since its client had sent more behind its request.
#[test]
fn a_pipelining_client_gets_its_answer_whole() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(400)), 1000);
    let mut client = connect(&rig);
    client
        .get_mut()
        .write_all(api_text("first", 1).as_bytes())
        .unwrap();
    thread::sleep(Duration::from_millis(50));
    rig.signal("TERM");
    thread::sleep(Duration::from_millis(100));
    client
        .get_mut()
        .write_all((api_text("second", 2) + &api_text("third", 3)).as_bytes())
        .unwrap();
    let told = response(&mut client);
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (200, "close")
    );
    assert_eq!(
        client.read(&mut [0]).unwrap(),
        0,
        "the connection ends, and the rest was never taken"
    );
    assert!(rig.child.wait().unwrap().success());
    assert_eq!(rig.stage.runs().len(), 1);
}

/// Clients that keep their connections and send on them as long as these stay open: each request that was written gets
/// its answer, or its connection was closed before the request could be read, and it may go again.
#[test]
fn under_load_nothing_that_was_taken_is_lost() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(30)), 1000);
    let address = rig.platform;
    let clients: Vec<_> = (0..20)
        .map(|client| {
            thread::spawn(move || {
                let (mut answered, mut cut) = (0, 0);
                let Ok(stream) = TcpStream::connect(address) else {
                    return (0, 0, 0);
                };
                stream
                    .set_read_timeout(Some(Duration::from_secs(10)))
                    .unwrap();
                let mut stream = BufReader::new(stream);
                for number in 0..10_000 {
                    let text = api_text(&format!("c{client}-{number}"), client * 10_000 + number);
                    if stream.get_mut().write_all(text.as_bytes()).is_err() {
                        break;
                    }
                    let told = response(&mut stream);
                    match told.status {
                        200 => answered += 1,
                        // Closed between two requests: what was not read goes again on a new connection.
                        0 => cut += 1,
                        other => panic!("{other}"),
                    }
                    if told.status == 0
                        || told
                            .fields
                            .get("connection")
                            .is_some_and(|word| word == "close")
                    {
                        break;
                    }
                }
                // The connection is at its end: nothing more comes on it.
                let end = stream.read(&mut [0]).map_err(|e| e.kind());
                (
                    answered,
                    cut,
                    usize::from(!matches!(end, Ok(0) | Err(ErrorKind::ConnectionReset))),
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    rig.signal("TERM");
    let ends: Vec<(usize, usize, usize)> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert!(rig.child.wait().unwrap().success());
    assert!(
        ends.iter()
            .all(|&(answered, cut, more)| answered > 2 && cut == 0 && more == 0),
        "{ends:?}"
    );
    // Each was run by a server just as often as its client was told.
    let answered: usize = ends.iter().map(|end| end.0).sum();
    assert_eq!(
        (rig.stage.runs().len(), rig.stage.runs().values().max()),
        (answered, Some(&1))
    );
}
