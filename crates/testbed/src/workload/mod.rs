//! The workload: arrivals drawn ahead from a seed, that never wait for answers, and clients that count from when a
//! query was due.

mod answer_check;
mod arrivals;
mod classes;
mod client;
mod http_client;

pub use arrivals::{arrivals, QueryArrival};
pub use classes::{
    AT_MOST_ONCE, CLASSES, CLASS_COUNT, DEADLINES, IDEMPOTENCY, LATENCY_OBJECTIVE,
    LATE_ANSWER_SHARE, PRIORITY_WEIGHTS,
};
pub use client::{
    earned_value, play, run_client, ClientOptions, Ending, IdleConnections, QueryOutcome,
    LISTEN_AFTER_DEADLINE,
};

use serde::Deserialize;
use std::net::SocketAddr;

/// What clients ask, as an experiment's file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Queries a second.
    pub rate: f64,
    /// Length in seconds.
    pub span: f64,
    /// Times of more.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// The share that comes by the query front.
    #[serde(default)]
    pub query_front: f64,
    /// How often a client retries by itself what was rejected or failed.
    #[serde(default)]
    pub retries: u32,
}

/// More queries for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub lasts: f64,
    /// Multiple of the usual rate.
    pub times: f64,
}

/// Where a coordinator takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fronts {
    /// The platform's front.
    pub platform: SocketAddr,
    /// The query front.
    pub query: SocketAddr,
}

impl Fronts {
    /// Returns the front of one address for both kinds.
    pub fn single(address: SocketAddr) -> Fronts {
        Fronts {
            platform: address,
            query: address,
        }
    }

    fn address(&self, query_front: bool) -> SocketAddr {
        if query_front {
            self.query
        } else {
            self.platform
        }
    }
}

#[cfg(test)]
mod tests;
