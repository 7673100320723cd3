//! The stand-in data nodes of one test: their planned behavior and a record of the parts that they received.

use super::behavior::Behavior;
use super::frame_node::start_frame_node;
use super::search_node::start_search_node;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub const SHARDS: u32 = 8;
/// The number of cells. A shard belongs to the cell `shard % CELLS`.
pub const CELLS: u32 = 2;
/// The number of data nodes in each cell.
pub const REPLICAS: usize = 2;

/// The protocol of a front or of data nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WireFormat {
    /// HTTP with the platform's headers for clients, frames for data nodes.
    Platform,
    /// The OpenSearch query API, for clients and data nodes.
    OpenSearch,
}

/// A part as a data node received it.
#[derive(Clone, Debug)]
pub struct ReceivedPart {
    /// The data node's number.
    pub server: usize,
    pub query: String,
    pub shard: u32,
    /// The idempotency key that the part carries, if any.
    pub key: Option<String>,
    pub behavior: Behavior,
    pub cancelled: Arc<AtomicBool>,
    pub received_at: Instant,
}

/// Chooses a data node's behavior from the query's marker, the shard, and the number of earlier attempts of that part.
type Plan = Box<dyn Fn(u64, u32, usize) -> Behavior + Send + Sync>;

/// The state that all data nodes of a test share.
pub struct DataNodes {
    plan: Plan,
    /// The behavior of single data nodes, by number, which takes precedence over the plan.
    pub overrides: Mutex<BTreeMap<usize, Behavior>>,
    pub received: Mutex<Vec<ReceivedPart>>,
    /// The text of every received frame or request line, for tests of the published descriptions.
    pub raw_messages: Mutex<Vec<String>>,
}

impl DataNodes {
    pub fn new(plan: impl Fn(u64, u32, usize) -> Behavior + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(DataNodes {
            plan: Box::new(plan),
            overrides: Mutex::default(),
            received: Mutex::default(),
            raw_messages: Mutex::default(),
        })
    }

    /// Records a received part and chooses the data node's behavior for it.
    pub fn receive(
        &self,
        server: usize,
        query: &str,
        shard: u32,
        key: Option<&str>,
    ) -> ReceivedPart {
        let mut received = self.received.lock().unwrap();
        let marker = marker(query);
        let earlier_attempts = received
            .iter()
            .filter(|part| self::marker(&part.query) == marker && part.shard == shard)
            .count();
        let overridden = self.overrides.lock().unwrap().get(&server).copied();
        let behavior = overridden.unwrap_or_else(|| (self.plan)(marker, shard, earlier_attempts));
        let part = ReceivedPart {
            server,
            query: query.into(),
            shard,
            key: key.map(String::from),
            behavior,
            cancelled: Arc::default(),
            received_at: Instant::now(),
        };
        received.push(part.clone());
        part
    }

    /// Returns the idempotency keys of all attempts at a part, in order of arrival; an empty text for an attempt without
    /// a key.
    pub fn keys_of(&self, marker: u64, shard: u32) -> Vec<String> {
        let received = self.received.lock().unwrap();
        let attempts = received
            .iter()
            .filter(|part| self::marker(&part.query) == marker && part.shard == shard);
        attempts
            .map(|part| part.key.clone().unwrap_or_default())
            .collect()
    }

    /// Returns how often each part of each query was applied, by marker and shard, if the holders of a shard drop every
    /// part whose key they know. A part without a key can't be known.
    pub fn application_counts(&self) -> BTreeMap<(u64, u32), usize> {
        let mut known = BTreeSet::new();
        let mut counts = BTreeMap::new();
        let received = self.received.lock().unwrap();
        for part in received.iter().filter(|part| part.behavior.executes()) {
            let is_repeat = part
                .key
                .as_ref()
                .is_some_and(|key| !known.insert((part.shard, key.clone())));
            if !is_repeat {
                *counts.entry((marker(&part.query), part.shard)).or_default() += 1;
            }
        }
        counts
    }

    /// Returns how often each part of each query ran, by marker and shard.
    pub fn execution_counts(&self) -> BTreeMap<(u64, u32), usize> {
        let mut counts = BTreeMap::new();
        let received = self.received.lock().unwrap();
        for part in received.iter().filter(|part| part.behavior.executes()) {
            *counts.entry((marker(&part.query), part.shard)).or_default() += 1;
        }
        counts
    }
}

/// Returns the number that a query's text holds between two tildes, or 0 if there is none.
pub fn marker(query: &str) -> u64 {
    query
        .split('~')
        .nth(1)
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

/// Returns the value with which data nodes of either protocol answer a part.
pub fn part_value(marker: u64, shard: u32) -> String {
    format!("value {marker}/{shard} \"quoted\" \u{96ea}")
}

/// Starts all data nodes and returns their entries for the endpoint list.
pub fn start_data_nodes(wire: WireFormat, data_nodes: &Arc<DataNodes>) -> Vec<Value> {
    let member = |number: usize| {
        let address = match wire {
            WireFormat::Platform => start_frame_node(number, data_nodes.clone()),
            WireFormat::OpenSearch => start_search_node(number, data_nodes.clone()),
        };
        json!({"id": format!("s-{number}"), "host_port": address.to_string(), "locality": "a",
            "flavor": "m", "cell": number as u32 % CELLS, "phase": "active", "size": 1.0, "up_since_ms": 0})
    };
    (0..CELLS as usize * REPLICAS).map(member).collect()
}
