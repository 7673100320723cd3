//! The fronts: a client's wire as requests, and final answers as that wire has them. What both share is here:
//! the listener, the life of a client's connection, and the watch for a client that goes away.

pub mod client_connections;
pub mod exchange;
pub mod opensearch;
pub mod platform;

use crate::connections::connection;
use crate::contract::Watched;
use crate::http;
use crate::messages::{ContractsInForce, Phase};
use cairnroad_contract::drift::Interface;
use client_connections::ClientConnection;
use exchange::{Exchange, Front, FrontKind, Reply};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a connection may idle between two requests. Clients that stay for good would take up all connections;
/// one that comes back later pays for a new connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a request may take to come in, from its first byte; for a connection's first request, from the start
/// of the connection. A client that says nothing, or half of something, is owed an end within 3 s of connecting,
/// and it may have lain unaccepted for some of that.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client that still sends is read after its answer, so that the answer isn't cut off by a reset. The
/// end is owed within 6 s where 60 MB come.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same for a client that idled: what crosses the end is read, so that no reset overtakes an answer it has not read.
const IDLE_LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a client may take to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection is still read once the program closes.
const SHUTDOWN_IDLE_GRACE: Duration = Duration::from_millis(100);
/// How long an idle connection stays open before that once operators send clients away: the front asks for health ten
/// times a second and sends nobody new 0.2 s after a no, and those who are there may still ask and learn to leave.
const DRAINED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// For how long a client that sends ahead of its answers is served one by one. Hundreds of requests at once are
/// owed an end within 3 s; what wasn't read by then is refused, and never ran.
const PIPELINING_TIMEOUT: Duration = Duration::from_secs(2);
/// A buffer of more is given back when its connection idles.
const IDLE_BUFFER_CAPACITY: usize = 4 * 1024;

/// Accepts until the program turns listener_closed. Whoever has connected by then is accepted yet: closing a listener resets all
/// that wait there.
pub async fn listen(
    listener: TcpListener,
    front: Rc<Front>,
    mut listener_closed: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            biased;
            _ = listener_closed.wait_for(|listener_closed| *listener_closed) => break,
            () = accept(&listener, &front) => {}
        }
    }
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while front.connections.open_count() < front.limits.accepted {
        let Ok((stream, _)) = listener.accept() else {
            return;
        };
        if let Ok(stream) = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream))
        {
            spawn_session(stream, &front);
        }
    }
}

