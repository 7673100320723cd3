//! The wire form of the list of servers, as the agent and the configuration tell it.

use crate::messages::{EndpointEntry, EndpointListUpdate};
use cairnroad_types::{ServerState, Time};
use serde::Deserialize;
use serde_json::value::RawValue;

/// One server's line.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointLine {
    id: String,
    host_port: String,
    #[serde(default)]
    cell: u32,
    #[serde(default)]
    locality: String,
    phase: String,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: i64,
}

fn one() -> f64 {
    1.0
}

/// A locality as a number: the same name gives the same one, none gives 0. Two names that meet in one number would
/// only be taken for one place.
pub fn zone_id(locality: &str) -> u32 {
    crc32fast::hash(locality.as_bytes())
}

/// An answer of the agent.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListPage {
    #[serde(default)]
    revision: u64,
    complete: bool,
    members: Vec<Box<RawValue>>,
}

impl EndpointListPage {
    /// What the page says. A line that can't be read costs nobody but its own server, which counts as left out.
    pub fn into_update(self) -> EndpointListUpdate {
        let row = |line: &RawValue| {
            let member: EndpointLine =
                serde_json::from_str(line.get()).map_err(|e| format!("members: {e}"))?;
            let state = match member.phase.as_str() {
                "active" => ServerState::Ready,
                "leaving" => ServerState::Draining,
                "left" => ServerState::Removed,
                // Not said to be active: it gets nothing new.
                other => {
                    tracing::warn!(
                        server = member.id,
                        phase = other,
                        "discovery: members: the phase is unknown"
                    );
                    ServerState::Draining
                }
            };
            let address = member.host_port.parse().map_err(|_| {
                format!(
                    "members: host_port '{}' of {} is not an address",
                    member.host_port, member.id
                )
            })?;
            let ready_at =
                (member.up_since_ms > 0).then(|| Time(member.up_since_ms.saturating_mul(1000)));
            let (cell, size) = (member.cell, member.size);
            let zone = zone_id(&member.locality);
            Ok(EndpointEntry {
                id: member.id,
                address,
                cell,
                zone,
                state,
                size,
                weight: 1.0,
                generation: 0,
                ready_at,
            })
        };
        let read = |line: &RawValue| {
            row(line)
                .inspect_err(
                    |cause: &String| tracing::warn!(%cause, "discovery: a line can't be read"),
                )
                .ok()
        };
        let rows = self.members.iter().filter_map(|line| read(line)).collect();
        EndpointListUpdate {
            revision: self.revision,
            complete: self.complete,
            rows,
        }
    }
}

#[cfg(test)]
mod tests;
