//! State shared by all connections of one front.

use super::client_connections::ClientConnections;
use super::reply::Reply;
use super::{opensearch, platform};
use crate::clock::Clock;
use crate::configuration::ConnectionLimits;
use crate::contract::Contracts;
use crate::messages::{ClientRequest, IdempotencyKey, ServedConfiguration, ServingPhase};
use cairnroad_contract::drift::Interface;
use cairnroad_types::Seconds;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Upper bound of the Retry-After if the coordinator is out of capacity or shuts down.
const MAX_RETRY_AFTER: Seconds = 1.0;
/// The same bound as a multiple of the shortest latency objective: a client that is told to retry after its deadline
/// never does.
const MAX_RETRY_AFTER_OBJECTIVES: f64 = 1.0;

/// The protocol of a front.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    /// The platform's own protocol, `POST /api`.
    Platform,
    /// The query API, `_search` and `_msearch`.
    OpenSearch,
}

/// A front: its protocol, and its handles to other subsystems.
pub struct Front {
    /// The classes and indices that clients may request; a reload replaces them.
    pub served: watch::Receiver<Arc<ServedConfiguration>>,
    /// The queue of requests to the core.
    pub request_queue: mpsc::Sender<ClientRequest>,
    /// The program's clock, for arrival times and deadlines.
    pub clock: Clock,
    /// The serving phase of the process.
    pub phase: watch::Receiver<ServingPhase>,
    /// Limits on connections, for all fronts together.
    pub limits: ConnectionLimits,
    /// The client connections of all fronts.
    pub connections: Rc<ClientConnections>,
    /// The protocol that this front speaks.
    pub kind: FrontKind,
    /// State of the generator of names for requests without one.
    pub request_name_state: Cell<u64>,
    /// The interface descriptions that requests and responses are checked against.
    pub contracts: Rc<Contracts>,
}

impl Front {
    /// Returns the classes and indices in force.
    pub fn served_configuration(&self) -> Arc<ServedConfiguration> {
        self.served.borrow().clone()
    }

    /// Returns the Retry-After for requests that the coordinator has no capacity for.
    pub fn retry_after(&self) -> Seconds {
        let shortest_objective = self.served.borrow().deployment.shortest_latency_objective();
        MAX_RETRY_AFTER.min(MAX_RETRY_AFTER_OBJECTIVES * shortest_objective)
    }

    /// Generates a name for a request without one. The names differ from each other and, as each coordinator has its
    /// own seed, from those of other coordinators.
    pub fn generate_request_name(&self) -> String {
        format!("{:016x}", self.next_request_number())
    }

    /// Generates the idempotency key of a query whose protocol states none. The time makes it differ from the keys that
    /// this coordinator generated before a restart, which servers may still remember.
    pub fn generate_idempotency_key(&self) -> IdempotencyKey {
        let microseconds = self.clock.now().0;
        IdempotencyKey::from_halves(self.next_request_number(), microseconds as u64)
    }

    fn next_request_number(&self) -> u64 {
        let number = self
            .request_name_state
            .get()
            .wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.request_name_state.set(number);
        let mixed = (number ^ (number >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^ (mixed >> 29)
    }

    /// Returns the interface whose description the requests of this front are checked against.
    pub fn interface(&self) -> Interface {
        match self.kind {
            FrontKind::Platform => Interface::Platform,
            FrontKind::OpenSearch => Interface::Query,
        }
    }

    /// Returns an error response in this front's protocol.
    pub fn error_reply(&self, status: u16, text: &str) -> Reply {
        match self.kind {
            FrontKind::Platform => platform::error_reply(status, text),
            FrontKind::OpenSearch => {
                opensearch::error_reply(status, "illegal_argument_exception", text)
            }
        }
    }

    /// Returns an error response with a Retry-After in this front's protocol.
    pub fn retry_later_reply(&self, status: u16, text: &str) -> Reply {
        match self.kind {
            FrontKind::Platform => platform::retry_later_reply(status, text, self.retry_after()),
            FrontKind::OpenSearch => {
                opensearch::retry_later_reply(status, text, self.retry_after())
            }
        }
    }
}
