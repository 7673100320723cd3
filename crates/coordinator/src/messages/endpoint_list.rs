//! The endpoint list as read by discovery, before the core assigns server ids.

use cairnroad_types::{ServerState, Time};
use std::net::SocketAddr;

/// A snapshot of the endpoint list, or a delta to it.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// The revision of the list at its source.
    pub revision: u64,
    /// Whether the update is a snapshot. Endpoints that are missing from a snapshot have been removed.
    pub is_snapshot: bool,
    /// All endpoints of a snapshot, or the changed endpoints of a delta.
    pub entries: Vec<EndpointEntry>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The id of the server, unique in the list.
    pub id: String,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The cell of the server, which determines the shards that it holds.
    pub cell: u32,
    /// The number of the server's zone; 0 if the list states no zone.
    pub zone: u32,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// The capacity of the server relative to other servers.
    pub size: f64,
    /// The weight of the server in the weighted round robin; 1 if the list states no weight.
    pub weight: f64,
    /// The generation of the list from which the entry comes; 0 if the list has no generations.
    pub generation: u64,
    /// The time at which the server became ready, when its slow start begins; `None` if the list does not state it.
    pub ready_at: Option<Time>,
}
