//! A stand-in for discovery: an endpoint list that can be changed, and watches that wait for changes.

use super::http_message::read_message;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

struct EndpointList {
    revision: u64,
    members: Vec<Value>,
}

struct State {
    list: Mutex<EndpointList>,
    changed: Condvar,
    /// The request lines received so far, in order.
    calls: Arc<Mutex<Vec<String>>>,
    /// Connections with a number below this one get no more answers.
    silent_below: AtomicU64,
    /// The number of connections accepted so far.
    accepted: AtomicU64,
}

/// A discovery service with an endpoint list that the test can change.
pub struct FakeDiscovery {
    pub address: SocketAddr,
    /// The request lines received so far, in order.
    pub calls: Arc<Mutex<Vec<String>>>,
    state: Arc<State>,
}

impl FakeDiscovery {
    pub fn new(members: Vec<Value>) -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let state = Arc::new(State {
            list: Mutex::new(EndpointList {
                revision: 1,
                members,
            }),
            changed: Condvar::new(),
            calls: calls.clone(),
            silent_below: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                thread::spawn(move || shared.serve_connection(stream, number));
            }
        });
        FakeDiscovery {
            address,
            calls,
            state,
        }
    }

    /// Returns the entries of the endpoint list.
    pub fn members(&self) -> Vec<Value> {
        self.state.list.lock().unwrap().members.clone()
    }

    /// Stops answering on all connections accepted so far and on the next `further_connections`. They all stay open.
    pub fn silence(&self, further_connections: u64) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state
            .silent_below
            .store(accepted + further_connections, Ordering::SeqCst);
    }

    /// Replaces the entries of the endpoint list.
    pub fn set_members(&self, members: Vec<Value>) {
        self.change(|list| *list = members);
    }

    /// Changes one data node's phase.
    pub fn set_phase(&self, server: usize, phase: &str) {
        self.change(|list| list[server]["phase"] = json!(phase));
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Value>)) {
        let mut list = self.state.list.lock().unwrap();
        list.revision += 1;
        change(&mut list.members);
        self.state.changed.notify_all();
    }
}

impl State {
    fn serve_connection(&self, mut stream: TcpStream, number: u64) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let line = read_message(&mut reader)?.line;
            self.calls.lock().unwrap().push(line.clone());
            let body = self.wait_for_list(&line);
            if number < self.silent_below.load(Ordering::SeqCst) {
                // The connection stays open, and further requests on it are ignored.
                while read_message(&mut reader).is_some() {}
                return None;
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        }
    }

    /// Returns the list's body. A watch waits until the list is newer than its revision or its hold time has passed.
    fn wait_for_list(&self, line: &str) -> String {
        let mut list = self.list.lock().unwrap();
        let from = query_number(line, "from=");
        let hold = query_number(line, "hold_ms=");
        if let (Some(from), Some(hold)) = (from, hold) {
            let hold = Duration::from_millis(hold);
            list = self
                .changed
                .wait_timeout_while(list, hold, |list| list.revision <= from)
                .unwrap()
                .0;
        }
        // Indented, since the coordinator must accept lists with any whitespace.
        let body = json!({"revision": list.revision, "complete": true, "members": list.members});
        serde_json::to_string_pretty(&body).unwrap()
    }
}

fn query_number(line: &str, key: &str) -> Option<u64> {
    let value = line.split(key).nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}
