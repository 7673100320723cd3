//! Requests as the fronts hand them to the core.

use super::Answer;
use cairnroad_contract::enforcement::ActiveContracts;
use cairnroad_types::{Seconds, Time};
use std::sync::Arc;
use tokio::sync::oneshot;

/// One part of a request: a shard, and the part's share of the complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// The shard that answers the part.
    pub shard: u32,
    /// Share of the complete answer; the shares of a request sum to one.
    pub weight: f64,
}

/// The payload that every part of a request carries unchanged.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Opaque text, meaningful to the client and the servers only.
    Plain(Arc<str>),
    /// A JSON object of the query language.
    Query(Arc<str>),
}

impl Payload {
    /// The payload's text, whichever kind it is.
    pub fn as_str(&self) -> &str {
        match self {
            Payload::Plain(text) | Payload::Query(text) => text,
        }
    }
}

/// The API descriptions in force when a request arrived; `None` where none were.
pub type ContractsInForce = Option<Arc<ActiveContracts>>;

/// A client's request, independent of the front that read it.
#[derive(Debug)]
pub struct Request {
    /// The request id that servers see, unique among recent requests.
    pub external_id: Arc<str>,
    /// Index of the request class in the deployment's class table.
    pub class: usize,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Whether the client marked the request as a retry of an earlier one.
    pub client_retry: bool,
    /// Expected work, if the client stated it.
    pub expected_work: Option<Seconds>,
    /// The parts that make up the complete answer.
    pub parts: Vec<PartSpec>,
    /// The payload of every part.
    pub payload: Payload,
    /// The descriptions that the servers' answers are checked against.
    pub contracts: ContractsInForce,
}

/// A request and the channel for its final answer.
///
/// A front that drops the receiving end has lost its client; the core then withdraws the request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request.
    pub request: Request,
    /// Receives exactly one final answer.
    pub reply: oneshot::Sender<Answer>,
}
