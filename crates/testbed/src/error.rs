//! What keeps a run of the testbed from starting or from going on.

use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a run did not start or did not go on.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A file or folder can't be read or written.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// An experiment's file is not of the form that `docs/TESTBED.md` states.
    #[error("{path}: {source}", path = path.display())]
    ExperimentForm {
        /// The experiment's file.
        path: PathBuf,
        /// Where and what.
        source: Box<toml::de::Error>,
    },
    /// An experiment has no variant or no repeat.
    #[error("{path}: a [[variant]] and a repeat at least are needed", path = path.display())]
    EmptyExperiment {
        /// The experiment's file.
        path: PathBuf,
    },
    /// A scenario's file is wrong.
    #[error("{0}\nhelp: {help}", help = .0.help())]
    Scenario(#[from] crate::chaos::scenario::ScenarioError),
    /// The fleet's sizes don't fit each other.
    #[error("fleet: 'cells' and 'shards' must be above 0, and 'nodes' no fewer than 'cells'")]
    FleetSize,
    /// The spread of work can't be drawn from.
    #[error("fleet.spread: {0}")]
    Spread(rand_distr::NormalError),
    /// There is no such data node.
    #[error("there is no node {0}")]
    UnknownNode(usize),
    /// A loopback socket can't be opened.
    #[error("{purpose}: {source}")]
    Socket {
        /// What it is for.
        purpose: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The coordinator's program is not there and can't be built.
    #[error("{path} is not there and can't be built: cargo build --release --locked", path = .0.display())]
    NoProgram(PathBuf),
    /// A coordinator ended before it listened.
    #[error("{path} ended at its start:\n{log}", path = path.display())]
    EndedAtStart {
        /// The program.
        path: PathBuf,
        /// Its log so far.
        log: String,
    },
    /// A coordinator's log can't be read.
    #[error("the program's log is closed")]
    NoLog,
    /// A coordinator did not become ready.
    #[error("the coordinator was not ready within {} s", .0.as_secs())]
    NotReady(Duration),
    /// There is no coordinator to send load to.
    #[error("no coordinator")]
    NoCoordinator,
    /// A process of a scenario failed.
    #[error(transparent)]
    Process(#[from] crate::chaos::process::ProcessError),
    /// A report can't be rendered.
    #[error("a plot: {0}")]
    Plot(Box<dyn std::error::Error>),
    /// A summary can't be written as JSON.
    #[error("summary.json: {0}")]
    Json(#[from] serde_json::Error),
    /// The asynchronous runtime can't be started.
    #[error("runtime: {0}")]
    Runtime(std::io::Error),
}

impl TestbedError {
    /// Returns a closure that adds the path to an I/O error.
    pub fn file(path: &Path) -> impl FnOnce(std::io::Error) -> TestbedError + '_ {
        move |source| TestbedError::File {
            path: path.to_path_buf(),
            source,
        }
    }

    /// Returns a closure that adds the purpose of a socket to an I/O error.
    pub fn socket(purpose: impl Into<String>) -> impl FnOnce(std::io::Error) -> TestbedError {
        let purpose = purpose.into();
        move |source| TestbedError::Socket { purpose, source }
    }
}
