//! The wire form of the endpoint list, as the agent and the configuration's `known` state it.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use crate::messages::{EndpointEntry, EndpointListUpdate};
use cairnroad_types::{ServerState, Time};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Weight and list generation of a server, which an agent's list does not state.
const DEFAULT_WEIGHT: f64 = 1.0;
const DEFAULT_GENERATION: u64 = 0;
const MICROSECONDS_PER_MILLISECOND: i64 = 1000;

/// Why a member of the list is left out.
#[derive(Debug, thiserror::Error)]
enum MemberError {
    #[error("members: {0}")]
    Decode(#[from] serde_json::Error),
    #[error("members: host_port '{host_port}' of {id} is not an address")]
    Address { host_port: String, id: String },
}

/// One member of the list.
#[derive(Clone, Debug, Deserialize)]
struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    cell: u32,
    #[serde(default)]
    locality: String,
    phase: String,
    #[serde(default = "default_size")]
    size: f64,
    /// Start of the server in milliseconds of Unix time; 0 where it is not stated.
    #[serde(default)]
    up_since_ms: i64,
}

fn default_size() -> f64 {
    1.0
}

impl Member {
    fn decode(json: &RawValue) -> Result<EndpointEntry, MemberError> {
        let member: Member = serde_json::from_str(json.get())?;
        member.into_entry()
    }

    fn into_entry(self) -> Result<EndpointEntry, MemberError> {
        let state = self.state();
        let ready_at = self.ready_at();
        let zone = zone_id(&self.locality);
        let Ok(address) = self.host_port.parse() else {
            return Err(MemberError::Address {
                host_port: self.host_port,
                id: self.id,
            });
        };
        Ok(EndpointEntry {
            id: self.id,
            address,
            cell: self.cell,
            zone,
            state,
            size: self.size,
            weight: DEFAULT_WEIGHT,
            generation: DEFAULT_GENERATION,
            ready_at,
        })
    }

    /// Returns the state of the member's phase. An unknown phase is not active, so that the server drains.
    fn state(&self) -> ServerState {
        match self.phase.as_str() {
            "active" => ServerState::Ready,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Removed,
            phase => {
                tracing::warn!(server = self.id, phase, "unknown phase of a listed server");
                ServerState::Draining
            }
        }
    }

    fn ready_at(&self) -> Option<Time> {
        let microseconds = self
            .up_since_ms
            .saturating_mul(MICROSECONDS_PER_MILLISECOND);
        (self.up_since_ms > 0).then_some(Time(microseconds))
    }
}

/// Returns the numeric id of a locality: a hash of its name, and 0 without one. Two localities with the same hash
/// would only count as one zone.
pub fn zone_id(locality: &str) -> u32 {
    crc32fast::hash(locality.as_bytes())
}

/// A response of the agent: a snapshot, or the changes since a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListPayload {
    #[serde(default)]
    revision: u64,
    complete: bool,
    members: Vec<Box<RawValue>>,
}

impl EndpointListPayload {
    /// Returns the update that the page states. A member that can't be decoded is logged and left out, alone.
    pub fn into_update(self) -> EndpointListUpdate {
        let rows = self
            .members
            .iter()
            .filter_map(|json| decode_or_log(json))
            .collect();
        EndpointListUpdate {
            revision: self.revision,
            is_snapshot: self.complete,
            entries: rows,
        }
    }
}

fn decode_or_log(json: &RawValue) -> Option<EndpointEntry> {
    Member::decode(json)
        .inspect_err(|error| tracing::warn!(%error, "listed server ignored"))
        .ok()
}

#[cfg(test)]
mod tests;
