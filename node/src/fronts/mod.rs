//! The fronts: a client's wire as requests, and final answers as that wire has them. What both share is here:
//! the listener, the life of a client's connection, and the watch for a client that goes away.

pub mod opensearch;
pub mod platform;

use crate::config::{Index, Limits};
use crate::http;
use crate::log;
use crate::stages::{intake, Answer, Ask, Clock, Phase, Request};
use cairnroad::Time;
use cairnroad_settings::Deployment;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// How long a client's connection may stand idle, and how long a request may take to come in.
const IDLE: Duration = Duration::from_secs(75);
const SLOW: Duration = Duration::from_secs(10);
/// How long a client may take to read an answer.
const UNREAD: Duration = Duration::from_secs(5);
/// How long an idle connection is still read once the program closes.
const LAST_GRACE: Duration = Duration::from_millis(100);
/// What a client may send ahead while its answer is made.
const MOST_AHEAD: usize = 2 * http::MOST_BODY;
/// Advice where this machine has no connection left, in seconds.
pub const CROWDED_ADVICE: f64 = 1.0;

/// What every connection of a front holds.
pub struct Front {
    pub deployment: Rc<Deployment>,
    pub core: mpsc::Sender<Ask>,
    pub clock: Clock,
    pub phase: watch::Receiver<Phase>,
    pub limits: Limits,
    /// Open connections of all fronts, and when the last one came.
    pub open: Rc<Cell<usize>>,
    pub last: Rc<Cell<Time>>,
    pub kind: Kind,
    /// Names for requests that bring none.
    pub names: Cell<u64>,
    /// What the query API's clients may name.
    pub indices: Rc<Vec<Index>>,
}

impl Front {
    /// A name for a request that brings none: unlike any other of this or another coordinator's.
    pub fn fresh_name(&self) -> String {
        let number = self.names.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.names.set(number);
        let mixed = (number ^ (number >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        format!("{:016x}", mixed ^ (mixed >> 29))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Platform,
    OpenSearch,
}

/// A response on its way out.
pub struct Reply {
    pub status: u16,
    pub kind: &'static str,
    pub extra: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Reply { status, kind: "application/json", extra: Vec::new(), body }
    }

    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.extra.push((name, value));
        self
    }
}

/// One request's way to the core and back; `Err`: its client is gone.
pub struct Exchange<'a> {
    front: &'a Front,
    stream: &'a mut TcpStream,
    buffer: &'a mut Vec<u8>,
}

impl Exchange<'_> {
    /// Hands the requests to the core together and waits for their final answers. A client that closes its
    /// connection meanwhile has gone away, which withdraws them.
    pub async fn ask(&mut self, requests: Vec<Request>) -> Result<Vec<Answer>, ()> {
        let handed = requests.into_iter().map(|request| intake::hand_over(&self.front.core, request));
        let waiting: Vec<_> = handed.collect();
        let answers = async {
            let mut all = Vec::with_capacity(waiting.len());
            for answer in waiting {
                all.push(answer.await.unwrap_or(Answer::Failed { late: false }));
            }
            all
        };
        tokio::pin!(answers);
        loop {
            let room = self.buffer.len() < MOST_AHEAD;
            tokio::select! {
                biased;
                all = &mut answers => return Ok(all),
                read = self.stream.read_buf(self.buffer), if room => match read {
                    Ok(0) | Err(_) => return Err(()),
                    Ok(_) => {}
                },
            }
        }
    }
}

