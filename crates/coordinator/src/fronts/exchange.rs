//! Submits requests to the core and waits for their answers, while watching for the client's disconnect.

use super::front::Front;
use crate::messages::{Answer, ClientLiveness, ContractsInForce, Request};
use crate::pipeline::request_queue;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

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
    pub buffer: &'a mut BytesMut,
    /// Set once the client has pipelined more than the buffer holds; the excess bytes are discarded.
    pub overrun: &'a mut bool,
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
        let receivers = requests.into_iter().map(|mut request| {
            request.contracts = self.contracts.clone();
            request.client = self.client.clone();
            request.deadline = self.front.connections.cap_deadline(request.deadline);
            request_queue::submit(&self.front.request_queue, request, retry_after)
        });
        let receivers: Vec<_> = receivers.collect();
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
            *self.overrun |= self.buffer.len() >= MAX_PIPELINED_BYTES;
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
                read = self.stream.read_buf(self.buffer) => match read {
                    Ok(0) | Err(_) => return Err(ClientDisconnected),
                    Ok(_) => {}
                },
            }
        }
    }
}
