//! Defines and reads experiment files.

use crate::error::TestbedError;
use crate::fleet::{FleetSpec, NodeBehavior};
use crate::workload::Workload;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// An experiment, as its file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, which titles its report.
    pub name: String,
    /// Number of times that each variant is played.
    #[serde(default = "default_repeats")]
    pub repeats: u64,
    /// Seed of the workload and of the work of parts; repeat `n` uses `seed + n`.
    #[serde(default)]
    pub seed: u64,
    /// The fleet of data nodes.
    pub fleet: FleetSpec,
    /// The load that clients generate.
    #[serde(rename = "load")]
    pub workload: Workload,
    /// The faults that are injected into nodes.
    #[serde(default)]
    pub fault: Vec<NodeFault>,
    /// The variants to play; the others are compared with the first.
    pub variant: Vec<Variant>,
}

fn default_repeats() -> u64 {
    3
}

impl Experiment {
    /// Reads and validates an experiment file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is malformed, or has no variant or no repeat.
    pub fn load(path: &Path) -> Result<Experiment, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(TestbedError::file(path))?;
        let experiment: Experiment =
            toml::from_str(&text).map_err(|source| TestbedError::ExperimentForm {
                path: path.to_path_buf(),
                source: Box::new(source),
            })?;
        if experiment.variant.is_empty() || experiment.repeats == 0 {
            return Err(TestbedError::EmptyExperiment {
                path: path.to_path_buf(),
            });
        }
        Ok(experiment)
    }
}

/// A change in the behavior of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeFault {
    /// Time of the change, in seconds since the start of the run.
    pub at: f64,
    /// Indices of the affected nodes.
    pub nodes: Vec<usize>,
    /// The behavior of the nodes from then on.
    #[serde(rename = "mood")]
    pub behavior: Option<NodeBehavior>,
    /// The factor by which the nodes take longer from then on.
    #[serde(rename = "slow")]
    pub slowdown: Option<f64>,
}

/// A variant of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name of the variant.
    pub name: String,
    /// Path of the coordinator binary; by default the one next to the testbed's own.
    pub program: Option<PathBuf>,
    /// Additional lines of the project's own settings.
    #[serde(default, rename = "own")]
    pub project_settings: String,
    /// Endpoint lists that take effect during the run.
    #[serde(default, rename = "roster")]
    pub endpoint_lists: Vec<EndpointListChange>,
}

/// A change of the endpoint list during a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListChange {
    /// Time of the change, in seconds since the start of the run.
    pub at: f64,
    /// Number of nodes on the list, counted from the first; those that were not listed before have just started.
    pub nodes: usize,
    /// Weights of the nodes, by index; nodes beyond the end have weight 1.
    #[serde(default)]
    pub weights: Vec<f64>,
    /// Whether the coordinator is restarted with the list, instead of reloading it while serving.
    #[serde(default)]
    pub restart: bool,
}
