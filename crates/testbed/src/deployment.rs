//! The files that a coordinator of the testbed reads: its deployment's JSON and its endpoint list.

use crate::error::TestbedError;
use crate::node_model::NodeSpec;
use crate::workload::{
    CLASSES, DEADLINES, IDEMPOTENCY, LATENCY_OBJECTIVE, LATE_ANSWER_SHARE, PRIORITY_WEIGHTS,
};
use serde_json::{json, Value};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// What the deployment of a run states.
pub struct DeploymentSpec {
    /// Number of cells.
    pub cells: u32,
    /// Number of shards.
    pub shards: u32,
    /// Cells in a row that hold a shard.
    pub cells_per_shard: u32,
    /// Share of its capacity at which a node starts.
    pub slow_start_share: f64,
    /// Seconds until a node has warmed up.
    pub slow_start_seconds: f64,
    /// Multiple of its capacity that overloads a node in slow start.
    pub overload_multiple: f64,
    /// Seconds over which that is counted.
    pub overload_window_seconds: f64,
}

impl DeploymentSpec {
    /// Returns the deployment of nodes of this kind, each shard held by one cell.
    pub fn for_nodes(node: &NodeSpec, cells: u32, shards: u32) -> DeploymentSpec {
        DeploymentSpec {
            cells,
            shards,
            cells_per_shard: 1,
            slow_start_share: node.cold_from,
            slow_start_seconds: node.warm_s,
            overload_multiple: node.fall_multiple.max(1.0),
            overload_window_seconds: node.fall_s,
        }
    }

    /// Returns the `settings` of the coordinator's JSON.
    pub fn settings(&self) -> Value {
        json!({
            "classes": [class_settings(0), class_settings(1)],
            "groupSize": 1,
            "registryMode": "pushed",
            "tickS": 0.005,
            "report": {"how": "piggyback", "names": ["queue", "latency_ms"]},
            "extra": {
                "positions": self.cells,
                "span": self.cells_per_shard,
                "shards": self.shards,
                "partsACall": 8,
                "needByClass": [1.0, 1.0],
                "minShare": [0.8, 1.0],
                "partialEarns": [0.9, 0.9],
                "fetchParts": [0, 0],
            },
            "caps": {
                "attemptsCap": 3,
                "cancel": true,
                "secondCopies": true,
                "probes": true,
                "retryAfter": false,
                "maxRetryAfterS": 2.0,
                "openCap": 20_000,
                "dialTimeoutS": 0.25,
                "keepaliveS": 15.0,
                "streamsPerConn": 32,
            },
            "safety": {
                "coldFrom": self.slow_start_share,
                "warmUpS": self.slow_start_seconds,
                "stopSendingWithinS": 0.25,
                "fallMultiple": self.overload_multiple,
                "fallS": self.overload_window_seconds,
            },
        })
    }
}

fn class_settings(class: usize) -> Value {
    json!({
        "name": CLASSES[class],
        "aimS": LATENCY_OBJECTIVE,
        "deadlineS": DEADLINES[class],
        "effect": IDEMPOTENCY[class],
        "value": PRIORITY_WEIGHTS[class],
        "lateShare": LATE_ANSWER_SHARE,
    })
}

/// One entry of an endpoint list.
pub struct ListedNode {
    /// The server's id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its cell.
    pub cell: usize,
    /// Its share of turns, where the list states one.
    pub weight: Option<f64>,
    /// Whether it started just now; others warmed up long ago, whenever the list was written.
    pub just_started: bool,
}

/// Returns the text of an endpoint list.
pub fn endpoint_list(generation: u64, nodes: impl IntoIterator<Item = ListedNode>) -> String {
    let mut text = format!("generation = {generation}\nallow_shrink = true\n");
    for node in nodes {
        let ListedNode {
            id, address, cell, ..
        } = &node;
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[[server]]\nid = \"{id}\"\naddress = \"{address}\"\ncell = {cell}\n"
        );
        if let Some(weight) = node.weight {
            let _ = writeln!(text, "weight = {weight:?}");
        }
        if !node.just_started {
            text.push_str("started = 2000-01-01T00:00:00Z\n");
        }
    }
    text + "# end\n"
}

/// Writes a file whole or not at all.
///
/// # Errors
///
/// [`TestbedError::File`] if the system refuses it.
pub fn write_atomically(path: &Path, text: &str) -> Result<(), TestbedError> {
    let temporary = path.with_extension("tmp");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .map_err(TestbedError::file(path))
}
