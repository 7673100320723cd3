//! The endpoint list as discovery reads it, before the core assigns numbers to servers.

use cairnroad_types::{ServerState, Time};
use std::net::SocketAddr;

/// A snapshot of the endpoint list, or a change to it.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// The source's revision.
    pub revision: u64,
    /// Whether the entries are the whole list: endpoints that it lacks are gone.
    pub is_snapshot: bool,
    /// The listed endpoints.
    pub entries: Vec<EndpointEntry>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The server's id, unique in the list.
    pub id: String,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The cell, which determines the shards that the server holds.
    pub cell: u32,
    /// The zone as a number; 0 where the list has none.
    pub zone: u32,
    /// Whether the server takes requests.
    pub state: ServerState,
    /// Relative capacity.
    pub size: f64,
    /// Share of round-robin turns; 1 where the list has none.
    pub weight: f64,
    /// Generation of the list that the entry is from; 0 where lists have none.
    pub generation: u64,
    /// When the server became ready, if the list says so. Slow start counts from it.
    pub ready_at: Option<Time>,
}
