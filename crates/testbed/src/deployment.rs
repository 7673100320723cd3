//! Generates the files that a coordinator of the testbed reads: its deployment settings and its endpoint list.

use crate::error::TestbedError;
use crate::node_model::NodeSpec;
use crate::workload::{
    ConfirmEffect, CLASSES, DEADLINES, DEDUP_WINDOW, LATENCY_OBJECTIVE, LATE_ANSWER_SHARE,
    PRIORITY_WEIGHTS,
};
use serde_json::{json, Value};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// The parameters of a deployment.
pub struct DeploymentSpec {
    /// Number of cells.
    pub cells: u32,
    /// Number of shards.
    pub shards: u32,
    /// Number of consecutive cells that hold a shard.
    pub cells_per_shard: u32,
    /// Share of its full capacity that a node has when it starts, from 0 to 1.
    pub slow_start_share: f64,
    /// Duration of slow start, in seconds.
    pub slow_start_seconds: f64,
    /// In slow start, the multiple of its current capacity above which work overloads a node.
    pub overload_multiple: f64,
    /// Window over which incoming work is summed to detect overload, in seconds.
    pub overload_window_seconds: f64,
    /// What happens if a part of a confirm is sent twice.
    pub confirm_effect: ConfirmEffect,
}

impl DeploymentSpec {
    /// Returns the deployment for nodes of this kind, with each shard held by one cell.
    pub fn for_nodes(node: &NodeSpec, cells: u32, shards: u32) -> DeploymentSpec {
        DeploymentSpec {
            cells,
            shards,
            cells_per_shard: 1,
            slow_start_share: node.cold_from,
            slow_start_seconds: node.warm_s,
            overload_multiple: node.fall_multiple.max(1.0),
            overload_window_seconds: node.fall_s,
            confirm_effect: ConfirmEffect::default(),
        }
    }

    /// Returns the `settings` object of the coordinator's JSON file.
    pub fn settings(&self) -> Value {
        json!({
            "classes": [self.class_settings(0), self.class_settings(1)],
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

    fn class_settings(&self, class: usize) -> Value {
        json!({
            "name": CLASSES[class],
            "aimS": LATENCY_OBJECTIVE,
            "deadlineS": DEADLINES[class],
            "effect": self.confirm_effect.settings()[class],
            "dedupWindowS": DEDUP_WINDOW,
            "value": PRIORITY_WEIGHTS[class],
            "lateShare": LATE_ANSWER_SHARE,
        })
    }
}

/// One entry of an endpoint list.
pub struct ListedNode {
    /// Id of the server.
    pub id: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Cell that the server belongs to.
    pub cell: usize,
    /// Relative weight in load balancing; `None` to leave it out of the list.
    pub weight: Option<f64>,
    /// Whether the server has just started. The list gives all others a start time far in the past, so that they are out of
    /// slow start.
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

/// Replaces a file atomically, by writing a temporary file and renaming it.
///
/// # Errors
///
/// Returns [`TestbedError::File`] if the file can't be written or renamed.
pub fn write_atomically(path: &Path, text: &str) -> Result<(), TestbedError> {
    let temporary = path.with_extension("tmp");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .map_err(TestbedError::file(path))
}
