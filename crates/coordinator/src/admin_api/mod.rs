//! The operators' door: calls over HTTP/1.1 on a listener of its own, one a connection. What a call means is decided
//! in `cairnroad_admin::request`; the core carries it out.

pub mod suspension_store;

use crate::cluster::Peers;
use crate::http;
use crate::messages::{Message, Phase};
use cairnroad_admin::request::{self as admin_request, AdminRequest, AdminResponse};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Connections at a time. Some callers say nothing for seconds; operators have few tools.
const MOST_CALLERS: usize = 16;
/// How long a call may take to come in. Every answer is due within 1 s.
const CALL_IN: Duration = Duration::from_millis(700);
/// How long the core may take. It turns every few milliseconds; this is for one that hangs.
const CARRIED_OUT: Duration = Duration::from_millis(250);
/// How long an answered caller is still read, so that no reset cuts its answer off.
const LINGER: Duration = Duration::from_millis(200);
/// Pause after a failed accept: descriptors may be short for a moment.
const PAUSE: Duration = Duration::from_millis(10);

/// The callers whose call is not read yet, the longest there first.
type Waiting = VecDeque<(AbortHandle, Rc<Cell<bool>>)>;

/// What every caller's task holds.
struct Door {
    core: mpsc::Sender<Message>,
    phase: Rc<watch::Sender<Phase>>,
    peers: Option<Rc<Peers>>,
}

/// Takes calls for as long as the program lives.
pub async fn listen(
    listener: TcpListener,
    core: mpsc::Sender<Message>,
    phase: Rc<watch::Sender<Phase>>,
    peers: Option<Rc<Peers>>,
) {
    let door = Rc::new(Door { core, phase, peers });
    let mut callers = Waiting::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(cause) => {
                tracing::warn!(%cause, "an operator's call was not accepted");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        callers.retain(|(task, _)| !task.is_finished());
        // Who has said too little for longest makes room; a call that was read is carried out and answered.
        while callers.len() >= MOST_CALLERS {
            let Some(place) = callers.iter().position(|(_, read)| !read.get()) else {
                break;
            };
            if let Some((task, _)) = callers.remove(place) {
                task.abort();
            }
        }
        let (door, read) = (door.clone(), Rc::new(Cell::new(false)));
        let task = tokio::task::spawn_local(serve(stream, door, read.clone()));
        callers.push_back((task.abort_handle(), read));
    }
}

async fn serve(mut stream: TcpStream, door: Rc<Door>, read: Rc<Cell<bool>>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut view = None;
    let (status, extra, text) = match timeout(CALL_IN, next(&mut stream, &mut buffer)).await {
        Ok(None) => return,
        Ok(Some(Ok(request))) => {
            read.set(true);
            let verdict = match admin_request::read(&request.method, &request.target) {
                Ok(AdminRequest::Peers) => {
                    view = door.view().await;
                    if view.is_some() {
                        AdminResponse::Yes
                    } else {
                        AdminResponse::NoPeers
                    }
                }
                Ok(call) => door.carry_out(call).await,
                Err(verdict) => verdict,
            };
            let allow = match verdict {
                AdminResponse::Method(takes) => vec![("Allow", takes.to_string())],
                _ => Vec::new(),
            };
            (verdict.status(), allow, verdict.text())
        }
        Ok(Some(Err(bad))) => (bad.status(), Vec::new(), bad.message()),
        Err(_) => (
            http::MessageError::TooSlow.status(),
            Vec::new(),
            http::MessageError::TooSlow.message(),
        ),
    };
    let key = if status < 300 { "answer" } else { "error" };
    let body = view.unwrap_or_else(|| serde_json::json!({ key: text }).to_string());
    let bytes = http::write_response(status, "application/json", &extra, true, body.as_bytes());
    if !matches!(timeout(LINGER, stream.write_all(&bytes)).await, Ok(Ok(()))) {
        return;
    }
    let _ = stream.shutdown().await;
    let mut rest = [0; 1024];
    let _ = timeout(LINGER, async {
        while matches!(stream.read(&mut rest).await, Ok(1..)) {}
    })
    .await;
}

/// The connection's call; `None` where the caller left without one.
async fn next(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<Result<http::Request, http::MessageError>> {
    loop {
        match http::parse_request(buffer) {
            Ok(Some((request, _))) => return Some(Ok(request)),
            Err(bad) => return Some(Err(bad)),
            Ok(None) => {}
        }
        if http::expects_continue(buffer) {
            return Some(Err(http::MessageError::Malformed("calls have no body")));
        }
        match stream.read_buf(buffer).await {
            Ok(0) if !buffer.is_empty() => {
                return Some(Err(http::MessageError::Malformed("the call is not whole")))
            }
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

impl Door {
    /// Who is there of the group; `None` where this coordinator takes part in none, or does not say in time.
    async fn view(&self) -> Option<String> {
        let view = self.peers.as_ref()?.view();
        timeout(CARRIED_OUT, view).await.ok().flatten()
    }

    async fn carry_out(&self, call: AdminRequest) -> AdminResponse {
        if call == AdminRequest::Ready {
            return match *self.phase.borrow() {
                Phase::Serving => AdminResponse::Yes,
                Phase::Starting => {
                    AdminResponse::NotNow("not ready yet: the list of data nodes has not come")
                }
                Phase::DrainedByOperator => {
                    AdminResponse::NotNow("drained: activate the coordinator first")
                }
                Phase::ShuttingDown
                | Phase::IdleConnectionsClosing
                | Phase::PartialRequestsRejected => {
                    AdminResponse::NotNow("the process was told to stop")
                }
            };
        }
        let (reply, verdict) = oneshot::channel();
        let busy = AdminResponse::NotNow("the coordinator is too busy: call again");
        if self
            .core
            .try_send(Message::Admin {
                request: call,
                reply,
            })
            .is_err()
        {
            return busy;
        }
        match timeout(CARRIED_OUT, verdict).await {
            Ok(Ok(verdict)) => verdict,
            _ => busy,
        }
    }
}
