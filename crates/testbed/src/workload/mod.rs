//! The open-loop workload. Arrivals are drawn in advance from a seed and never wait for answers; clients measure latency
//! from the time at which a query was due.

mod answer_check;
mod arrivals;
mod classes;
mod client;
mod http_client;

pub use arrivals::{arrivals, QueryArrival};
pub use classes::{
    ConfirmEffect, CLASSES, CLASS_COUNT, DEADLINES, DEDUP_WINDOW, LATENCY_OBJECTIVE,
    LATE_ANSWER_SHARE, PRIORITY_WEIGHTS,
};
pub use client::{
    earned_value, play, run_client, ClientOptions, Ending, IdleConnections, QueryOutcome,
    LISTEN_AFTER_DEADLINE,
};

use serde::Deserialize;
use std::net::SocketAddr;

/// The load that clients generate, as an experiment file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Queries per second.
    pub rate: f64,
    /// Duration in seconds.
    pub span: f64,
    /// Periods of higher load; where they overlap, the highest multiple applies.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// Share of queries sent to the query front, from 0 to 1.
    #[serde(default)]
    pub query_front: f64,
    /// Maximum number of client retries of a query that was rejected or failed.
    #[serde(default)]
    pub retries: u32,
}

/// A period of higher load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds since the start of the run.
    pub at: f64,
    /// Duration in seconds.
    pub lasts: f64,
    /// Multiple of the usual rate.
    pub times: f64,
}

/// The addresses on which a coordinator accepts queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fronts {
    /// Address of the platform front.
    pub platform: SocketAddr,
    /// Address of the query front.
    pub query: SocketAddr,
}

impl Fronts {
    /// Uses one address for both fronts.
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
