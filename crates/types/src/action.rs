//! Actions that a router asks its caller to carry out.

use crate::{RequestId, Seconds, ServerId, Time};

/// An action that the caller of a router carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends a part to a server as a new attempt.
    Send {
        /// Part to send.
        part: RequestId,
        /// Server that the attempt goes to.
        server: ServerId,
        /// Moment at which the attempt times out if it is still unanswered.
        deadline: Time,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// Part that the attempt belongs to.
        part: RequestId,
        /// Number of the attempt among those of its part, from 0.
        attempt: u8,
    },
    /// Sends a health check to a server, which answers with its load report.
    HealthCheck(ServerId),
    /// Ends a step of a query with the answers to its parts.
    Answer {
        /// Query whose current step ends.
        query: RequestId,
        /// Whether the answer is complete; a partial answer otherwise.
        is_complete: bool,
    },
    /// Ends a query without an answer, in a state in which a retry by the client is safe.
    Reject {
        /// Query that ends.
        query: RequestId,
        /// Seconds for which the client should wait before it retries; `None` if no advice is passed on.
        retry_after: Option<Seconds>,
    },
    /// Ends a query without an answer although one of its parts may have run.
    Fail {
        /// Query that ends.
        query: RequestId,
    },
    /// Calls the router again at this moment, with [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer(Time),
    /// Subscribes to changes of the endpoint list from now on.
    SubscribeEndpoints,
}
