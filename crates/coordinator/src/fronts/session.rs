//! A client connection from accept to close. Its requests are served in sequence.

mod lingering_close;
mod next_request;

use super::client_connections::ClientConnection;
use super::exchange::{ClientDisconnected, Exchange};
use super::front::{Front, FrontKind};
use super::local_reply_throttle::LocalReplyTime;
use super::reply::Reply;
use super::{health, opensearch, platform};
use crate::connections::receive_buffer::ReceiveBuffer;
use crate::contract::SampledRequest;
use crate::http;
use crate::messages::{ClientLiveness, ContractsInForce, ServingPhase};
use cairnroad_contract::enforcement::Rejection;
use cairnroad_types::Time;
use lingering_close::{IDLE_LINGER_TIMEOUT, LINGER_TIMEOUT};
pub use next_request::REQUEST_READ_TIMEOUT;
use next_request::{NextRequest, ReceivedRequest};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time limit for writing a response to a client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the requests of a pipelining client are served in sequence. Hundreds of requests sent at once must be
/// finished within 3 s; requests that are not read by then are rejected without having run.
const PIPELINING_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a connection until either side closes it.
pub async fn run(stream: TcpStream, front: Rc<Front>, connection: ClientConnection) {
    let _ = stream.set_nodelay(true);
    let mut session = ClientSession {
        front,
        buffer: ReceiveBuffer::default(),
        parser: http::RequestParser::default(),
        pipelined: None,
        overrun: false,
        client: ClientLiveness::default(),
        first_request_deadline: Some(Instant::now() + REQUEST_READ_TIMEOUT),
        pipelining_since: None,
        reached_core: false,
        local_reply_time: LocalReplyTime::default(),
        connection,
        stream,
    };
    while session.serve_request().await.is_continue() {}
}

/// The state of a connection between two requests.
struct ClientSession {
    front: Rc<Front>,
    /// Bytes that were received and not yet parsed.
    buffer: ReceiveBuffer,
    /// The part of the next request that was parsed.
    parser: http::RequestParser,
    /// The next request, if it was pipelined and has been parsed.
    pipelined: Option<Result<ReceivedRequest, http::MessageError>>,
    /// Whether the client pipelined more than the buffer holds; the excess bytes were discarded.
    overrun: bool,
    /// Whether the client is known to be connected.
    client: ClientLiveness,
    /// Time by which the first request must be complete; `None` once the wait for it has begun.
    first_request_deadline: Option<Instant>,
    /// Receipt of the first in a run of pipelined requests; `None` if no request was in the buffer after the last
    /// response.
    pipelining_since: Option<Instant>,
    /// Whether the last request was queued for the core.
    reached_core: bool,
    /// Time that requests took which were answered without the core.
    local_reply_time: LocalReplyTime,
    connection: ClientConnection,
    stream: TcpStream,
}

impl ClientSession {
    /// Serves the next request. Returns `Break` once the connection is to be dropped.
    async fn serve_request(&mut self) -> ControlFlow<()> {
        let ReceivedRequest {
            request,
            arrived_at,
        } = match self.next_request().await {
            Ok(NextRequest::Received(received)) => received,
            Ok(NextRequest::ClientDisconnected) => return ControlFlow::Break(()),
            Ok(NextRequest::IdleClose) => {
                self.linger(IDLE_LINGER_TIMEOUT).await;
                return ControlFlow::Break(());
            }
            Err(error) => return self.reject_unreadable(error).await,
        };
        let received_at = Instant::now();
        self.reached_core = false;
        let overloaded =
            self.front.connections.in_flight_count() > self.front.limits.max_active_clients;
        let close_requested = request.close_requested;
        let Ok(reply) = self.answer(request, arrived_at, overloaded).await else {
            return ControlFlow::Break(());
        };
        // Each request that was received is owed an answer, unless its client asked for the close before it.
        self.look_ahead();
        let is_stopping = overloaded || is_stopping(*self.front.phase.borrow());
        let close = close_requested || is_stopping && self.pipelined.is_none();
        if !self.write(reply, close).await {
            return ControlFlow::Break(());
        }
        self.connection.answer_sent(self.front.clock.now());
        if close {
            return self.close(close_requested).await;
        }
        self.throttle(received_at).await;
        self.limit_pipelining(received_at).await
    }

    /// Lets other tasks run after a request, and pauses if this client's requests are answered without the core.
    async fn throttle(&mut self, received_at: Instant) {
        if self.reached_core {
            self.local_reply_time = LocalReplyTime::default();
            return tokio::task::yield_now().await;
        }
        self.local_reply_time.add(received_at.elapsed());
        let throttle = &self.front.connections.local_replies;
        throttle.pause(&mut self.local_reply_time).await;
    }

