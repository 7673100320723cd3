//! The bounded queue between the fronts and the core.

use crate::messages::{Answer, ClientRequest};
use cairnroad_types::Seconds;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of requests that wait for the core's next tick.
pub const REQUEST_QUEUE_CAPACITY: usize = 256;

/// The receiving end of the queue, owned by the core.
pub struct RequestReceiver(mpsc::Receiver<ClientRequest>);

impl RequestReceiver {
    /// Wraps the receiving end of the fronts' channel.
    pub fn new(requests: mpsc::Receiver<ClientRequest>) -> Self {
        RequestReceiver(requests)
    }

    /// Removes and returns all queued requests, in order of arrival.
    pub fn drain(&mut self) -> Vec<ClientRequest> {
        std::iter::from_fn(|| self.0.try_recv().ok()).collect()
    }
}

/// Submits a front's request to the core, which answers it later. Returns whether it was queued.
///
/// If the queue is full or the core has ended, the request is rejected immediately; `retry_after` is the Retry-After of
/// that rejection.
pub fn submit(
    core: &mpsc::Sender<ClientRequest>,
    client: ClientRequest,
    retry_after: Seconds,
) -> bool {
    let Err(rejected) = core.try_send(client) else {
        return true;
    };
    reject(rejected.into_inner().reply, retry_after);
    false
}

/// Returns the channel of a request that is rejected because the coordinator has no capacity for it.
pub fn rejection(retry_after: Seconds) -> oneshot::Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    reject(reply, retry_after);
    answer
}

fn reject(reply: oneshot::Sender<Answer>, retry_after: Seconds) {
    // Sending fails only if nobody waits for the answer any more.
    let _ = reply.send(Answer::Rejected {
        retry_after,
        over_capacity: true,
    });
}
