//! Requests as the fronts submit them to the core.

use super::{Answer, ClientLiveness, IdempotencyKey};
use crate::memory::MemoryReservation;
use cairnroad_contract::enforcement::ActiveContracts;
use cairnroad_types::{Seconds, Time};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// One part of a request: the shard to query, and the part's share of the complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// The shard to query.
    pub shard: u32,
    /// The part's share of the complete answer; the shares of a request sum to 1.
    pub weight: f64,
}

/// The payload that every part of a request carries unchanged.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Opaque text, which only the client and the servers interpret.
    Plain(Arc<str>),
    /// The JSON body of a search of the query API.
    Query(Arc<str>),
}

impl Payload {
    /// Returns the text of the payload, regardless of its kind.
    pub fn as_str(&self) -> &str {
        match self {
            Payload::Plain(text) | Payload::Query(text) => text,
        }
    }
}

/// The API descriptions that were active when a request arrived; `None` if there were none.
pub type ContractsInForce = Option<Arc<ActiveContracts>>;

/// A client's request, independent of the front that read it.
#[derive(Debug)]
pub struct Request {
    /// The request id that servers see, unique among recent requests. The internal id is assigned at admission.
    pub external_id: Arc<str>,
    /// Whether the client chose the external id, so that it may be used twice; generated ids never are.
    pub is_named_by_client: bool,
    /// The index of the request's class in the deployment's class table.
    pub class: usize,
    /// The time at which the client stops waiting.
    pub deadline: Time,
    /// Whether the client marked the request as a retry of an earlier one.
    pub client_retry: bool,
    /// The expected total work of all parts; `None` if the client did not state it.
    pub expected_work: Option<Seconds>,
    /// The parts of the request, each of which queries one shard.
    pub parts: Vec<PartSpec>,
    /// The key that every attempt carries; `None` unless the class is keyed.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The payload of every part.
    pub payload: Payload,
    /// The descriptions that the servers' answers are checked against.
    pub contracts: ContractsInForce,
    /// Whether the client is known to be connected.
    pub client: ClientLiveness,
    /// The memory that the payload occupies, with its copies in the attempts; `None` until the request is submitted.
    pub memory: Option<Rc<MemoryReservation>>,
}

impl Request {
    /// Returns the memory that the payload occupies, in bytes: the text itself, the front's copy of it, and the copy in
    /// the frame of each part.
    pub fn size(&self) -> usize {
        let copies = self.parts.len() + 2;
        self.payload.as_str().len().saturating_mul(copies)
    }
}

/// A request and the channel for its final answer.
///
/// A front drops the receiving end when its client disconnects; the core then withdraws the request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request to answer.
    pub request: Request,
    /// Receives exactly one final answer.
    pub reply: oneshot::Sender<Answer>,
}