    /// Returns the response to a request. The request is checked against its description even if it is not forwarded to
    /// the core.
    async fn answer(
        &mut self,
        request: http::Request,
        arrived_at: Time,
        overloaded: bool,
    ) -> Result<Reply, ClientDisconnected> {
        let contracts = self.front.contracts.current();
        let contract_check = self.check_contract(&contracts, &request);
        let path = request.target.split('?').next().unwrap_or("");
        let reply = if path == health::PATH {
            health::reply(&self.front, &request.method)
        } else if overloaded {
            self.front.retry_later_reply(503, "too many connections")
        } else if let Err(rejection) = &contract_check {
            self.front.error_reply(400, &rejection.to_string())
        } else {
            self.forward(request, arrived_at, contracts).await?
        };
        if let Ok(Some(sampled)) = contract_check {
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

    /// Checks a request against the front's description, if one is in force. An error means that the request must not
    /// be served.
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

    /// Answers a request with the front's protocol.
    async fn forward(
        &mut self,
        request: http::Request,
        arrived_at: Time,
        contracts: ContractsInForce,
    ) -> Result<Reply, ClientDisconnected> {
        let front = &*self.front;
        let mut exchange = Exchange {
            front,
            stream: &mut self.stream,
            buffer: &mut self.buffer,
            overrun: &mut self.overrun,
            connection: &self.connection,
            reached_core: &mut self.reached_core,
            client: &self.client,
            contracts,
        };
        match front.kind {
            FrontKind::Platform => {
                platform::answer(front, request, arrived_at, &mut exchange).await
            }
            FrontKind::OpenSearch => {
                opensearch::answer(front, request, arrived_at, &mut exchange).await
            }
        }
    }

    /// Rejects a request that can't be received completely or parsed, and closes the connection.
    async fn reject_unreadable(&mut self, error: http::MessageError) -> ControlFlow<()> {
        self.connection.mark_answer_pending();
        let reply = match error.is_transient() {
            true => self
                .front
                .retry_later_reply(error.status(), error.message()),
            false => self.front.error_reply(error.status(), error.message()),
        };
        let _ = self.write(reply, true).await;
        self.connection.answer_sent(self.front.clock.now());
        match error {
            http::MessageError::Overloaded => self.close_at_once().await,
            _ => self.linger(LINGER_TIMEOUT).await,
        }
        ControlFlow::Break(())
    }

    /// Reserves the memory that the connection's buffers occupy now, which is less than before.
    fn reserve_buffers(&self) {
        // Shrinking a reservation never fails.
        let _ = self.connection.try_reserve(self.buffer.allocated());
    }

    /// Rejects the requests left in the buffer once a client has pipelined for too long.
    async fn limit_pipelining(&mut self, received_at: Instant) -> ControlFlow<()> {
        let has_more = self.pipelined.is_some() || self.buffer.has_more();
        self.pipelining_since = self
            .pipelining_since
            .filter(|_| has_more)
            .or(has_more.then_some(received_at));
        let too_long = self
            .pipelining_since
            .is_some_and(|since| since.elapsed() > PIPELINING_TIMEOUT);
        match too_long {
            true => self.reject_pipelined().await,
            false => ControlFlow::Continue(()),
        }
    }

    /// Rejects each pipelined request that was received, in order, then what was received of another one or discarded, and
    /// closes the connection.
    async fn reject_pipelined(&mut self) -> ControlFlow<()> {
        let error = http::MessageError::ExcessPipelining;
        let mut is_owed = self.pipelined.is_some() || self.buffer.has_more() || self.overrun;
        while is_owed {
            let is_request = matches!(self.pipelined.take(), Some(Ok(_)));
            if is_request {
                self.look_ahead();
            }
            // A request that was not received completely is told of once.
            let has_more = self.pipelined.is_some() || self.buffer.has_more() || self.overrun;
            is_owed = is_request && has_more;
            let reply = self
                .front
                .retry_later_reply(error.status(), error.message());
            if !self.write(reply, !is_owed).await {
                return ControlFlow::Break(());
            }
        }
        self.linger(LINGER_TIMEOUT).await;
        ControlFlow::Break(())
    }

    /// Closes the connection after its last response. A client that did not request the close may have sent more, and
    /// closing with unread bytes would reset the connection before the client has read the response.
    async fn close(&mut self, close_requested: bool) -> ControlFlow<()> {
        if !close_requested || self.pipelined.is_some() || !self.buffer.bytes.is_empty() {
            self.linger(LINGER_TIMEOUT).await;
        }
        ControlFlow::Break(())
    }

    /// Writes a response. Returns whether it was written completely within [`WRITE_TIMEOUT`].
    async fn write(&mut self, reply: Reply, close: bool) -> bool {
        let bytes = http::write_response(
            reply.status,
            reply.content_type,
            &reply.headers,
            close,
            &reply.body,
        );
        drop(reply);
        let write = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes));
        matches!(write.await, Ok(Ok(())))
    }
}

/// Returns whether connections are closed after their next response in this phase.
fn is_stopping(phase: ServingPhase) -> bool {
    matches!(
        phase,
        ServingPhase::DrainedByOperator
            | ServingPhase::ShuttingDown
            | ServingPhase::IdleConnectionsClosing
            | ServingPhase::PartialRequestsRejected
    )
}
