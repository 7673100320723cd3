//! Builds the coordinator's own descriptions from what is in force: which fronts are on, the classes, the indices and
//! the limits.

mod asyncapi;
mod elements;
mod openapi;
mod query_api;
mod schemas;

pub use asyncapi::asyncapi;
pub use openapi::openapi;

/// What an instance offers to clients and uses of servers.
#[derive(Clone, Debug)]
pub struct InterfaceSpec {
    /// The program's version.
    pub version: String,
    /// The address of the platform's front.
    pub platform_listen: String,
    /// The address of the query front; `None` where it is off.
    pub query_listen: Option<String>,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// How many shards there are, numbered from 0.
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

/// A class of query.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The time in which an answer is wanted, in seconds.
    pub latency_objective_seconds: f64,
    /// The time after which a query is given up, in seconds.
    pub deadline_seconds: f64,
    /// Whether a part may run twice.
    pub is_idempotent: bool,
    /// The least share of the parts' weight, from 0 to 1, that a partial answer may be given from.
    pub minimum_share: f64,
}

/// An index: a class over a range of shards.
#[derive(Clone, Debug)]
pub struct Index {
    /// Its name.
    pub name: String,
    /// Its class's name.
    pub class: String,
    /// The first shard of the range.
    pub first_shard: u32,
    /// The last shard of the range, which belongs to it.
    pub last_shard: u32,
}

/// The limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// The most header fields of a head.
    pub max_head_fields: usize,
    /// How long a request may take to arrive, in seconds.
    pub read_timeout_seconds: f64,
    /// The most hits that `from` and `size` may span.
    pub max_result_window: usize,
    /// The most searches of one `_msearch`.
    pub max_searches: usize,
}
