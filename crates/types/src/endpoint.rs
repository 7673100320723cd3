//! Servers as discovery describes them.

use crate::{ServerId, Time};

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It was removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its cell, which tells the shards that it holds.
    pub cell: u32,
    /// Its zone: servers of one zone may be lost together. 0 where that isn't told.
    pub zone: u32,
    /// Its state.
    pub state: ServerState,
    /// Its capacity relative to the others.
    pub relative_capacity: f64,
    /// Its share of turns relative to the other replicas of its shards; 0: only what no other can take.
    pub weight: f64,
    /// The generation of the list that it stands in; queries keep to servers of theirs and of older ones.
    pub generation: u64,
    /// When it started, if that is known.
    pub ready_at: Option<Time>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The whole list; a server not in it was removed.
    Snapshot(Vec<Endpoint>),
    /// The list that an earlier process saved last, perhaps old.
    Cached(Vec<Endpoint>),
    /// Only what changed.
    Delta(Vec<Endpoint>),
    /// A poll of the list failed, or the subscription broke.
    Failed,
}