async fn accept(listener: &TcpListener, front: &Rc<Front>) {
    // At the hard limit nobody is accepted: what waits in the backlog is taken once one leaves.
    while front.connections.open_count() >= front.limits.accepted {
        front.connections.evict_longest_idle(front.clock.now());
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    match listener.accept().await {
        Ok((stream, _)) => spawn_session(stream, front),
        Err(e) => {
            tracing::warn!(cause = %e, "a client was not accepted");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn spawn_session(stream: TcpStream, front: &Rc<Front>) {
    let connection = front.connections.register();
    // Two leave for each that comes until there is room: one alone would never win back what was lost
    // while all were too young to leave.
    for _ in 0..2 {
        if front.connections.open_count() > front.limits.kept {
            front.connections.evict_longest_idle(front.clock.now());
        }
    }
    let front = front.clone();
    tokio::task::spawn_local(async move { serve(stream, &front, connection).await });
}

/// A connection's life: one request after another.
async fn serve(mut stream: TcpStream, front: &Front, connection: ClientConnection) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut first = Some(Instant::now() + REQUEST_READ_TIMEOUT);
    let mut pipelining_since = None;
    let mut overrun = false;
    loop {
        let request = match next_request(
            front,
            &mut stream,
            &mut buffer,
            &connection,
            first.take(),
            overrun,
        )
        .await
        {
            Ok(NextRequest::Received(request)) => request,
            Ok(NextRequest::ClientGone) => return,
            Ok(NextRequest::IdleEnd) => {
                return linger(front, &mut stream, &connection, IDLE_LINGER_TIMEOUT).await
            }
            Err(bad) => {
                connection.expect_answer();
                let reply = match bad.passes() {
                    true => retry_later(front, bad.status(), bad.text()),
                    false => rejection(front, bad.status(), bad.text()),
                };
                let _ = write(&mut stream, reply, true).await;
                connection.answer_sent(front.clock.now());
                return linger(front, &mut stream, &connection, LINGER_TIMEOUT).await;
            }
        };
        let (arrived, received_at) = (front.clock.earliest_arrival(), Instant::now());
        let overloaded = front.connections.busy_count() > front.limits.clients;
        let asked_to_close = request.close;
        let contracts = front.contracts.current();
        let checked = check_contract(front, &contracts, &request);
        let (stream, buffer, overrun) = (&mut stream, &mut buffer, &mut overrun);
        let mut exchange = Exchange {
            front,
            stream,
            buffer,
            overrun,
            contracts,
        };
        let path = request.target.split('?').next().unwrap_or("");
        let reply = match (overloaded, front.kind) {
            _ if path == "/_health" => Ok(health(front, &request.method)),
            (false, _) if checked.is_err() => {
                let reason = checked.as_ref().err().map_or("", String::as_str);
                Ok(rejection(front, 400, reason))
            }
            (true, _) => Ok(retry_later(front, 503, "too many connections")),
            (false, FrontKind::Platform) => {
                platform::answer(front, &request, arrived, &mut exchange).await
            }
            (false, FrontKind::OpenSearch) => {
                opensearch::answer(front, &request, arrived, &mut exchange).await
            }
        };
        let Ok(reply) = reply else { return };
        if let Ok(Some(checked)) = checked {
            front
                .contracts
                .answered(checked, reply.status, reply.kind, &reply.extra, &reply.body);
        }
        let close = asked_to_close || overloaded || is_stopping(*front.phase.borrow());
        if !write(stream, reply, close).await {
            return;
        }
        connection.answer_sent(front.clock.now());
        // Line ends behind a body are no request.
        let more = buffer.iter().any(|byte| !b"\r\n".contains(byte));
        pipelining_since = pipelining_since
            .filter(|_| more)
            .or(more.then_some(received_at));
        if !close && pipelining_since.is_some_and(|since| since.elapsed() > PIPELINING_TIMEOUT) {
            let reply = retry_later(front, http::Bad::Ahead.status(), http::Bad::Ahead.text());
            let _ = write(stream, reply, true).await;
            return linger(front, stream, &connection, LINGER_TIMEOUT).await;
        }
        if close {
            // Closing with bytes unread would reset the connection under the answer. A client that didn't ask for the
            // end may have sent more.
            if !asked_to_close || !buffer.is_empty() {
                linger(front, stream, &connection, LINGER_TIMEOUT).await;
            }
            return;
        }
    }
}

fn rejection(front: &Front, status: u16, text: &str) -> Reply {
    match front.kind {
        FrontKind::Platform => platform::error(status, text),
        FrontKind::OpenSearch => opensearch::error(status, "illegal_argument_exception", text),
    }
}

/// A refusal that says when to come back.
fn retry_later(front: &Front, status: u16, text: &str) -> Reply {
    match front.kind {
        FrontKind::Platform => platform::retry_later(status, text, front.retry_after()),
        FrontKind::OpenSearch => opensearch::retry_later(status, text, front.retry_after()),
    }
}

/// Holds a request against its front's description, if one is in force. `Err`: it must not be served.
fn check_contract(
    front: &Front,
    contracts: &ContractsInForce,
    request: &http::Request,
) -> Result<Option<Watched>, String> {
    let Some(in_force) = contracts else {
        return Ok(None);
    };
    let interface = match front.kind {
        FrontKind::Platform => Interface::Platform,
        FrontKind::OpenSearch => Interface::Query,
    };
    front.contracts.request(in_force, interface, request)
}

fn is_stopping(phase: Phase) -> bool {
    matches!(
        phase,
        Phase::Drained | Phase::Stopping | Phase::Closing | Phase::Refusing
    )
}

/// How a wait for a connection's next request ended.
enum NextRequest {
    Received(http::Request),
    /// Its client closed it.
    ClientGone,
    /// Nothing came for too long, its slot is needed or the program closes: it is told of the end.
    IdleEnd,
}

/// The connection's next request. A first request has until `first` to come in. What lies behind the buffer was
/// lost where there was an `overrun`.
async fn next_request(
    front: &Front,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    connection: &ClientConnection,
    first: Option<Instant>,
    overrun: bool,
) -> Result<NextRequest, http::Bad> {
    let (mut phase, mut last_phase) = (front.phase.clone(), front.phase.clone());
    let mut continued = false;
    let (mut received_at, rest) = (None, Instant::now() + IDLE_TIMEOUT);
    loop {
        if let Some((request, used)) = http::request(buffer)? {
            connection.request_received(front.clock.now());
            buffer.drain(..used);
            return Ok(NextRequest::Received(request));
        }
        if overrun {
            return Err(http::Bad::Ahead);
        }
        if !continued && http::awaits_continue(buffer) {
            continued = true;
            if stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
            {
                return Ok(NextRequest::ClientGone);
            }
        }
        let idle = buffer.is_empty();
        if idle {
            buffer.shrink_to(IDLE_BUFFER_CAPACITY);
            connection.mark_idle(front.clock.now());
        } else {
            connection.mark_busy();
        }
        // A connection that came late in the closing gets the time for its request to follow.
        let closing = async {
            let ends = phase
                .wait_for(|phase| is_stopping(*phase) && *phase != Phase::Stopping)
                .await;
            if ends.is_ok_and(|phase| *phase == Phase::Drained) {
                tokio::time::sleep(DRAINED_IDLE_TIMEOUT).await;
            }
            tokio::time::sleep(SHUTDOWN_IDLE_GRACE).await;
        };
        let ending = async {
            if last_phase
                .wait_for(|phase| *phase == Phase::Refusing)
                .await
                .is_err()
            {
                std::future::pending::<()>().await;
            }
        };
        // From its first byte on a request has one span for all of it: bytes that trickle in don't renew it.
        let end = first.unwrap_or_else(|| match idle {
            true => rest,
            false => *received_at.get_or_insert_with(Instant::now) + REQUEST_READ_TIMEOUT,
        });
        let bad = tokio::select! {
            biased;
            read = stream.read_buf(buffer) => match read {
                Ok(0) | Err(_) => return Ok(NextRequest::ClientGone),
                Ok(_) => continue,
            },
            () = closing, if idle => None,
            () = ending, if !idle => Some(http::Bad::Ending),
            () = tokio::time::sleep_until(end) => (!idle).then_some(http::Bad::TooSlow),
            () = connection.evicted(), if idle => None,
        };
        // A request that is there already is served first; what comes from now on crosses the end.
        let came = connection::look(stream, buffer);
        match bad {
            Some(bad) if !came || http::request(buffer)?.is_none() => return Err(bad),
            None if !came => return Ok(NextRequest::IdleEnd),
            _ => {}
        }
    }
}

async fn write(stream: &mut TcpStream, reply: Reply, close: bool) -> bool {
    let bytes = http::write_response(reply.status, reply.kind, &reply.extra, close, &reply.body);
    matches!(
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await,
        Ok(Ok(()))
    )
}

/// Tells a client of the end, then reads and drops what it still sends, for a while or until its slot is needed:
/// closing with bytes unread would reset the connection under the answer. Nothing that is read from here on is served.
async fn linger(
    front: &Front,
    stream: &mut TcpStream,
    connection: &ClientConnection,
    most: Duration,
) {
    let _ = stream.shutdown().await;
    connection.begin_linger(front.clock.now());
    tokio::select! {
        () = exchange::discard(stream) => {}
        () = connection.evicted() => {}
        () = tokio::time::sleep(most) => {}
    }
}

/// `GET /_health`, the same on both fronts: 200 only while the program is ready to serve.
fn health(front: &Front, method: &str) -> Reply {
    match (method, *front.phase.borrow()) {
        ("GET", Phase::Serving) => Reply::json(200, b"{\"status\":\"ready\"}".to_vec()),
        ("GET", _) => rejection(front, 503, "not ready").with("Retry-After", "1".into()),
        _ => rejection(front, 405, "only GET is answered here").with("Allow", "GET".into()),
    }
}
