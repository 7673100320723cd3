//! The bounded queue between the fronts and the core.

use crate::messages::{Answer, ClientRequest, Request};
use cairnroad_types::Seconds;
use tokio::sync::{mpsc, oneshot};

/// How many requests may wait for the core's next tick.
pub const REQUEST_QUEUE_CAPACITY: usize = 256;

/// The core's end of the queue.
pub struct RequestReceiver(mpsc::Receiver<ClientRequest>);

impl RequestReceiver {
    /// Wraps the receiving end of the fronts' channel.
    pub fn new(requests: mpsc::Receiver<ClientRequest>) -> Self {
        RequestReceiver(requests)
    }

    /// Takes all requests that arrived since the last call.
    pub fn drain(&mut self) -> Vec<ClientRequest> {
        std::iter::from_fn(|| self.0.try_recv().ok()).collect()
    }
}

/// Submits a front's request to the core and returns where its final answer arrives.
///
/// If the queue is full or the core has ended, the answer is an immediate rejection with `retry_after` seconds.
pub fn submit(
    core: &mpsc::Sender<ClientRequest>,
    request: Request,
    retry_after: Seconds,
) -> oneshot::Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    if let Err(rejected) = core.try_send(ClientRequest { request, reply }) {
        let client = rejected.into_inner();
        // The receiving end is still in this function: the send can't fail.
        let _ = client.reply.send(Answer::Rejected {
            retry_after,
            over_capacity: true,
        });
    }
    answer
}
