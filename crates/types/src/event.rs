//! What a caller reports to a router.

use crate::{ClassId, EndpointUpdate, Outcome, RequestId, Seconds, ServerId, Time};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed.
    Endpoints(EndpointUpdate),
    /// A query arrived; its parts follow.
    Query {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// The number that ties its parts to it.
        number: u64,
        /// When its client stops waiting.
        deadline: Time,
        /// Expected work, where it is known.
        expected_work: Option<Seconds>,
        /// Whether the client marked it as its own retry of an earlier try.
        is_client_retry: bool,
    },
    /// A part of a query arrived.
    Part {
        /// Its id.
        id: RequestId,
        /// The number of its query.
        query_number: u64,
        /// The shard it needs.
        shard: u32,
        /// Its weight; those of a step sum to 1.
        weight: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// How it ended.
        outcome: Outcome,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The values of its load report, in the order of the deployment's settings; may be empty.
        report: Vec<f64>,
    },
    /// Other coordinators call these servers outliers.
    OutlierAdvice(Vec<ServerId>),
    /// The client of this query has gone: nobody waits for its answer.
    ClientGone(RequestId),
    /// A moment asked for by [`Action::SetTimer`](crate::Action::SetTimer) has come.
    TimerFired,
}
