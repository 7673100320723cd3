//! The errors that prevent a run of the testbed or end it early.

use std::path::{Path, PathBuf};
use std::time::Duration;

/// The reason why a run could not start or could not continue.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A file or folder can't be read or written.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// An experiment file does not have the form that `docs/TESTBED.md` states.
    #[error("{path}: {source}", path = path.display())]
    ExperimentForm {
        /// Path of the experiment file.
        path: PathBuf,
        /// The TOML error, with its place in the file.
        source: Box<toml::de::Error>,
    },
    /// An experiment has no variant, or its number of repeats is 0.
    #[error("{path}: expected at least one [[variant]] and at least one repeat", path = path.display())]
    EmptyExperiment {
        /// Path of the experiment file.
        path: PathBuf,
    },
    /// A scenario file is invalid.
    #[error("{0}\nhelp: {help}", help = .0.help())]
    Scenario(#[from] crate::chaos::scenario::ScenarioError),
    /// The sizes of the fleet are invalid.
    #[error("fleet: 'cells' and 'shards' must be above 0, and 'nodes' at least 'cells'")]
    FleetSize,
    /// The distribution of work can't be built from the spread.
    #[error("fleet.spread: {0}")]
    Spread(rand_distr::NormalError),
    /// A fault names a data node that the fleet does not have.
    #[error("unknown data node {0}")]
    UnknownNode(usize),
    /// A loopback socket can't be opened.
    #[error("cannot open a socket for {purpose}: {source}")]
    Socket {
        /// Purpose of the socket.
        purpose: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The coordinator's binary does not exist and can't be built.
    #[error("{path} does not exist and could not be built; run: cargo build --release --locked", path = .0.display())]
    NoProgram(PathBuf),
    /// A coordinator exited before it was listening.
    #[error("{path} exited before it was listening; its log:\n{log}", path = path.display())]
    EndedAtStart {
        /// Path of the program.
        path: PathBuf,
        /// The log until then.
        log: String,
    },
    /// The standard error of a coordinator, which carries its log, is not available.
    #[error("the coordinator's standard error is not available")]
    NoLog,
    /// A coordinator did not become ready within the time limit.
    #[error("the coordinator was not ready within {} s", .0.as_secs())]
    NotReady(Duration),
    /// No coordinator is running that clients could send queries to.
    #[error("no coordinator is running")]
    NoCoordinator,
    /// A process of a scenario failed.
    #[error(transparent)]
    Process(#[from] crate::chaos::process::ProcessError),
    /// A plot of the report can't be drawn.
    #[error("cannot draw a plot of the report: {0}")]
    Plot(Box<dyn std::error::Error>),
    /// A summary can't be written as JSON.
    #[error("cannot encode summary.json: {0}")]
    Json(#[from] serde_json::Error),
    /// The asynchronous runtime can't be started.
    #[error("cannot start the asynchronous runtime: {0}")]
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