/// Accepts for as long as the program lives.
pub async fn listen(listener: TcpListener, front: Rc<Front>) {
    loop {
        // At the hard limit nobody is accepted: what waits in the backlog is taken once one leaves.
        while front.open.get() >= front.limits.accepted {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                front.open.set(front.open.get() + 1);
                front.last.set(front.clock.now());
                let front = front.clone();
                tokio::task::spawn_local(async move {
                    serve(stream, &front).await;
                    front.open.set(front.open.get() - 1);
                });
            }
            Err(e) => {
                log!("accept: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// A connection's life: one request after another.
async fn serve(mut stream: TcpStream, front: &Front) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut phase = front.phase.clone();
    loop {
        let request = match next(&mut stream, &mut buffer, &mut phase).await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(bad) => {
                let reply = refusal_of(front, bad.status(), bad.text());
                let _ = write(&mut stream, reply, true).await;
                // Closing with bytes unread would reset the connection under the answer.
                return linger(&mut stream).await;
            }
        };
        let arrived = front.clock.earliest_arrival();
        let crowded = front.open.get() > front.limits.clients;
        let asked_to_close = request.close;
        let mut exchange = Exchange { front, stream: &mut stream, buffer: &mut buffer };
        let path = request.target.split('?').next().unwrap_or("");
        let reply = match (crowded, front.kind) {
            _ if path == "/_health" => Ok(health(front, &request.method)),
            (true, Kind::Platform) => Ok(platform::crowded()),
            (true, Kind::OpenSearch) => Ok(opensearch::crowded()),
            (false, Kind::Platform) => platform::answer(front, &request, arrived, &mut exchange).await,
            (false, Kind::OpenSearch) => opensearch::answer(front, &request, arrived, &mut exchange).await,
        };
        let Ok(reply) = reply else { return };
        let close = asked_to_close || crowded || stopping(*front.phase.borrow());
        if !write(&mut stream, reply, close).await || close {
            return;
        }
    }
}

fn refusal_of(front: &Front, status: u16, text: &str) -> Reply {
    match front.kind {
        Kind::Platform => platform::error(status, text),
        Kind::OpenSearch => opensearch::error(status, "illegal_argument_exception", text),
    }
}

fn stopping(phase: Phase) -> bool {
    matches!(phase, Phase::Stopping | Phase::Closing)
}

/// The connection's next request; `None` at its end, or where it idles too long or the program closes.
async fn next(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    phase: &mut watch::Receiver<Phase>,
) -> Result<Option<http::Request>, http::Bad> {
    let mut continued = false;
    let mut begun = None;
    loop {
        if let Some((request, used)) = http::request(buffer)? {
            buffer.drain(..used);
            return Ok(Some(request));
        }
        if !continued && http::awaits_continue(buffer) {
            continued = true;
            if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return Ok(None);
            }
        }
        let idle = buffer.is_empty();
        // A connection that came late in the closing gets the time for its request to follow.
        let closing = async {
            let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
            tokio::time::sleep(LAST_GRACE).await;
        };
        // From its first byte on a request has one span for all of it: bytes that trickle in don't renew it.
        let end = match idle {
            true => tokio::time::Instant::now() + IDLE,
            false => *begun.get_or_insert_with(tokio::time::Instant::now) + SLOW,
        };
        tokio::select! {
            biased;
            read = stream.read_buf(buffer) => match read {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            },
            () = closing, if idle => return Ok(None),
            () = tokio::time::sleep_until(end) => return Ok(None),
        }
    }
}

async fn write(stream: &mut TcpStream, reply: Reply, close: bool) -> bool {
    let bytes = http::write_response(reply.status, reply.kind, &reply.extra, close, &reply.body);
    matches!(tokio::time::timeout(UNREAD, stream.write_all(&bytes)).await, Ok(Ok(())))
}

/// Reads and drops what a client still sends, for a short while.
async fn linger(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut dropped = [0; 4096];
    let drain = async { while matches!(stream.read(&mut dropped).await, Ok(n) if n > 0) {} };
    let _ = tokio::time::timeout(Duration::from_millis(500), drain).await;
}

/// `GET /_health`, the same on both fronts: 200 only while the program is ready to serve.
fn health(front: &Front, method: &str) -> Reply {
    match (method, *front.phase.borrow()) {
        ("GET", Phase::Serving) => Reply::json(200, b"{\"status\":\"ready\"}".to_vec()),
        ("GET", _) => refusal_of(front, 503, "not ready").with("Retry-After", "1".into()),
        _ => refusal_of(front, 405, "only GET is answered here").with("Allow", "GET".into()),
    }
}

/// Seconds of advice, to the millisecond.
pub fn decimal(secs: f64) -> String {
    format!("{:.3}", secs.max(0.001))
}
