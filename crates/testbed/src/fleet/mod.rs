//! Emulated data nodes on loopback, speaking frames or the query API.

mod frames;
mod node_server;
mod search;

pub use node_server::{NodeBehavior, NodeServer};

use crate::error::TestbedError;
use crate::node_model::{NodeModel, NodeSpec};
use crate::run_log::RunLog;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::LogNormal;
use serde::Deserialize;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// The shortest mean work of a part, in seconds: a log-normal distribution needs a positive one.
const MIN_MEAN_WORK: f64 = 1e-6;

/// What data nodes speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum Wire {
    /// The platform's binary frames.
    #[default]
    Frames,
    /// The query API, one shard a request.
    OpenSearch,
}

impl Wire {
    /// Returns the wire's name in the coordinator's settings.
    pub fn name(self) -> &'static str {
        match self {
            Wire::Frames => "frames",
            Wire::OpenSearch => "opensearch",
        }
    }
}

/// A wire's name that is not known.
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

/// The fleet of an experiment, as its file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Nodes at the start.
    pub nodes: usize,
    /// Nodes beyond these, which an endpoint list may name later.
    #[serde(default)]
    pub spare: usize,
    /// Number of cells; node `i` is of cell `i` modulo this.
    pub cells: u32,
    /// Number of shards.
    pub shards: u32,
    /// What the nodes speak.
    #[serde(default)]
    pub wire: Wire,
    /// Mean work of a part by class, in milliseconds.
    pub work_ms: [f64; 2],
    /// Spread of that work: standard deviation over mean.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// What each node can do.
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

    /// Returns the distribution of a part's work in seconds.
    fn work_distribution(&self, mean_ms: f64) -> Result<LogNormal<f64>, TestbedError> {
        let sigma = (1.0 + self.spread * self.spread).ln().sqrt();
        let mean = (mean_ms / 1000.0).max(MIN_MEAN_WORK);
        LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).map_err(TestbedError::Spread)
    }
}

/// All data nodes of a run, and the log of what reached them.
pub struct Fleet {
    /// What the experiment's file states.
    pub spec: FleetSpec,
    /// The nodes, spare ones last.
    pub servers: Vec<Rc<NodeServer>>,
    /// Everything that reached the nodes.
    pub run_log: RefCell<RunLog>,
    started_at: Instant,
    rng: RefCell<StdRng>,
    work_distributions: [LogNormal<f64>; 2],
}

impl Fleet {
    /// Starts all nodes, warmed up.
    ///
    /// # Errors
    ///
    /// Sizes that don't fit each other, a spread that can't be drawn from, or a socket that can't be opened.
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
            // Spare nodes are started cold when an endpoint list takes them in.
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

    /// Changes how a node behaves. One that was dead comes back on its old address, cold.
    ///
    /// # Errors
    ///
    /// An unknown node, or an address that can't be taken again.
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

    /// Lets a node's process start now, cold.
    pub fn restart_cold(&self, index: usize) {
        if let Some(server) = self.servers.get(index) {
            let model = NodeModel::new(self.spec.node.clone(), self.now());
            server.model.replace(model);
        }
    }

    /// Lets a node take so many times as long for everything.
    pub fn slow_down(&self, index: usize, times: f64) {
        if let Some(server) = self.servers.get(index) {
            server.model.borrow_mut().set_slowdown(times);
        }
    }
}
