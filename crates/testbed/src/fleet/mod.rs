//! Emulated data nodes on loopback that speak the frame protocol or the query API.

mod frames;
mod node_server;
mod search;

pub use node_server::{NodeBehavior, NodeServer};

use crate::error::TestbedError;
use crate::node_model::{NodeModel, NodeSpec};
use crate::run_log::RunLog;
use crate::workload::DEDUP_WINDOW;
use node_server::ReceivedCall;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::LogNormal;
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Minimum mean work of a part, in seconds; a log-normal distribution needs a positive mean.
const MIN_MEAN_WORK: f64 = 1e-6;

/// The protocol that data nodes speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum Wire {
    /// The platform's binary frames.
    #[default]
    Frames,
    /// The query API, with one shard per request.
    OpenSearch,
}

impl Wire {
    /// Returns the protocol's name in the coordinator's settings.
    pub fn name(self) -> &'static str {
        match self {
            Wire::Frames => "frames",
            Wire::OpenSearch => "opensearch",
        }
    }
}

/// The error for an unknown protocol name.
#[derive(Debug, thiserror::Error)]
#[error("'{0}' is neither frames nor opensearch")]
pub struct UnknownWire(String);

impl TryFrom<String> for Wire {
    type Error = UnknownWire;

    fn try_from(name: String) -> Result<Wire, UnknownWire> {
        match name.as_str() {
            "frames" => Ok(Wire::Frames),
            "opensearch" => Ok(Wire::OpenSearch),
            _ => Err(UnknownWire(name)),
        }
    }
}

/// The fleet of an experiment, as the experiment file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Number of nodes at the start.
    pub nodes: usize,
    /// Number of additional nodes that later endpoint lists may name.
    #[serde(default)]
    pub spare: usize,
    /// Number of cells; node `i` belongs to cell `i` modulo this number.
    pub cells: u32,
    /// Number of shards.
    pub shards: u32,
    /// The protocol that the nodes speak.
    #[serde(default)]
    pub wire: Wire,
    /// Mean work of a part by class, in milliseconds.
    pub work_ms: [f64; 2],
    /// Coefficient of variation of that work: its standard deviation divided by its mean.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// The capacity of each node.
    #[serde(default)]
    pub node: NodeSpec,
}

fn default_spread() -> f64 {
    0.4
}

impl FleetSpec {
    fn check(&self) -> Result<(), TestbedError> {
        if self.cells == 0 || self.shards == 0 || self.nodes < self.cells as usize {
            return Err(TestbedError::FleetSize);
        }
        Ok(())
    }

    /// Returns the distribution of the work of a part, in seconds.
    fn work_distribution(&self, mean_ms: f64) -> Result<LogNormal<f64>, TestbedError> {
        let sigma = (1.0 + self.spread * self.spread).ln().sqrt();
        let mean = (mean_ms / 1000.0).max(MIN_MEAN_WORK);
        LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).map_err(TestbedError::Spread)
    }
}

/// All data nodes of a run, and the log of the parts that reached them.
pub struct Fleet {
    /// The sizes and parameters of the fleet.
    pub spec: FleetSpec,
    /// The nodes, spare ones last.
    pub servers: Vec<Rc<NodeServer>>,
    /// The log of all parts that reached the nodes.
    pub run_log: RefCell<RunLog>,
    /// When a part was first taken, by its shard and key. All holders of a shard share this knowledge.
    known_keys: RefCell<HashMap<(u32, String), f64>>,
    started_at: Instant,
    rng: RefCell<StdRng>,
    work_distributions: [LogNormal<f64>; 2],
}

impl Fleet {
    /// Starts all nodes, except spare ones with slow start already completed.
    ///
    /// # Errors
    ///
    /// Returns an error if the sizes or the spread are invalid, or if a socket can't be opened.
    pub async fn start(spec: FleetSpec, seed: u64) -> Result<Rc<Fleet>, TestbedError> {
        spec.check()?;
        let work_distributions = [
            spec.work_distribution(spec.work_ms[0])?,
            spec.work_distribution(spec.work_ms[1])?,
        ];
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for index in 0..spec.nodes + spec.spare {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(TestbedError::socket(format!("node {index}")))?;
            let address = listener
                .local_addr()
                .map_err(TestbedError::socket(format!("node {index}")))?;
            // Spare nodes go through slow start when an endpoint list first names them.
            let is_spare = index >= spec.nodes;
            let started_at = if is_spare { 0.0 } else { f64::NEG_INFINITY };
            let model = NodeModel::new(spec.node.clone(), started_at);
            servers.push(Rc::new(NodeServer::new(index, address, model)));
            listeners.push(listener);
        }
        let fleet = Rc::new(Fleet {
            spec,
            servers,
            run_log: RefCell::default(),
            known_keys: RefCell::default(),
            started_at: Instant::now(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            work_distributions,
        });
        for (server, listener) in fleet.servers.iter().zip(listeners) {
            fleet.clone().listen(server.clone(), listener);
            tokio::task::spawn_local(fleet.clone().run_parts(server.clone()));
        }
        Ok(fleet)
    }

    /// Returns the seconds since the fleet's start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Returns whether a part's key was taken within the deduplication window. Otherwise its window begins now.
    fn is_known_repeat(&self, now: f64, call: &ReceivedCall<'_>) -> bool {
        let Some(key) = call.key else {
            return false;
        };
        let mut known_keys = self.known_keys.borrow_mut();
        let first_taken = known_keys
            .entry((call.shard, key.to_string()))
            .or_insert(now);
        let is_repeat = *first_taken < now && now - *first_taken < DEDUP_WINDOW;
        if !is_repeat {
            *first_taken = now;
        }
        is_repeat
    }

    /// Changes the behavior of a node. A dead node restarts on its old address, in slow start.
    ///
    /// # Errors
    ///
    /// Returns an error if the node is unknown or its address can't be bound again.
    pub async fn set_behavior(
        self: &Rc<Self>,
        index: usize,
        behavior: NodeBehavior,
    ) -> Result<(), TestbedError> {
        let server = self
            .servers
            .get(index)
            .ok_or(TestbedError::UnknownNode(index))?
            .clone();
        let before = server.behavior.replace(behavior);
        if behavior == NodeBehavior::Dead {
            server.kill();
        } else if before == NodeBehavior::Dead {
            self.restart_cold(index);
            let listener = TcpListener::bind(server.address)
                .await
                .map_err(TestbedError::socket(format!("node {index}")))?;
            self.clone().listen(server, listener);
        }
        Ok(())
    }

    /// Restarts a node now, in slow start and without pending work in its model.
    pub fn restart_cold(&self, index: usize) {
        if let Some(server) = self.servers.get(index) {
            let model = NodeModel::new(self.spec.node.clone(), self.now());
            server.model.replace(model);
        }
    }

    /// Sets the factor by which a node takes longer for parts that start from now on.
    pub fn slow_down(&self, index: usize, factor: f64) {
        if let Some(server) = self.servers.get(index) {
            server.model.borrow_mut().set_slowdown(factor);
        }
    }
}
