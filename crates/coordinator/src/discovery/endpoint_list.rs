//! The JSON form of the endpoint list, as sent by the agent and stated in the configuration's `known` key.

use crate::messages::{EndpointEntry, EndpointListUpdate};
use cairnroad_types::{ServerState, Time};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Weight of every server, since an agent's list states none.
const DEFAULT_WEIGHT: f64 = 1.0;
/// List generation of every server, since an agent's list states none.
const DEFAULT_GENERATION: u64 = 0;
const MICROSECONDS_PER_MILLISECOND: i64 = 1000;

/// The reason why a member of the list is ignored.
#[derive(Debug, thiserror::Error)]
enum MemberError {
    #[error("members: {0}")]
    Decode(#[from] serde_json::Error),
    #[error("members: host_port of {id}: expected an IP address and port, found '{host_port}'")]
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
    /// Start time of the server in milliseconds of Unix time; 0 if it is not stated.
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

    /// Returns the state for the member's phase. A server with an unknown phase drains, since it is not known to be
    /// active.
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

/// Returns the numeric id of a locality: a hash of its name; 0 for the empty name. Two localities with the same hash
/// would merely count as one zone.
pub fn zone_id(locality: &str) -> u32 {
    crc32fast::hash(locality.as_bytes())
}

/// The body of a response of the agent: a snapshot, or the changes since a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListPayload {
    #[serde(default)]
    revision: u64,
    complete: bool,
    members: Vec<Box<RawValue>>,
}

impl EndpointListPayload {
    /// Returns the update that the payload states. A member that can't be decoded is logged and ignored; the others
    /// count.
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
