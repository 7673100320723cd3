//! Scenarios: how many processes there are, and which faults are injected when. Errors of a file name line and key.

use serde::Deserialize;
use std::ops::Range;
use std::path::Path;
use toml::Spanned;

/// Most coordinators and most nodes of a scenario.
const MAX_PROCESSES: usize = 500;

/// A fault between processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing passes between these and all others; connections stay open and silent.
    Partition {
        /// Coordinators of the one side.
        members: Vec<usize>,
        /// Data nodes of that side.
        nodes: Vec<usize>,
    },
    /// Datagrams from these coordinators are lost; those to them arrive.
    Mute {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// All partitions are over.
    Heal,
    /// Datagrams among coordinators are lost, duplicated and delayed, so that they also overtake one another.
    Loss {
        /// Share that is lost.
        loss: f64,
        /// Share that arrives twice.
        duplication: f64,
        /// Shortest and longest delay in milliseconds.
        delay_ms: [f64; 2],
    },
    /// All connections of these coordinators to data nodes are reset.
    Reset {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Stopped in the middle, as by SIGSTOP.
    Stop {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Resumed after a stop.
    Resume {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Killed.
    Kill {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Shut down gracefully (SIGTERM), and started again once they have ended.
    Restart {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Started again after a kill.
    Start {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Told to reload their configuration (SIGHUP).
    Reload {
        /// The coordinators.
        members: Vec<usize>,
    },
    /// Data nodes that are taken off the endpoint lists of all coordinators.
    Remove {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Data nodes that from now on give values of other queries. For trying the checker.
    WrongValues {
        /// The nodes.
        nodes: Vec<usize>,
    },
}

impl Fault {
    /// Returns the coordinators that it affects.
    pub fn members(&self) -> &[usize] {
        match self {
            Fault::Partition { members, .. }
            | Fault::Mute { members }
            | Fault::Reset { members }
            | Fault::Stop { members }
            | Fault::Resume { members }
            | Fault::Kill { members }
            | Fault::Restart { members }
            | Fault::Start { members }
            | Fault::Reload { members } => members,
            Fault::Heal | Fault::Loss { .. } | Fault::Remove { .. } | Fault::WrongValues { .. } => {
                &[]
            }
        }
    }
}

/// A fault and when it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Seconds from the run's start.
    pub at: f64,
    /// The fault.
    pub fault: Fault,
}

/// A scenario, read and checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all draws.
    pub seed: u64,
    /// Number of coordinators.
    pub coordinators: usize,
    /// Number of data nodes.
    pub nodes: usize,
    /// Queries a second, over all.
    pub rate: f64,
    /// Length in seconds.
    pub span: f64,
    /// Whether the coordinators form a cluster.
    pub clustered: bool,
    /// Seconds within which every membership view has to be right after a fault.
    pub settling_seconds: f64,
    /// The faults, in the order of time.
    pub faults: Vec<TimedFault>,
}

/// What is wrong with a scenario's file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It can't be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not of the form.
    #[error("{path}:{line}: {cause}")]
    Form {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// What the reader says.
        cause: String,
    },
    /// A key's value is wrong.
    #[error("{path}:{line}: '{key}': {cause}")]
    Key {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The key.
        key: &'static str,
        /// What is wrong.
        cause: String,
    },
}

impl ScenarioError {
    /// Returns what the author of the file can do.
    pub fn help(&self) -> &'static str {
        match self {
            ScenarioError::File { .. } => {
                "name a scenario's file, such as crates/testbed/scenarios/twelve.toml"
            }
            ScenarioError::Form { .. } => "see docs/TESTBED.md for the keys of a scenario",
            ScenarioError::Key { .. } => {
                "see docs/TESTBED.md for the kinds of fault and their keys"
            }
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScenarioFile {
    seed: u64,
    coordinators: Spanned<usize>,
    nodes: Spanned<usize>,
    rate: Spanned<f64>,
    span: Spanned<f64>,
    #[serde(default)]
    peers: bool,
    #[serde(default = "default_settling_seconds")]
    settled_s: f64,
    #[serde(default)]
    fault: Vec<FaultEntry>,
}

fn default_settling_seconds() -> f64 {
    15.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultEntry {
    at: Spanned<f64>,
    kind: Spanned<String>,
    members: Option<Spanned<Vec<usize>>>,
    nodes: Option<Spanned<Vec<usize>>>,
    loss: Option<Spanned<f64>>,
    twice: Option<Spanned<f64>>,
    delay_ms: Option<Spanned<[f64; 2]>>,
}

/// Reads a scenario's file.
///
/// # Errors
///
/// A file that can't be read or is wrong.
pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read(&name, &text),
        Err(source) => Err(ScenarioError::File { path: name, source }),
    }
}

/// Reads a scenario's text. `path` is named in errors.
///
/// # Errors
///
/// A text that is not of the form, or a value that is wrong.
pub fn read(path: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let reader = ScenarioReader { path, text };
    let file: ScenarioFile = toml::from_str(text).map_err(|error| reader.form_error(&error))?;
    reader.check_count("coordinators", &file.coordinators)?;
    reader.check_count("nodes", &file.nodes)?;
    reader.check_positive("rate", &file.rate)?;
    reader.check_positive("span", &file.span)?;
    let mut faults = Vec::new();
    for entry in &file.fault {
        faults.push(reader.read_fault(&file, entry)?);
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Scenario {
        seed: file.seed,
        coordinators: file.coordinators.into_inner(),
        nodes: file.nodes.into_inner(),
        rate: file.rate.into_inner(),
        span: file.span.into_inner(),
        clustered: file.peers,
        settling_seconds: file.settled_s,
        faults,
    })
}

/// A scenario's text and where it stands, for errors.
struct ScenarioReader<'a> {
    path: &'a str,
    text: &'a str,
}

impl ScenarioReader<'_> {
    fn line(&self, span: Range<usize>) -> usize {
        let before = self.text.get(..span.start).unwrap_or("");
        before.matches('\n').count() + 1
    }

    fn form_error(&self, error: &toml::de::Error) -> ScenarioError {
        ScenarioError::Form {
            path: self.path.into(),
            line: self.line(error.span().unwrap_or(0..0)),
            cause: error.message().trim().replace('\n', ": "),
        }
    }

    fn key_error(&self, key: &'static str, span: Range<usize>, cause: String) -> ScenarioError {
        ScenarioError::Key {
            path: self.path.into(),
            line: self.line(span),
            key,
            cause,
        }
    }

    fn check_count(&self, key: &'static str, value: &Spanned<usize>) -> Result<(), ScenarioError> {
        let count = value.get_ref();
        if (1..=MAX_PROCESSES).contains(count) {
            return Ok(());
        }
        let cause = format!("{count} is not from 1 to {MAX_PROCESSES}");
        Err(self.key_error(key, value.span(), cause))
    }

    fn check_positive(&self, key: &'static str, value: &Spanned<f64>) -> Result<(), ScenarioError> {
        let figure = value.get_ref();
        if figure.is_finite() && *figure > 0.0 {
            return Ok(());
        }
        let cause = format!("{figure} is not above 0");
        Err(self.key_error(key, value.span(), cause))
    }

    fn read_fault(
        &self,
        file: &ScenarioFile,
        entry: &FaultEntry,
    ) -> Result<TimedFault, ScenarioError> {
        let at = *entry.at.get_ref();
        if !(0.0..*file.span.get_ref()).contains(&at) {
            let cause = format!("{at} is not within the span");
            return Err(self.key_error("at", entry.at.span(), cause));
        }
        let coordinators = *file.coordinators.get_ref();
        let members = self.read_indices("members", entry.members.as_ref(), coordinators)?;
        let nodes = self.read_indices("nodes", entry.nodes.as_ref(), *file.nodes.get_ref())?;
        let fault = match entry.kind.get_ref().as_str() {
            "cut" => Fault::Partition { members, nodes },
            "mute" => Fault::Mute { members },
            "heal" => Fault::Heal,
            "loss" => Fault::Loss {
                loss: self.read_share("loss", entry.loss.as_ref())?,
                duplication: self.read_share("twice", entry.twice.as_ref())?,
                delay_ms: entry
                    .delay_ms
                    .as_ref()
                    .map_or([0.0, 0.0], |delay| *delay.get_ref()),
            },
            "reset" => Fault::Reset { members },
            "stop" => Fault::Stop { members },
            "resume" => Fault::Resume { members },
            "kill" => Fault::Kill { members },
            "restart" => Fault::Restart { members },
            "start" => Fault::Start { members },
            "reload" => Fault::Reload { members },
            "remove" => Fault::Remove { nodes },
            "lie" => Fault::WrongValues { nodes },
            other => {
                let cause = format!("'{other}' is no kind of fault");
                return Err(self.key_error("kind", entry.kind.span(), cause));
            }
        };
        Ok(TimedFault { at, fault })
    }

    fn read_indices(
        &self,
        key: &'static str,
        indices: Option<&Spanned<Vec<usize>>>,
        count: usize,
    ) -> Result<Vec<usize>, ScenarioError> {
        let Some(indices) = indices else {
            return Ok(Vec::new());
        };
        match indices.get_ref().iter().find(|index| **index >= count) {
            None => Ok(indices.get_ref().clone()),
            Some(index) => {
                let cause = format!("there is no {index}: they count from 0");
                Err(self.key_error(key, indices.span(), cause))
            }
        }
    }

    fn read_share(
        &self,
        key: &'static str,
        share: Option<&Spanned<f64>>,
    ) -> Result<f64, ScenarioError> {
        match share {
            None => Ok(0.0),
            Some(share) if (0.0..1.0).contains(share.get_ref()) => Ok(*share.get_ref()),
            Some(share) => {
                let cause = format!("{} is not from 0 to under 1", share.get_ref());
                Err(self.key_error(key, share.span(), cause))
            }
        }
    }
}

#[cfg(test)]
mod tests;
