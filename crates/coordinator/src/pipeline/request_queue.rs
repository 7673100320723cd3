//! RequestReceiver: the bounded queue between the fronts and the core.

use crate::messages::{Answer, ClientRequest, Request};
use tokio::sync::{mpsc, oneshot};

/// Requests that may wait for the core's next tick.
pub const REQUEST_QUEUE_CAPACITY: usize = 256;
/// The core's end.
pub struct RequestReceiver(mpsc::Receiver<ClientRequest>);

impl RequestReceiver {
    pub fn new(asks: mpsc::Receiver<ClientRequest>) -> Self {
        RequestReceiver(asks)
    }

    /// All that came since the last tick.
    pub fn drain(&mut self) -> Vec<ClientRequest> {
        std::iter::from_fn(|| self.0.try_recv().ok()).collect()
    }
}

/// A front's end: hands a request over and returns where its answer will come. With the queue full, that is a
/// refusal at once, with this advice in seconds.
pub fn submit(
    core: &mpsc::Sender<ClientRequest>,
    request: Request,
    advice: f64,
) -> oneshot::Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    if let Err(fault) = core.try_send(ClientRequest { request, reply }) {
        let (mpsc::error::TrySendError::Full(client) | mpsc::error::TrySendError::Closed(client)) =
            fault;
        let _ = client.reply.send(Answer::Rejected {
            retry_after: advice,
            busy: true,
        });
    }
    answer
}
