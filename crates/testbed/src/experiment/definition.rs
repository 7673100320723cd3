//! The form of an experiment's file.

use crate::error::TestbedError;
use crate::fleet::{FleetSpec, NodeBehavior};
use crate::workload::Workload;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// An experiment as its file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// How often each variant is played.
    #[serde(default = "default_repeats")]
    pub repeats: u64,
    /// Repeat `n` draws workload and work from `seed + n`.
    #[serde(default)]
    pub seed: u64,
    /// The data nodes.
    pub fleet: FleetSpec,
    /// What clients ask.
    #[serde(rename = "load")]
    pub workload: Workload,
    /// What befalls nodes.
    #[serde(default)]
    pub fault: Vec<NodeFault>,
    /// The ways to run it, the first to be compared with.
    pub variant: Vec<Variant>,
}

fn default_repeats() -> u64 {
    3
}

impl Experiment {
    /// Reads and checks an experiment's file.
    ///
    /// # Errors
    ///
    /// A file that can't be read, isn't of the form, or has no variant or no repeat.
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

/// A change of how nodes behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeFault {
    /// When, in seconds.
    pub at: f64,
    /// The nodes' indices.
    pub nodes: Vec<usize>,
    /// How they behave from then on.
    #[serde(rename = "mood")]
    pub behavior: Option<NodeBehavior>,
    /// How many times as long they take from then on.
    #[serde(rename = "slow")]
    pub slowdown: Option<f64>,
}

/// One way to run an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Another program than the one beside this.
    pub program: Option<PathBuf>,
    /// More lines of the project's own settings.
    #[serde(default, rename = "own")]
    pub project_settings: String,
    /// Endpoint lists that come into force on the way.
    #[serde(default, rename = "roster")]
    pub endpoint_lists: Vec<EndpointListChange>,
}

/// An endpoint list that is written at a moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListChange {
    /// When, in seconds.
    pub at: f64,
    /// It names the first so many nodes; those that were not listed before have just started.
    pub nodes: usize,
    /// The nodes' weights; nodes beyond its end weigh 1.
    #[serde(default)]
    pub weights: Vec<f64>,
    /// Whether the coordinator is ended and started on it, instead of reading it in service.
    #[serde(default)]
    pub restart: bool,
}
