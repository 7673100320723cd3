//! Submits requests to the core and waits for their answers, while watching for the client's disconnect.

use super::client_connections::ClientConnection;
use super::front::Front;
use crate::connections::receive_buffer::ReceiveBuffer;
use crate::messages::{Answer, ClientLiveness, ClientRequest, ContractsInForce, Request};
use crate::pipeline::request_queue;
use cairnroad_types::Seconds;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Maximum number of bytes buffered from a client that pipelines while its answer is pending. Clients usually send one
/// request at a time.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

/// The error of a client that closed or reset its connection before it received its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the client closed its connection")]
pub struct ClientDisconnected;

/// A client connection whose requests are submitted to the core.
pub struct Exchange<'a> {
    /// The front that accepted the connection.
    pub front: &'a Front,
    /// The client's connection, which is read for pipelined bytes and a disconnect.
    pub stream: &'a mut TcpStream,
    /// The buffer for pipelined bytes.
    pub buffer: &'a mut ReceiveBuffer,
    /// Set once the client has pipelined more than the buffer holds; the excess bytes are discarded.
    pub overrun: &'a mut bool,
    /// The connection's slot, which accounts for its memory.
    pub connection: &'a ClientConnection,
    /// Set once a request was queued for the core.
    pub reached_core: &'a mut bool,
    /// Whether the client is known to be connected.
    pub client: &'a ClientLiveness,
    /// The interface descriptions that were in force when the request arrived.
    pub contracts: ContractsInForce,
}

impl Exchange<'_> {
    /// Queues the requests for the core and waits for their final answers, which are returned in the same order. If the
    /// client disconnects meanwhile, the requests are withdrawn.
    pub async fn submit(
        &mut self,
        requests: Vec<Request>,
    ) -> Result<Vec<Answer>, ClientDisconnected> {
        let retry_after = self.front.retry_after();
        // The message that the requests were parsed from is gone.
        let _ = self.connection.try_reserve(self.buffer.allocated());
        let receivers: Vec<_> = requests
            .into_iter()
            .map(|request| self.submit_one(request, retry_after))
            .collect();
        let answers = async {
            let mut answers = Vec::with_capacity(receivers.len());
            for receiver in receivers {
                answers.push(
                    receiver
                        .await
                        .unwrap_or(Answer::Failed { timed_out: false }),
                );
            }
            answers
        };
        tokio::pin!(answers);
        let discards = &self.front.connections.discards;
        loop {
            *self.overrun |= self.buffer.bytes.len() >= MAX_PIPELINED_BYTES
                || !self.connection.try_reserve(self.buffer.size_for_read());
            if *self.overrun {
                // The bytes are discarded but still read, because a disconnect is only seen behind them.
                let disconnect =
                    discards.discard_until_disconnect(self.stream, self.client, &self.front.clock);
                tokio::select! {
                    biased;
                    answers = &mut answers => return Ok(answers),
                    () = disconnect => return Err(ClientDisconnected),
                }
            }
            tokio::select! {
                biased;
                answers = &mut answers => return Ok(answers),
                read = self.buffer.receive(self.stream, &self.front.clock) => match read {
                    Ok(0) | Err(_) => return Err(ClientDisconnected),
                    Ok(_) => {}
                },
            }
        }
    }

    /// Queues one request for the core. Without enough memory for its attempts, it is rejected at once.
    fn submit_one(
        &mut self,
        mut request: Request,
        retry_after: Seconds,
    ) -> oneshot::Receiver<Answer> {
        let connections = &self.front.connections;
        match connections.reserve_for_request(request.size()) {
            None => return request_queue::rejection(retry_after),
            Some(memory) => request.memory = Some(Rc::new(memory)),
        }
        request.contracts = self.contracts.clone();
        request.client = self.client.clone();
        request.deadline = connections.cap_deadline(request.deadline);
        let (reply, answer) = oneshot::channel();
        let client = ClientRequest { request, reply };
        *self.reached_core |= request_queue::submit(&self.front.request_queue, client, retry_after);
        answer
    }
}
