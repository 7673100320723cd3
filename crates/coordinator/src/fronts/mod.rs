//! The fronts: a client's wire as requests, and final answers as that wire has them. What both share is here:
//! the listener, the life of a client's connection, and the watch for a client that goes away.

pub mod client_connections;
pub mod exchange;
pub mod opensearch;
pub mod platform;

use crate::connections::socket;
use crate::contract::Watched;
use crate::http;
use crate::messages::{ContractsInForce, Phase};
use cairnroad_contract::drift::Interface;
use client_connections::ClientConnection;
use exchange::{Exchange, Front, Kind, Reply};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a connection may idle between two requests. Clients that stay for good would take up all places;
/// one that comes back later pays for a new connection.
const IDLE: Duration = Duration::from_secs(5);
/// How long a request may take to come in, from its first byte; for a connection's first request, from the start
/// of the connection. A client that says nothing, or half of something, is owed an end within 3 s of connecting,
/// and it may have lain unaccepted for some of that.
pub const SLOW: Duration = Duration::from_secs(2);
/// How long a client that still sends is read after its answer, so that the answer isn't cut off by a reset. The
/// end is owed within 6 s where 60 MB come.
const LINGER: Duration = Duration::from_millis(2500);
/// The same for a client that idled: what crosses the end is read, so that no reset overtakes an answer it has not read.
const PARTING: Duration = Duration::from_millis(250);
/// How long a client may take to read an answer.
const UNREAD: Duration = Duration::from_secs(5);
/// How long an idle connection is still read once the program closes.
const LAST_GRACE: Duration = Duration::from_millis(100);
/// How long an idle connection stays open before that once operators send clients away: the front asks for health ten
/// times a second and sends nobody new 0.2 s after a no, and those who are there may still ask and learn to leave.
const DRAINED_IDLE: Duration = Duration::from_millis(500);
/// For how long a client that sends ahead of its answers is served one by one. Hundreds of requests at once are
/// owed an end within 3 s; what wasn't read by then is refused, and never ran.
const AHEAD: Duration = Duration::from_secs(2);
/// A buffer of more is given back when its connection idles.
const KEPT_BUFFER: usize = 4 * 1024;

/// Accepts until the program turns deaf. Whoever has connected by then is accepted yet: closing a listener resets all
/// that wait there.
pub async fn listen(listener: TcpListener, front: Rc<Front>, mut deaf: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            biased;
            _ = deaf.wait_for(|deaf| *deaf) => break,
            () = accept(&listener, &front) => {}
        }
    }
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while front.places.open() < front.limits.accepted_clients {
        let Ok((stream, _)) = listener.accept() else {
            return;
        };
        if let Ok(stream) = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream))
        {
            take(stream, &front);
        }
    }
}

