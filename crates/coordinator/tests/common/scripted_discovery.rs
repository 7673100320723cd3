//! A stand-in for discovery whose answers and their timing are chosen by the test.

use super::http_message::read_message;
use serde_json::{json, Value};
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The stand-in's reaction to a call.
pub enum ScriptedReply {
    /// Sends these bytes and keeps the connection open for further calls.
    Send(Vec<u8>),
    /// Sends these bytes and closes the connection.
    Close(Vec<u8>),
    /// Sends these bytes and resets the connection.
    Reset(Vec<u8>),
    /// Sends these bytes in pieces over this time, and keeps the connection open for further calls.
    Trickle(Vec<u8>, Duration),
    /// Sends these bytes and nothing more, and keeps the connection open.
    Stall(Vec<u8>),
}

/// A received call.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    pub at: Instant,
    pub connection: usize,
    pub target: String,
}

impl DiscoveryCall {
    /// Returns the revision after which the call requests changes, or `None` if it requests the full list.
    pub fn from(&self) -> Option<u64> {
        self.target
            .split("from=")
            .nth(1)?
            .split('&')
            .next()?
            .parse()
            .ok()
    }
}

/// A discovery service that answers each call as its script decides. The script may block to delay an answer.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<DiscoveryCall>>>,
}

impl ScriptedDiscovery {
    pub fn new(
        script: impl Fn(&DiscoveryCall) -> ScriptedReply + Send + Sync + 'static,
    ) -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<DiscoveryCall>>> = Arc::default();
        let received = calls.clone();
        let script = Arc::new(script);
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let received = received.clone();
                let script = script.clone();
                thread::spawn(move || {
                    Self::serve_connection(stream, connection, &received, &*script)
                });
            }
        });
        ScriptedDiscovery { address, calls }
    }

    fn serve_connection(
        mut stream: TcpStream,
        connection: usize,
        received: &Mutex<Vec<DiscoveryCall>>,
        script: &dyn Fn(&DiscoveryCall) -> ScriptedReply,
    ) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let line = read_message(&mut reader)?.line;
            let target = line.split(' ').nth(1)?.to_string();
            let call = DiscoveryCall {
                at: Instant::now(),
                connection,
                target,
            };
            received.lock().unwrap().push(call.clone());
            match script(&call) {
                ScriptedReply::Send(bytes) => stream.write_all(&bytes).ok()?,
                ScriptedReply::Trickle(bytes, duration) => {
                    const PIECES: usize = 20;
                    for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
                        thread::sleep(duration / PIECES as u32);
                        stream.write_all(piece).ok()?;
                    }
                }
                ScriptedReply::Close(bytes) => return stream.write_all(&bytes).ok(),
                ScriptedReply::Reset(bytes) => {
                    stream.write_all(&bytes).ok()?;
                    // A reset discards data that the peer hasn't read yet, so leave it time to read.
                    thread::sleep(Duration::from_millis(20));
                    return SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok();
                }
                ScriptedReply::Stall(bytes) => {
                    stream.write_all(&bytes).ok()?;
                    let mut rest = Vec::new();
                    reader.read_to_end(&mut rest).ok()?;
                    return None;
                }
            }
        }
    }
}

/// Builds the JSON body of an endpoint list.
pub fn member_list(revision: u64, complete: bool, members: &[Value]) -> String {
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

/// Builds a complete HTTP response with this body.
pub fn http_ok(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Builds an HTTP response without a length, whose body ends when the connection is closed.
pub fn http_ok_until_close(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{body}").into_bytes()
}
