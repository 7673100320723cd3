//! What a router asks its caller to do.

use crate::{RequestId, Seconds, ServerId, Time};

/// Something to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a server.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// When the attempt is abandoned.
        deadline: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Ask a server for its load report.
    HealthCheck(ServerId),
    /// End a step of a query with what its parts returned.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is complete.
        is_complete: bool,
    },
    /// End a query unserved; a retry is harmless.
    Reject {
        /// The query.
        query: RequestId,
        /// Seconds for which the client should stay away.
        retry_after: Option<Seconds>,
    },
    /// End a query unserved; a part of it may have run.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Call again at this moment.
    SetTimer(Time),
    /// Subscribe to changes of the endpoint list from now on.
    SubscribeEndpoints,
}
