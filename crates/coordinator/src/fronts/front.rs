//! What all connections of one front share.

use super::client_connections::ClientConnections;
use super::reply::Reply;
use super::{opensearch, platform};
use crate::clock::Clock;
use crate::configuration::ConnectionLimits;
use crate::contract::Contracts;
use crate::messages::{ClientRequest, ServedConfiguration, ServingPhase};
use cairnroad_contract::drift::Interface;
use cairnroad_types::Seconds;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Longest Retry-After where this machine is full or shuts down.
const MAX_RETRY_AFTER: Seconds = 1.0;
/// The same in shortest latency objectives: a client that should return after its deadline never does.
const MAX_RETRY_AFTER_OBJECTIVES: f64 = 1.0;

/// A client protocol.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    /// The platform's own, `POST /api`.
    Platform,
    /// The query API, `_search` and `_msearch`.
    OpenSearch,
}

/// One front: its protocol, and its handles to the rest of the program.
pub struct Front {
    /// The classes and indices that clients may use; a reload changes it.
    pub served: watch::Receiver<Arc<ServedConfiguration>>,
    /// The queue to the routing core.
    pub request_queue: mpsc::Sender<ClientRequest>,
    /// The program's clock.
    pub clock: Clock,
    /// Whether the program starts, serves, drains or shuts down.
    pub phase: watch::Receiver<ServingPhase>,
    /// Limits on connections, of all fronts together.
    pub limits: ConnectionLimits,
    /// The connections of all fronts.
    pub connections: Rc<ClientConnections>,
    /// The protocol that this front speaks.
    pub kind: FrontKind,
    /// State of the generator of names for requests that bring none.
    pub request_name_state: Cell<u64>,
    /// The API descriptions that requests and answers are checked against.
    pub contracts: Rc<Contracts>,
}

impl Front {
    /// The classes and indices in force now.
    pub fn served(&self) -> Arc<ServedConfiguration> {
        self.served.borrow().clone()
    }

    /// When a client may return that this machine has no capacity for, in seconds.
    pub fn retry_after(&self) -> Seconds {
        let shortest_objective = self.served.borrow().deployment.shortest_latency_objective();
        MAX_RETRY_AFTER.min(MAX_RETRY_AFTER_OBJECTIVES * shortest_objective)
    }

    /// A name for a request that brings none, different from any other of this or another coordinator.
    pub fn generate_request_name(&self) -> String {
        let number = self
            .request_name_state
            .get()
            .wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.request_name_state.set(number);
        let mixed = (number ^ (number >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        format!("{:016x}", mixed ^ (mixed >> 29))
    }

    /// The description that requests of this front are checked against.
    pub fn interface(&self) -> Interface {
        match self.kind {
            FrontKind::Platform => Interface::Platform,
            FrontKind::OpenSearch => Interface::Query,
        }
    }

    /// An error response in this front's form.
    pub fn error_reply(&self, status: u16, text: &str) -> Reply {
        match self.kind {
            FrontKind::Platform => platform::error_reply(status, text),
            FrontKind::OpenSearch => {
                opensearch::error_reply(status, "illegal_argument_exception", text)
            }
        }
    }

    /// An error response with a Retry-After, in this front's form.
    pub fn retry_later_reply(&self, status: u16, text: &str) -> Reply {
        match self.kind {
            FrontKind::Platform => platform::retry_later_reply(status, text, self.retry_after()),
            FrontKind::OpenSearch => {
                opensearch::retry_later_reply(status, text, self.retry_after())
            }
        }
    }
}
