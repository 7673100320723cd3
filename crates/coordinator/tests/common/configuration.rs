//! The configuration files with which tests start the coordinator.

use super::data_nodes::{WireFormat, CELLS, SHARDS};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Builds the content of the platform's configuration file.
pub fn platform_configuration(
    discovery: SocketAddr,
    max_in_flight: usize,
    sockets: usize,
) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": settings(max_in_flight)})
}

fn settings(max_in_flight: usize) -> Value {
    let class = |name: &str, deadline: f64, effect: &str, value: f64| {
        json!({"name": name, "aimS": 1.0, "deadlineS": deadline, "effect": effect, "value": value,
            "lateShare": 0.3})
    };
    json!({
        "classes": [class("stock-search", 2.0, "idempotent", 3.0),
            class("pick-confirm", 2.5, "at_most_once", 1.0)],
        "groupSize": 1, "registryMode": "pushed", "tickS": 0.005,
        "report": {"how": "piggyback", "names": ["queue", "latency_ms"]},
        "extra": {"positions": CELLS, "span": 1, "shards": SHARDS, "partsACall": 8,
            "needByClass": [1.0, 1.0], "minShare": [0.8, 1.0], "partialEarns": [0.9, 0.9], "fetchParts": [0, 0]},
        "caps": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "probes": true, "retryAfter": false,
            "maxRetryAfterS": 2.0, "openCap": max_in_flight, "dialTimeoutS": 0.25, "keepaliveS": 15.0,
            "streamsPerConn": 32},
        "safety": {"coldFrom": 0.23, "warmUpS": 16.0, "stopSendingWithinS": 0.25, "fallMultiple": 2.5,
            "fallS": 1.0}})
}

/// Builds the content of the project's own configuration file: the query front, the backend's kind, and `extra_sections`.
pub fn own_configuration(wire: WireFormat, extra_sections: &str) -> String {
    let kind = match wire {
        WireFormat::Platform => "frames",
        WireFormat::OpenSearch => "opensearch",
    };
    format!(
        "[opensearch]\nenabled = true\nlisten = \"127.0.0.1:0\"\n[backend]\nkind = \"{kind}\"\n{extra_sections}"
    )
}
