//! One HTTP/1.1 connection to the discovery agent.

use crate::connections::socket::READ_SIZE;
use crate::http;
use crate::memory::MemoryReservation;
use crate::messages::ContractsInForce;
use bytes::BytesMut;
use cairnroad_discovery_watch::{PollRequest, WatchError, CONNECT_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of an endpoint list in bytes.
const MAX_LIST_BYTES: usize = 1024 * 1024;
/// Maximum size of the lists that are received on all connections at once, in bytes.
pub(super) const MAX_LIST_MEMORY: usize = 2 * MAX_LIST_BYTES;
/// The fault of a list that does not fit into [`MAX_LIST_MEMORY`] beside others.
const LISTS_TOO_LARGE: &str = "several lists at once are too large";
const STATUS_OK: u16 = 200;

/// An open connection to the agent.
pub(super) struct AgentConnection {
    agent: SocketAddr,
    stream: TcpStream,
    /// Bytes that were read but not parsed yet.
    buffer: BytesMut,
    /// The memory of the list that is being received.
    memory: MemoryReservation,
}

/// A response of the agent, and the connection on which it arrived.
pub(super) struct PolledResponse {
    pub(super) connection: AgentConnection,
    pub(super) response: http::Response,
    /// The descriptions that were in force when the poll was sent.
    pub(super) contracts: ContractsInForce,
}

impl AgentConnection {
    /// Connects to the agent at an address.
    pub(super) async fn open(
        agent: SocketAddr,
        memory: MemoryReservation,
    ) -> Result<AgentConnection, WatchError> {
        let time_limit = Duration::from_secs_f64(CONNECT_TIMEOUT);
        let stream = timeout(time_limit, TcpStream::connect(agent))
            .await
            .map_err(|_| WatchError::ConnectTimeout {
                secs: CONNECT_TIMEOUT,
            })??;
        let _ = stream.set_nodelay(true);
        Ok(AgentConnection {
            agent,
            stream,
            buffer: BytesMut::new(),
            memory,
        })
    }

    /// Sends a poll for a request target and waits for its response. Any status but 200 is an error.
    pub(super) async fn poll(
        mut self,
        target: String,
        contracts: ContractsInForce,
    ) -> Result<PolledResponse, WatchError> {
        let response = self.exchange(&target).await?;
        if response.status != STATUS_OK {
            return Err(WatchError::UnexpectedStatus(response.status));
        }
        Ok(PolledResponse {
            connection: self,
            response,
            contracts,
        })
    }

    async fn exchange(&mut self, target: &str) -> Result<http::Response, WatchError> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.agent);
        self.stream.write_all(request.as_bytes()).await?;
        let mut parser = http::ResponseParser::new(MAX_LIST_BYTES);
        loop {
            self.buffer.reserve(READ_SIZE);
            let is_closed = self.stream.read_buf(&mut self.buffer).await? == 0;
            let parsed = parser
                .parse(&mut self.buffer, is_closed)
                .map_err(|error| WatchError::MalformedResponse(error.message()))?;
            if let Some(response) = parsed {
                // Shrinking a reservation never fails.
                let _ = self.memory.resize(0);
                return Ok(response);
            }
            if is_closed {
                return Err(WatchError::ConnectionClosed);
            }
            if !self.memory.resize(parser.body_size()) {
                return Err(WatchError::MalformedResponse(LISTS_TOO_LARGE));
            }
        }
    }
}

/// Returns the request target of a poll.
pub(super) fn target(request: PollRequest) -> String {
    match request {
        PollRequest::Snapshot => "/catalog/members".to_string(),
        PollRequest::Changes {
            revision,
            max_wait_ms,
        } => format!("/catalog/members?from={revision}&hold_ms={max_wait_ms}"),
    }
}
