//! The endpoint list as data: endpoints by id, under one generation.

use crate::timestamp::UnixSeconds;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The endpoint takes new work.
    #[default]
    Active,
    /// The endpoint completes its in-flight work and gets nothing new.
    #[serde(rename = "leaving")]
    Draining,
}

/// One data node of the list. It is serialized with the keys of the files.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Address on which the data node listens.
    pub address: SocketAddr,
    /// Number of its cell, from 0, which determines the shards that it holds.
    pub cell: u32,
    /// Name of the failure domain whose endpoints may be lost together; empty if unknown.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub locality: String,
    /// Machine type, for information only; empty if unknown.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Whether the endpoint takes new work.
    pub phase: Phase,
    /// Share of turns relative to the other holders of its shards. An endpoint with weight 0 gets only work that no
    /// other holder can take.
    pub weight: f64,
    /// When the data node started; `None` counts as just started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started: Option<UnixSeconds>,
    /// When the endpoint enters the list; `None` means at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_before: Option<UnixSeconds>,
    /// When the endpoint starts draining; `None` means never.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_after: Option<UnixSeconds>,
}

/// A complete endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EndpointSet {
    /// Generation of the list, from 1; every list that an operator releases has a higher one.
    pub generation: u64,
    /// Whether this list may remove more than the configured share of active endpoints at once.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub allow_shrink: bool,
    /// Endpoints by id.
    #[serde(rename = "servers")]
    pub endpoints: BTreeMap<String, Endpoint>,
}

impl EndpointSet {
    /// Iterates over the active endpoints and their ids.
    pub fn active(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.phase == Phase::Active)
            .map(|(id, endpoint)| (id.as_str(), endpoint))
    }

    /// Returns the number of active endpoints.
    pub fn active_count(&self) -> usize {
        self.active().count()
    }

    /// Returns whether both lists have the same endpoints, whatever their generations and flags.
    pub fn has_same_endpoints(&self, other: &EndpointSet) -> bool {
        self.endpoints == other.endpoints
    }
}