async fn accept(listener: &TcpListener, front: &Rc<Front>) {
    // At the hard limit nobody is accepted: what waits in the backlog is taken once one leaves.
    while front.places.open() >= front.limits.accepted_clients {
        front.places.make_room(front.clock.now());
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    match listener.accept().await {
        Ok((stream, _)) => take(stream, front),
        Err(e) => {
            tracing::warn!(cause = %e, "a client was not accepted");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn take(stream: TcpStream, front: &Rc<Front>) {
    let place = front.places.take();
    // Two leave for each that comes until there is room: one alone would never win back what was lost
    // while all were too young to leave.
    for _ in 0..2 {
        if front.places.open() > front.limits.idle_clients {
            front.places.make_room(front.clock.now());
        }
    }
    let front = front.clone();
    tokio::task::spawn_local(async move { serve(stream, &front, place).await });
}

/// A connection's life: one request after another.
async fn serve(mut stream: TcpStream, front: &Front, place: ClientConnection) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut first = Some(Instant::now() + SLOW);
    let mut ahead = None;
    let mut overrun = false;
    loop {
        let request = match next(
            front,
            &mut stream,
            &mut buffer,
            &place,
            first.take(),
            overrun,
        )
        .await
        {
            Ok(Next::Request(request)) => request,
            Ok(Next::Gone) => return,
            Ok(Next::Rests) => return linger(front, &mut stream, &place, PARTING).await,
            Err(bad) => {
                place.refuses();
                let reply = match bad.is_transient() {
                    true => later(front, bad.status(), bad.message()),
                    false => refusal_of(front, bad.status(), bad.message()),
                };
                let _ = write(&mut stream, reply, true).await;
                place.answered(front.clock.now());
                return linger(front, &mut stream, &place, LINGER).await;
            }
        };
        let (arrived, begun) = (front.clock.earliest_arrival(), Instant::now());
        let crowded = front.places.busy() > front.limits.active_clients;
        let asked_to_close = request.close;
        let judge = front.contracts.current();
        let watched = hold_against(front, &judge, &request);
        let (stream, buffer, overrun) = (&mut stream, &mut buffer, &mut overrun);
        let mut exchange = Exchange {
            front,
            stream,
            buffer,
            overrun,
            judge,
        };
        let path = request.target.split('?').next().unwrap_or("");
        let reply = match (crowded, front.kind) {
            _ if path == "/_health" => Ok(health(front, &request.method)),
            (false, _) if watched.is_err() => {
                let reason = watched.as_ref().err().map_or("", String::as_str);
                Ok(refusal_of(front, 400, reason))
            }
            (true, _) => Ok(later(front, 503, "too many connections")),
            (false, Kind::Platform) => {
                platform::answer(front, &request, arrived, &mut exchange).await
            }
            (false, Kind::OpenSearch) => {
                opensearch::answer(front, &request, arrived, &mut exchange).await
            }
        };
        let Ok(reply) = reply else { return };
        if let Ok(Some(watched)) = watched {
            front
                .contracts
                .answered(watched, reply.status, reply.kind, &reply.extra, &reply.body);
        }
        let close = asked_to_close || crowded || stopping(*front.phase.borrow());
        if !write(stream, reply, close).await {
            return;
        }
        place.answered(front.clock.now());
        // Line ends behind a body are no request.
        let more = buffer.iter().any(|byte| !b"\r\n".contains(byte));
        ahead = ahead.filter(|_| more).or(more.then_some(begun));
        if !close && ahead.is_some_and(|since| since.elapsed() > AHEAD) {
            let reply = later(
                front,
                http::MessageError::Pipelined.status(),
                http::MessageError::Pipelined.message(),
            );
            let _ = write(stream, reply, true).await;
            return linger(front, stream, &place, LINGER).await;
        }
        if close {
            // Closing with bytes unread would reset the connection under the answer. A client that didn't ask for the
            // end may have sent more.
            if !asked_to_close || !buffer.is_empty() {
                linger(front, stream, &place, LINGER).await;
            }
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

/// A refusal that says when to come back.
fn later(front: &Front, status: u16, text: &str) -> Reply {
    match front.kind {
        Kind::Platform => platform::later(status, text, front.advice()),
        Kind::OpenSearch => opensearch::later(status, text, front.advice()),
    }
}

/// Holds a request against its front's description, if one is in force. `Err`: it must not be served.
fn hold_against(
    front: &Front,
    judge: &ContractsInForce,
    request: &http::Request,
) -> Result<Option<Watched>, String> {
    let Some(in_force) = judge else {
        return Ok(None);
    };
    let interface = match front.kind {
        Kind::Platform => Interface::Platform,
        Kind::OpenSearch => Interface::Query,
    };
    front
        .contracts
        .request(in_force, interface, request)
        .map_err(|rejection| rejection.to_string())
}

fn stopping(phase: Phase) -> bool {
    matches!(
        phase,
        Phase::DrainedByOperator
            | Phase::ShuttingDown
            | Phase::IdleConnectionsClosing
            | Phase::PartialRequestsRejected
    )
}

/// How a wait for a connection's next request ended.
enum Next {
    Request(http::Request),
    /// Its client closed it.
    Gone,
    /// Nothing came for too long, its place is needed or the program closes: it is told of the end.
    Rests,
}

/// The connection's next request. A first request has until `first` to come in. What lies behind the buffer was
/// lost where there was an `overrun`.
async fn next(
    front: &Front,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    place: &ClientConnection,
    first: Option<Instant>,
    overrun: bool,
) -> Result<Next, http::MessageError> {
    let (mut phase, mut last_phase) = (front.phase.clone(), front.phase.clone());
    let mut continued = false;
    let (mut begun, rest) = (None, Instant::now() + IDLE);
    loop {
        if let Some((request, used)) = http::parse_request(buffer)? {
            place.asked(front.clock.now());
            buffer.drain(..used);
            return Ok(Next::Request(request));
        }
        if overrun {
            return Err(http::MessageError::Pipelined);
        }
        if !continued && http::expects_continue(buffer) {
            continued = true;
            if stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
            {
                return Ok(Next::Gone);
            }
        }
        let idle = buffer.is_empty();
        if idle {
            buffer.shrink_to(KEPT_BUFFER);
            place.idle(front.clock.now());
        } else {
            place.busy();
        }
        // A connection that came late in the closing gets the time for its request to follow.
        let closing = async {
            let ends = phase
                .wait_for(|phase| stopping(*phase) && *phase != Phase::ShuttingDown)
                .await;
            if ends.is_ok_and(|phase| *phase == Phase::DrainedByOperator) {
                tokio::time::sleep(DRAINED_IDLE).await;
            }
            tokio::time::sleep(LAST_GRACE).await;
        };
        let ending = async {
            if last_phase
                .wait_for(|phase| *phase == Phase::PartialRequestsRejected)
                .await
                .is_err()
            {
                std::future::pending::<()>().await;
            }
        };
        // From its first byte on a request has one span for all of it: bytes that trickle in don't renew it.
        let end = first.unwrap_or_else(|| match idle {
            true => rest,
            false => *begun.get_or_insert_with(Instant::now) + SLOW,
        });
        let bad = tokio::select! {
            biased;
            read = stream.read_buf(buffer) => match read {
                Ok(0) | Err(_) => return Ok(Next::Gone),
                Ok(_) => continue,
            },
            () = closing, if idle => None,
            () = ending, if !idle => Some(http::MessageError::ShuttingDown),
            () = tokio::time::sleep_until(end) => (!idle).then_some(http::MessageError::TooSlow),
            () = place.needed(), if idle => None,
        };
        // A request that is there already is served first; what comes from now on crosses the end.
        let came = socket::read_available(stream, buffer);
        match bad {
            Some(bad) if !came || http::parse_request(buffer)?.is_none() => return Err(bad),
            None if !came => return Ok(Next::Rests),
            _ => {}
        }
    }
}

async fn write(stream: &mut TcpStream, reply: Reply, close: bool) -> bool {
    let bytes = http::write_response(reply.status, reply.kind, &reply.extra, close, &reply.body);
    matches!(
        tokio::time::timeout(UNREAD, stream.write_all(&bytes)).await,
        Ok(Ok(()))
    )
}

/// Tells a client of the end, then reads and drops what it still sends, for a while or until its place is needed:
/// closing with bytes unread would reset the connection under the answer. Nothing that is read from here on is served.
async fn linger(front: &Front, stream: &mut TcpStream, place: &ClientConnection, most: Duration) {
    let _ = stream.shutdown().await;
    place.part(front.clock.now());
    tokio::select! {
        () = exchange::discard(stream) => {}
        () = place.needed() => {}
        () = tokio::time::sleep(most) => {}
    }
}

/// `GET /_health`, the same on both fronts: 200 only while the program is ready to serve.
fn health(front: &Front, method: &str) -> Reply {
    match (method, *front.phase.borrow()) {
        ("GET", Phase::Serving) => Reply::json(200, b"{\"status\":\"ready\"}".to_vec()),
        ("GET", _) => refusal_of(front, 503, "not ready").with("Retry-After", "1".into()),
        _ => refusal_of(front, 405, "only GET is answered here").with("Allow", "GET".into()),
    }
}
