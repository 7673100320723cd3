//! One client connection from accept to close: one request after another.

mod lingering_close;
mod next_request;

use super::client_connections::ClientConnection;
use super::exchange::{ClientGone, Exchange};
use super::front::{Front, FrontKind};
use super::reply::Reply;
use super::{health, opensearch, platform};
use crate::contract::SampledRequest;
use crate::http;
use crate::messages::{ContractsInForce, ServingPhase};
use cairnroad_contract::enforcement::Rejection;
use cairnroad_types::Time;
use lingering_close::{IDLE_LINGER_TIMEOUT, LINGER_TIMEOUT};
use next_request::NextRequest;
pub use next_request::REQUEST_READ_TIMEOUT;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a client may take to read a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// For how long a client that pipelines is served one request after another. Hundreds of requests at once have to end
/// within 3 s; what wasn't read by then is rejected, and never ran.
const PIPELINING_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a connection until either side closes it.
pub async fn run(stream: TcpStream, front: Rc<Front>, connection: ClientConnection) {
    let _ = stream.set_nodelay(true);
    let mut session = ClientSession {
        front,
        buffer: Vec::new(),
        overrun: false,
        first_request_due: Some(Instant::now() + REQUEST_READ_TIMEOUT),
        pipelining_since: None,
        connection,
        stream,
    };
    while session.serve_request().await.is_continue() {}
}

/// The state of a connection between two requests.
struct ClientSession {
    front: Rc<Front>,
    /// Bytes that were read and not yet parsed.
    buffer: Vec<u8>,
    /// The client pipelined more than is buffered: what lies behind the buffer is lost.
    overrun: bool,
    /// When the first request has to be complete; `None` once it was waited for.
    first_request_due: Option<Instant>,
    /// Since when further requests lie in the buffer as an answer is sent.
    pipelining_since: Option<Instant>,
    connection: ClientConnection,
    stream: TcpStream,
}

impl ClientSession {
    /// Serves the next request. `Break` where the connection is at its end.
    async fn serve_request(&mut self) -> ControlFlow<()> {
        let request = match self.next_request().await {
            Ok(NextRequest::Received(request)) => request,
            Ok(NextRequest::ClientGone) => return ControlFlow::Break(()),
            Ok(NextRequest::IdleEnd) => {
                self.linger(IDLE_LINGER_TIMEOUT).await;
                return ControlFlow::Break(());
            }
            Err(error) => return self.reject_unreadable(error).await,
        };
        let arrived = self.front.clock.earliest_arrival();
        let received_at = Instant::now();
        let overloaded = self.front.connections.busy_count() > self.front.limits.max_active_clients;
        let Ok(reply) = self.answer(&request, arrived, overloaded).await else {
            return ControlFlow::Break(());
        };
        let close =
            request.close_requested || overloaded || is_stopping(*self.front.phase.borrow());
        if !self.write(reply, close).await {
            return ControlFlow::Break(());
        }
        self.connection.answer_sent(self.front.clock.now());
        if close {
            return self.close(request.close_requested).await;
        }
        self.limit_pipelining(received_at).await
    }

    /// The response to a request. It is checked against its description even if it isn't forwarded.
    async fn answer(
        &mut self,
        request: &http::Request,
        arrived: Time,
        overloaded: bool,
    ) -> Result<Reply, ClientGone> {
        let contracts = self.front.contracts.current();
        let checked = self.check_contract(&contracts, request);
        let path = request.target.split('?').next().unwrap_or("");
        let reply = if path == health::PATH {
            health::reply(&self.front, &request.method)
        } else if overloaded {
            self.front.retry_later_reply(503, "too many connections")
        } else if let Err(rejection) = &checked {
            self.front.error_reply(400, &rejection.to_string())
        } else {
            self.forward(request, arrived, contracts).await?
        };
        if let Ok(Some(sampled)) = checked {
            self.front.contracts.on_response(
                sampled,
                reply.status,
                reply.content_type,
                &reply.headers,
                &reply.body,
            );
        }
        Ok(reply)
    }

    /// Checks a request against its front's description, if one is in force. `Err` says why it must not be served.
    fn check_contract(
        &self,
        contracts: &ContractsInForce,
        request: &http::Request,
    ) -> Result<Option<SampledRequest>, Rejection> {
        match contracts {
            None => Ok(None),
            Some(in_force) => {
                let interface = self.front.interface();
                let contracts = &self.front.contracts;
                contracts.check_request(in_force, interface, request)
            }
        }
    }

    async fn forward(
        &mut self,
        request: &http::Request,
        arrived: Time,
        contracts: ContractsInForce,
    ) -> Result<Reply, ClientGone> {
        let front = &*self.front;
        let mut exchange = Exchange {
            front,
            stream: &mut self.stream,
            buffer: &mut self.buffer,
            overrun: &mut self.overrun,
            contracts,
        };
        match front.kind {
            FrontKind::Platform => platform::answer(front, request, arrived, &mut exchange).await,
            FrontKind::OpenSearch => {
                opensearch::answer(front, request, arrived, &mut exchange).await
            }
        }
    }

    /// Rejects a request that can't be read to its end, and closes the connection.
    async fn reject_unreadable(&mut self, error: http::MessageError) -> ControlFlow<()> {
        self.connection.expect_answer();
        let reply = match error.is_transient() {
            true => self
                .front
                .retry_later_reply(error.status(), error.message()),
            false => self.front.error_reply(error.status(), error.message()),
        };
        let _ = self.write(reply, true).await;
        self.connection.answer_sent(self.front.clock.now());
        self.linger(LINGER_TIMEOUT).await;
        ControlFlow::Break(())
    }

    /// Rejects what a client still has in the buffer once it has pipelined for too long.
    async fn limit_pipelining(&mut self, received_at: Instant) -> ControlFlow<()> {
        // Line ends behind a body are no request.
        let more = self.buffer.iter().any(|byte| !b"\r\n".contains(byte));
        self.pipelining_since = self
            .pipelining_since
            .filter(|_| more)
            .or(more.then_some(received_at));
        let too_long = self
            .pipelining_since
            .is_some_and(|since| since.elapsed() > PIPELINING_TIMEOUT);
        if !too_long {
            return ControlFlow::Continue(());
        }
        let error = http::MessageError::Pipelined;
        let reply = self
            .front
            .retry_later_reply(error.status(), error.message());
        let _ = self.write(reply, true).await;
        self.linger(LINGER_TIMEOUT).await;
        ControlFlow::Break(())
    }

    /// Closes the connection after its last answer. Closing with bytes unread would reset it under the answer, and a
    /// client that didn't ask for the close may have sent more.
    async fn close(&mut self, client_asked: bool) -> ControlFlow<()> {
        if !client_asked || !self.buffer.is_empty() {
            self.linger(LINGER_TIMEOUT).await;
        }
        ControlFlow::Break(())
    }

    /// Writes a response. Returns whether the client took it in time.
    async fn write(&mut self, reply: Reply, close: bool) -> bool {
        let bytes = http::write_response(
            reply.status,
            reply.content_type,
            &reply.headers,
            close,
            &reply.body,
        );
        let write = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes));
        matches!(write.await, Ok(Ok(())))
    }
}

/// Whether connections are closed after their answer.
fn is_stopping(phase: ServingPhase) -> bool {
    matches!(
        phase,
        ServingPhase::DrainedByOperator
            | ServingPhase::ShuttingDown
            | ServingPhase::IdleConnectionsClosing
            | ServingPhase::PartialRequestsRejected
    )
}
