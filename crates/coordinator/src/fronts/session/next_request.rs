//! Waits for the next request of a connection, or for an event that ends the wait.

use super::{is_stopping, ClientSession};
use crate::clock::Clock;
use crate::connections::receive_buffer::ReceiveBuffer;
use crate::fronts::client_connections::ClientConnection;
use crate::http;
use crate::messages::ServingPhase;
use cairnroad_types::Time;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum idle time between two requests. Without a limit, idle clients would occupy all slots; a client that returns
/// later pays for a new connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for receiving a request, from its first byte; for a connection's first request, from the accept. A client
/// that sends nothing or half a request must be disconnected within 3 s of connecting, part of which it may have spent
/// in the backlog.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is still read after shutdown begins to close idle connections.
const SHUTDOWN_IDLE_GRACE: Duration = Duration::from_millis(100);
/// Additional time for which an idle connection stays open while an operator drains the coordinator. The load balancer
/// checks health ten times a second and sends no new clients 0.2 s after a failure; connected clients may send further
/// requests, whose responses announce the close.
const DRAINED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request, and the time from which its deadline counts.
pub struct ReceivedRequest {
    pub request: http::Request,
    pub arrived_at: Time,
}

/// The result of waiting for a connection's next request.
pub enum NextRequest {
    /// A complete request was received.
    Received(ReceivedRequest),
    /// The client closed the connection.
    ClientDisconnected,
    /// The idle connection is to be closed: it idled for too long, its slot is needed, or the program drains or shuts
    /// down.
    IdleClose,
}

impl ClientSession {
    /// Receives the connection's next request. Returns an error if the request can't be received completely or parsed.
    pub async fn next_request(&mut self) -> Result<NextRequest, http::MessageError> {
        let first_request_deadline = self.first_request_deadline.take();
        let mut idle_phase = self.front.phase.clone();
        let mut final_phase = self.front.phase.clone();
        let mut continue_sent = false;
        let mut first_byte_at: Option<Instant> = None;
        let idle_deadline = Instant::now() + IDLE_TIMEOUT;
        loop {
            if let Some(request) = self.parse_request()? {
                return Ok(NextRequest::Received(request));
            }
            if self.overrun {
                return Err(http::MessageError::ExcessPipelining);
            }
            if !continue_sent && self.parser.expects_continue() {
                continue_sent = true;
                if self.send_continue().await.is_err() {
                    return Ok(NextRequest::ClientDisconnected);
                }
            }
            let idle = self.update_idle_state();
            // A request has a single time-out from its first byte: bytes that trickle in don't extend it.
            let deadline = first_request_deadline.unwrap_or_else(|| match idle {
                true => idle_deadline,
                false => *first_byte_at.get_or_insert_with(Instant::now) + REQUEST_READ_TIMEOUT,
            });
            // `None` ends the wait of an idle connection, an error the wait for the rest of a request.
            let error = tokio::select! {
                biased;
                received = receive(&self.stream, &mut self.buffer, &mut self.parser, &self.connection, &self.front.clock) => match received {
                    Ok(0) | Err(_) => return Ok(NextRequest::ClientDisconnected),
                    Ok(_) => continue,
                },
                () = wait_for_idle_close(&mut idle_phase), if idle => None,
                () = wait_for_partial_rejection(&mut final_phase), if !idle => Some(http::MessageError::ShuttingDown),
                () = tokio::time::sleep_until(deadline) => (!idle).then_some(http::MessageError::ReceiveTimeout),
                () = self.connection.wait_for_eviction() => (!idle).then_some(http::MessageError::Overloaded),
            };
            // A request that has already arrived is still served; later bytes cross the close.
            let received_more = self.receive_available();
            if let Some(request) = self.parse_request()? {
                return Ok(NextRequest::Received(request));
            }
            match error {
                Some(error) => return Err(error),
                None if !received_more => return Ok(NextRequest::IdleClose),
                None => {}
            }
        }
    }

