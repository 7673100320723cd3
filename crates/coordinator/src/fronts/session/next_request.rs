//! Waiting for a connection's next request, and for what ends that wait.

use super::{is_stopping, ClientSession};
use crate::connections::socket;
use crate::http;
use crate::messages::ServingPhase;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a connection may idle between two requests. Clients that stay for good would occupy all slots; one that
/// returns later pays for a new connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a request may take to be received, from its first byte; for a connection's first request, from the start of
/// the connection. A client that sends nothing, or half a request, has to have its end within 3 s of connecting, and it
/// may have waited in the backlog for some of that.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is still read once the program shuts down.
const SHUTDOWN_IDLE_GRACE: Duration = Duration::from_millis(100);
/// How long an idle connection stays open before that once operators drain the coordinator: the load balancer checks
/// health ten times a second and sends no new client 0.2 s after a failure, and present clients may still send requests
/// and learn from the answers that they should leave.
const DRAINED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Capacity that the buffer of an idle connection keeps, in bytes.
const IDLE_BUFFER_CAPACITY: usize = 4 * 1024;

/// How the wait for a connection's next request ended.
pub enum NextRequest {
    /// A complete request was read.
    Received(http::Request),
    /// The client closed the connection.
    ClientGone,
    /// The connection idled for too long, its slot is needed, or the program shuts down.
    IdleEnd,
}

impl ClientSession {
    /// Reads the connection's next request. `Err` says why it can't be read to its end.
    pub async fn next_request(&mut self) -> Result<NextRequest, http::MessageError> {
        let first_request_due = self.first_request_due.take();
        let mut idle_phase = self.front.phase.clone();
        let mut final_phase = self.front.phase.clone();
        let mut continue_sent = false;
        let mut begun: Option<Instant> = None;
        let idle_end = Instant::now() + IDLE_TIMEOUT;
        loop {
            if let Some(request) = self.parse_request()? {
                return Ok(NextRequest::Received(request));
            }
            if self.overrun {
                return Err(http::MessageError::Pipelined);
            }
            if !continue_sent && http::expects_continue(&self.buffer) {
                continue_sent = true;
                if self.send_continue().await.is_err() {
                    return Ok(NextRequest::ClientGone);
                }
            }
            let idle = self.update_idle_state();
            // From its first byte on a request has one time-out for all of it: bytes that trickle in don't renew it.
            let due = first_request_due.unwrap_or_else(|| match idle {
                true => idle_end,
                false => *begun.get_or_insert_with(Instant::now) + REQUEST_READ_TIMEOUT,
            });
            let error = tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer) => match read {
                    Ok(0) | Err(_) => return Ok(NextRequest::ClientGone),
                    Ok(_) => continue,
                },
                () = idle_connections_close(&mut idle_phase), if idle => None,
                () = partial_requests_end(&mut final_phase), if !idle => Some(http::MessageError::ShuttingDown),
                () = tokio::time::sleep_until(due) => (!idle).then_some(http::MessageError::ReceiveTimeout),
                () = self.connection.evicted(), if idle => None,
            };
            // A request that has already come is served first; what comes from now on crosses the close.
            let more_came = socket::read_available(&self.stream, &mut self.buffer);
            match error {
                Some(error) if !more_came || http::parse_request(&self.buffer)?.is_none() => {
                    return Err(error)
                }
                None if !more_came => return Ok(NextRequest::IdleEnd),
                _ => {}
            }
        }
    }

    /// Takes a complete request from the buffer, if there is one.
    fn parse_request(&mut self) -> Result<Option<http::Request>, http::MessageError> {
        let Some((request, length)) = http::parse_request(&self.buffer)? else {
            return Ok(None);
        };
        self.connection.request_received(self.front.clock.now());
        self.buffer.drain(..length);
        Ok(Some(request))
    }

    async fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Marks the connection as idle or busy, by whether part of a request has come. Returns whether it is idle.
    fn update_idle_state(&mut self) -> bool {
        let idle = self.buffer.is_empty();
        if idle {
            self.buffer.shrink_to(IDLE_BUFFER_CAPACITY);
            self.connection.mark_idle(self.front.clock.now());
        } else {
            self.connection.mark_busy();
        }
        idle
    }
}

/// Resolves once idle connections are closed, in a drain or a shutdown. A connection that came late in it gets the time
/// for its request to follow.
async fn idle_connections_close(phase: &mut watch::Receiver<ServingPhase>) {
    let drained = phase
        .wait_for(|phase| is_stopping(*phase) && *phase != ServingPhase::ShuttingDown)
        .await
        .is_ok_and(|phase| *phase == ServingPhase::DrainedByOperator);
    if drained {
        tokio::time::sleep(DRAINED_IDLE_TIMEOUT).await;
    }
    tokio::time::sleep(SHUTDOWN_IDLE_GRACE).await;
}

/// Resolves once requests that were received in part are rejected, at the end of a shutdown.
async fn partial_requests_end(phase: &mut watch::Receiver<ServingPhase>) {
    if phase
        .wait_for(|phase| *phase == ServingPhase::PartialRequestsRejected)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
