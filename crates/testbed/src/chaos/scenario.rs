//! Reads and validates scenario files, which state the number of processes and the faults to inject at given times.
//! Errors name the line and the key.

use crate::workload::ConfirmEffect;
use serde::Deserialize;
use std::ops::Range;
use std::path::Path;
use toml::Spanned;

/// Maximum number of coordinators, and of data nodes, in a scenario.
const MAX_PROCESSES: usize = 500;

/// A fault to inject, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Blocks all traffic between one side and all other processes. Connections stay open.
    Partition {
        /// Coordinators on that side.
        members: Vec<usize>,
        /// Data nodes on that side.
        nodes: Vec<usize>,
    },
    /// Drops the datagrams that these coordinators send, but delivers those sent to them.
    Mute {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Ends all partitions and mutes.
    Heal,
    /// Drops, duplicates and delays datagrams between coordinators. Different delays also reorder them.
    Loss {
        /// Share of datagrams that are lost, from 0 to under 1.
        loss: f64,
        /// Share of datagrams that arrive twice, from 0 to under 1.
        duplication: f64,
        /// Shortest and longest delay in milliseconds.
        delay_ms: [f64; 2],
    },
    /// Resets all connections of these coordinators to data nodes.
    Reset {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Pauses these coordinators (SIGSTOP).
    Stop {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Continues these coordinators after a stop (SIGCONT).
    Resume {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Kills these coordinators (SIGKILL).
    Kill {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Shuts these coordinators down gracefully (SIGTERM), one after the other, and starts each again once it has ended.
    Restart {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Starts these coordinators again after a kill.
    Start {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Makes these coordinators reload their configuration (SIGHUP).
    Reload {
        /// Indices of the coordinators, from 0.
        members: Vec<usize>,
    },
    /// Removes these data nodes from the endpoint lists of all coordinators.
    Remove {
        /// Indices of the data nodes, from 0.
        nodes: Vec<usize>,
    },
    /// Makes these data nodes answer with values of other queries, to test that the checker detects it.
    WrongValues {
        /// Indices of the data nodes, from 0.
        nodes: Vec<usize>,
    },
}

impl Fault {
    /// Returns the indices of the coordinators that the fault targets; empty for faults that target none by name.
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

/// A fault and the time of its injection.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Seconds since the start of the run.
    pub at: f64,
    /// The fault to inject.
    pub fault: Fault,
}

/// A validated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Number of coordinators.
    pub coordinators: usize,
    /// Number of data nodes.
    pub nodes: usize,
    /// Queries per second, over all coordinators.
    pub rate: f64,
    /// Length of the run in seconds.
    pub span: f64,
    /// Whether confirms are keyed, so that they may be repeated, instead of being sent at most once.
    pub keyed_confirms: bool,
    /// Whether the coordinators form a cluster.
    pub clustered: bool,
    /// Seconds after a fault within which every membership view has to become correct.
    pub settling_seconds: f64,
    /// The faults, ordered by time.
    pub faults: Vec<TimedFault>,
}

impl Scenario {
    /// Returns what happens if a part of a confirm is sent twice.
    pub fn confirm_effect(&self) -> ConfirmEffect {
        match self.keyed_confirms {
            true => ConfirmEffect::Keyed,
            false => ConfirmEffect::AtMostOnce,
        }
    }
}

/// The reason why a scenario file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the scenario file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has a missing, unknown or mistyped key.
    #[error("{path}:{line}: {cause}")]
    Form {
        /// Path of the scenario file.
        path: String,
        /// Line number, from 1.
        line: usize,
        /// The message of the TOML parser.
        cause: String,
    },
    /// The value of a key is out of range or unknown.
    #[error("{path}:{line}: '{key}': {cause}")]
    Key {
        /// Path of the scenario file.
        path: String,
        /// Line number, from 1.
        line: usize,
        /// Name of the key.
        key: &'static str,
        /// Why the value is rejected.
        cause: String,
    },
}

impl ScenarioError {
    /// Returns a hint for the author of the file.
    pub fn help(&self) -> &'static str {
        match self {
            ScenarioError::File { .. } => {
                "give the path of a scenario file, such as crates/testbed/scenarios/twelve.toml"
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
    keyed_confirms: bool,
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

/// Reads and validates a scenario file.
///
/// # Errors
///
/// Returns an error if the file can't be read or is invalid.
pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(source) => Err(ScenarioError::File { path: name, source }),
    }
}

/// Parses and validates the text of a scenario file. `path` only serves to name the file in errors.
///
/// # Errors
///
/// Returns an error if the text is malformed or a value is invalid.
pub fn parse(path: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let parser = ScenarioParser { path, text };
    let file: ScenarioFile = toml::from_str(text).map_err(|error| parser.form_error(&error))?;
    parser.check_count("coordinators", &file.coordinators)?;
    parser.check_count("nodes", &file.nodes)?;
    parser.check_positive("rate", &file.rate)?;
    parser.check_positive("span", &file.span)?;
    let mut faults = Vec::new();
    for entry in &file.fault {
        faults.push(parser.read_fault(&file, entry)?);
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(Scenario {
        seed: file.seed,
        coordinators: file.coordinators.into_inner(),
        nodes: file.nodes.into_inner(),
        rate: file.rate.into_inner(),
        span: file.span.into_inner(),
        keyed_confirms: file.keyed_confirms,
        clustered: file.peers,
        settling_seconds: file.settled_s,
        faults,
    })
}

/// The text of a scenario and the path of its file, from which errors are built.
struct ScenarioParser<'a> {
    path: &'a str,
    text: &'a str,
}

impl ScenarioParser<'_> {
    fn line(&self, span: Range<usize>) -> usize {
        let preceding = self.text.get(..span.start).unwrap_or("");
        preceding.matches('\n').count() + 1
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
        let cause = format!("expected a number from 1 to {MAX_PROCESSES}, found {count}");
        Err(self.key_error(key, value.span(), cause))
    }

    fn check_positive(&self, key: &'static str, value: &Spanned<f64>) -> Result<(), ScenarioError> {
        let number = value.get_ref();
        if number.is_finite() && *number > 0.0 {
            return Ok(());
        }
        let cause = format!("expected a finite number above 0, found {number}");
        Err(self.key_error(key, value.span(), cause))
    }

    fn read_fault(
        &self,
        file: &ScenarioFile,
        entry: &FaultEntry,
    ) -> Result<TimedFault, ScenarioError> {
        let at = *entry.at.get_ref();
        if !(0.0..*file.span.get_ref()).contains(&at) {
            let span = file.span.get_ref();
            let cause = format!("expected a time from 0 to under the span of {span} s, found {at}");
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
                let cause = format!("unknown kind of fault '{other}'");
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
                let cause = format!("expected indices from 0 to {}, found {index}", count - 1);
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
                let cause = format!(
                    "expected a share from 0 to under 1, found {}",
                    share.get_ref()
                );
                Err(self.key_error(key, share.span(), cause))
            }
        }
    }
}

#[cfg(test)]
mod tests;