    /// Reads bytes that have already arrived, if there is memory for them. Returns whether any were read.
    fn receive_available(&mut self) -> bool {
        let size = self.buffer.size_for_read() + self.parser.size_after_parsing(&self.buffer.bytes);
        let has_read = self.connection.try_reserve(size)
            && matches!(self.buffer.read(&self.stream, &self.front.clock), Ok(bytes) if bytes > 0);
        has_read && self.try_reserve_parsing()
    }

    /// Reserves the memory for parsing what was received. Returns whether there was enough.
    fn try_reserve_parsing(&mut self) -> bool {
        let size = self.buffer.allocated() + self.parser.size_after_parsing(&self.buffer.bytes);
        self.connection.try_reserve(size)
    }

    /// Removes a complete request from the front of the buffer; `None` if there is none.
    fn parse_request(&mut self) -> Result<Option<ReceivedRequest>, http::MessageError> {
        self.look_ahead();
        let received = self.pipelined.take().transpose()?;
        if received.is_some() {
            self.connection.request_received(self.front.clock.now());
        }
        Ok(received)
    }

    /// Parses the next pipelined request, unless that has been done.
    pub fn look_ahead(&mut self) {
        if self.pipelined.is_some() {
            return;
        }
        // Without enough memory the request, of which all bytes are kept already, is parsed nevertheless.
        let _ = self.try_reserve_parsing();
        let begun = Instant::now();
        let parsed = self.parser.parse(&mut self.buffer.bytes).transpose();
        self.local_reply_time.add(begun.elapsed());
        let arrival = self.buffer.arrival_of_parsed();
        let arrived_at = arrival.unwrap_or_else(|| self.front.clock.earliest_arrival());
        self.pipelined = parsed.map(|parsed| {
            parsed.map(|request| ReceivedRequest {
                request,
                arrived_at,
            })
        });
    }

    async fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Marks the connection as idle if nothing of a request was received, or else as busy. Returns whether it is idle.
    fn update_idle_state(&mut self) -> bool {
        let idle = self.buffer.bytes.is_empty() && !self.parser.has_begun();
        if idle {
            self.buffer.release();
            self.reserve_buffers();
            self.connection.mark_idle(self.front.clock.now());
        } else {
            self.connection.mark_receiving(self.front.clock.now());
        }
        idle
    }
}

/// Waits for bytes of the client and reads them, once there is memory for them and for what is parsed from them.
async fn receive(
    stream: &TcpStream,
    buffer: &mut ReceiveBuffer,
    parser: &mut http::RequestParser,
    connection: &ClientConnection,
    clock: &Clock,
) -> std::io::Result<usize> {
    stream.readable().await?;
    let size = buffer.size_for_read() + parser.size_after_parsing(&buffer.bytes);
    connection.reserve(size, clock).await;
    let received = buffer.receive(stream, clock).await?;
    let size = buffer.allocated() + parser.size_after_parsing(&buffer.bytes);
    connection.reserve(size, clock).await;
    Ok(received)
}

/// Waits until idle connections are to be closed because of a drain or a shutdown. The delay is the same for
/// connections accepted after its begin, so that their first request has time to arrive.
async fn wait_for_idle_close(phase: &mut watch::Receiver<ServingPhase>) {
    let drained_by_operator = phase
        .wait_for(|phase| is_stopping(*phase) && *phase != ServingPhase::ShuttingDown)
        .await
        .is_ok_and(|phase| *phase == ServingPhase::DrainedByOperator);
    if drained_by_operator {
        tokio::time::sleep(DRAINED_IDLE_TIMEOUT).await;
    }
    tokio::time::sleep(SHUTDOWN_IDLE_GRACE).await;
}

/// Waits until partially received requests are to be rejected, at the end of a shutdown.
async fn wait_for_partial_rejection(phase: &mut watch::Receiver<ServingPhase>) {
    if phase
        .wait_for(|phase| *phase == ServingPhase::PartialRequestsRejected)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
