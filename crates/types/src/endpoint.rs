//! The endpoint list: servers as discovery describes them.

use crate::{ServerId, Time};

/// State of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new parts.
    #[default]
    Ready,
    /// The server finishes the parts in flight and accepts no new ones.
    Draining,
    /// The server was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Server that the entry describes.
    pub server: ServerId,
    /// Cell of the server, which determines the shards that it holds.
    pub cell: u32,
    /// Zone of the server; the servers of one zone may fail together. 0 if the zone is unknown.
    pub zone: u32,
    /// Whether the server accepts new parts.
    pub state: ServerState,
    /// Capacity relative to a standard server, which has 1.
    pub relative_capacity: f64,
    /// Share of turns relative to the other replicas of its shards. A server with weight 0 gets only the parts
    /// that no other replica can take.
    pub weight: f64,
    /// Generation of the list that contains the entry. A query goes only to servers of the generation that it
    /// was admitted under, or of older ones.
    pub generation: u64,
    /// When the server started; `None` if that is unknown.
    pub ready_at: Option<Time>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The complete list; servers missing from it were removed.
    Snapshot(Vec<Endpoint>),
    /// The list that an earlier process stored last, which may be outdated.
    Cached(Vec<Endpoint>),
    /// The entries that changed.
    Delta(Vec<Endpoint>),
    /// A poll for the list failed, or the subscription broke.
    Failed,
}
