//! The endpoint list as data: endpoints by id, under one generation.

use crate::timestamp::UnixSeconds;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes new work.
    #[default]
    Active,
    /// It completes its in-flight work and gets nothing new.
    #[serde(rename = "leaving")]
    Draining,
}

/// One data node of the list. Serialised with the keys of the files.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its cell, which determines the shards that it holds.
    pub cell: u32,
    /// The failure domain that it may be lost with; empty if unknown.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub locality: String,
    /// Its kind of machine, for people only.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Its share of turns beside the other holders of its shards; 0 takes only what no other holder can.
    pub weight: f64,
    /// When it started; `None` counts as just started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started: Option<UnixSeconds>,
    /// When it enters the list; `None` is at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_before: Option<UnixSeconds>,
    /// When it starts draining; `None` is never.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_after: Option<UnixSeconds>,
}

/// A complete endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointSet {
    /// Counts up with each list that an operator releases.
    pub generation: u64,
    /// The writer allows this list to remove more than the configured share at once.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub allow_shrink: bool,
    /// The endpoints by id.
    #[serde(rename = "servers")]
    pub endpoints: BTreeMap<String, Endpoint>,
}

impl EndpointSet {
    /// Iterates over the endpoints that take new work.
    pub fn active(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.phase == Phase::Active)
            .map(|(id, endpoint)| (id.as_str(), endpoint))
    }

    /// Counts the endpoints that take new work.
    pub fn active_count(&self) -> usize {
        self.active().count()
    }

    /// Whether both lists have the same endpoints, whatever their generations and flags.
    pub fn has_same_endpoints(&self, other: &EndpointSet) -> bool {
        self.endpoints == other.endpoints
    }
}
