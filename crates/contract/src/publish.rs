//! Builds the coordinator's own descriptions from the configuration in force: the fronts, classes, indices and limits.

mod asyncapi;
mod elements;
mod openapi;
mod query_api;
mod schemas;

pub use asyncapi::asyncapi;
pub use openapi::openapi;

/// The interfaces that an instance offers to clients and uses of servers.
#[derive(Clone, Debug)]
pub struct InterfaceSpec {
    /// The program's version.
    pub version: String,
    /// The listen address of the platform front.
    pub platform_listen: String,
    /// The listen address of the query front; `None` if the front is off.
    pub query_listen: Option<String>,
    /// The query classes.
    pub classes: Vec<Class>,
    /// The number of shards, which are numbered from 0.
    pub shard_count: u32,
    /// The query front's indices.
    pub indices: Vec<Index>,
    /// Whether servers speak frames; otherwise they speak the query API.
    pub uses_frames: bool,
    /// The names of a load report's values.
    pub load_report_fields: Vec<String>,
    /// The limits of a request.
    pub limits: Limits,
}

/// A query class.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The latency objective, in seconds.
    pub latency_objective_seconds: f64,
    /// The deadline after which a query is cancelled, in seconds.
    pub deadline_seconds: f64,
    /// Whether a part may be executed more than once.
    pub is_idempotent: bool,
    /// Whether a query carries an idempotency key, by which servers recognize a repeated part.
    pub needs_key: bool,
    /// The minimum share of the parts' weight that a partial answer needs, from 0 to 1.
    pub minimum_share: f64,
}

/// An index: a class over a range of shards.
#[derive(Clone, Debug)]
pub struct Index {
    /// The name of the index.
    pub name: String,
    /// The name of the index's class.
    pub class: String,
    /// The first shard of the range.
    pub first_shard: u32,
    /// The last shard of the range, inclusive.
    pub last_shard: u32,
}

/// The limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// The largest number of header fields in a head.
    pub max_head_fields: usize,
    /// The time limit for reading a request, in seconds.
    pub read_timeout_seconds: f64,
    /// The largest sum of `from` and `size`.
    pub max_result_window: usize,
    /// The largest number of searches in one `_msearch`.
    pub max_searches: usize,
}
