//! Events that a caller reports to a router.

use crate::{ClassId, EndpointUpdate, Outcome, RequestId, Seconds, ServerId, Time};

/// An event that the caller of a router reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or a poll for it failed.
    Endpoints(EndpointUpdate),
    /// A query arrived; its parts follow as [`Event::Part`].
    Query {
        /// Id by which actions refer to the query.
        id: RequestId,
        /// Class that sets the query's latency objective, deadline and idempotency.
        class: ClassId,
        /// Number by which the query's parts refer to it.
        number: u64,
        /// Moment at which the client stops waiting.
        deadline: Time,
        /// Expected work in seconds; `None` if the client doesn't state it.
        expected_work: Option<Seconds>,
        /// Whether the client marked the query as its own retry of an earlier one.
        is_client_retry: bool,
    },
    /// A part of a query arrived.
    Part {
        /// Id by which actions refer to the part.
        id: RequestId,
        /// Number of the query that the part belongs to.
        query_number: u64,
        /// Shard that the part reads.
        shard: u32,
        /// Share of the step's answer that the part contributes. The weights of a step sum to 1, but for
        /// rounding.
        weight: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Part that the attempt belongs to.
        part: RequestId,
        /// Number of the attempt among those of its part, from 0.
        attempt: u8,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// Server that was checked.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Values of the server's load report, in the order that the deployment's settings give; may be empty.
        report: Vec<f64>,
    },
    /// Other coordinators report these servers as outliers.
    OutlierAdvice(Vec<ServerId>),
    /// The client of this query disconnected, so that no answer can be delivered.
    ClientGone(RequestId),
    /// It is not known whether the client of this query is still connected. No attempt may begin until
    /// [`Event::ClientConfirmed`].
    ClientUnconfirmed(RequestId),
    /// The client of this query is connected, after [`Event::ClientUnconfirmed`].
    ClientConfirmed(RequestId),
    /// A moment requested by [`Action::SetTimer`](crate::Action::SetTimer) was reached.
    TimerFired,
}
