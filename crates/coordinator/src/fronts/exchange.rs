//! One request's way to the routing core and back, while the connection is watched for a client that disconnects.

use super::front::Front;
use crate::messages::{Answer, ContractsInForce, Request};
use crate::pipeline::request_queue;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Bytes that a client may pipeline while its answer is made. Clients usually send one request at a time.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Bytes that are discarded before a pause: a client that floods must not take a whole CPU.
const DISCARD_BURST: usize = 256 * 1024;
/// The pause after such a burst.
const DISCARD_PAUSE: Duration = Duration::from_millis(5);
/// Bytes that one read discards at most.
const DISCARD_BUFFER: usize = 16 * 1024;

/// The client closed or reset its connection before it had its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the client closed its connection")]
pub struct ClientGone;

/// A connection that waits for final answers.
pub struct Exchange<'a> {
    /// The front that the connection belongs to.
    pub front: &'a Front,
    /// The client's connection, read for pipelined bytes and for its end.
    pub stream: &'a mut TcpStream,
    /// Where pipelined bytes go.
    pub buffer: &'a mut Vec<u8>,
    /// Set once the client has pipelined more than is buffered: what lies behind the buffer is lost.
    pub overrun: &'a mut bool,
    /// The API descriptions that were in force when the request came.
    pub contracts: ContractsInForce,
}

impl Exchange<'_> {
    /// Queues the requests for the core together and waits for their final answers, which come in the same order. A
    /// client that closes its connection meanwhile withdraws them.
    pub async fn submit(&mut self, requests: Vec<Request>) -> Result<Vec<Answer>, ClientGone> {
        let retry_after = self.front.retry_after();
        let submitted = requests.into_iter().map(|mut request| {
            request.contracts = self.contracts.clone();
            request.deadline = self.front.connections.cap_deadline(request.deadline);
            request_queue::submit(&self.front.request_queue, request, retry_after)
        });
        let waiting: Vec<_> = submitted.collect();
        let answers = async {
            let mut all = Vec::with_capacity(waiting.len());
            for answer in waiting {
                all.push(answer.await.unwrap_or(Answer::Failed { timed_out: false }));
            }
            all
        };
        tokio::pin!(answers);
        loop {
            *self.overrun |= self.buffer.len() >= MAX_PIPELINED_BYTES;
            if *self.overrun {
                // Reading goes on all the same: the client's disconnect lies behind what it sent.
                tokio::select! {
                    biased;
                    all = &mut answers => return Ok(all),
                    () = discard(self.stream) => return Err(ClientGone),
                }
            }
            tokio::select! {
                biased;
                all = &mut answers => return Ok(all),
                read = self.stream.read_buf(self.buffer) => match read {
                    Ok(0) | Err(_) => return Err(ClientGone),
                    Ok(_) => {}
                },
            }
        }
    }
}

/// Reads and discards what still comes, at a bounded pace. Returns once the client has closed or reset its connection.
pub async fn discard(stream: &mut TcpStream) {
    let mut discarded = vec![0; DISCARD_BUFFER];
    loop {
        let mut left = DISCARD_BURST;
        while left > 0 {
            match stream.read(&mut discarded).await {
                Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
                _ => return,
            }
        }
        tokio::time::sleep(DISCARD_PAUSE).await;
    }
}
