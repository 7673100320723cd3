//! A scenario: how many processes there are, and what happens to them when. Faults of the file name line and key.

use serde::Deserialize;
use std::ops::Range;
use std::path::Path;
use toml::Spanned;

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing passes between these and all others; connections stay open and silent.
    Cut {
        members: Vec<usize>,
        nodes: Vec<usize>,
    },
    /// What these coordinators tell their peers is lost; what they are told arrives.
    Mute {
        members: Vec<usize>,
    },
    /// All cuts are over.
    Heal,
    /// Shares of the peers' datagrams that are lost and that come twice, and how late they come, in milliseconds, at
    /// least and at most: so they also overtake one another.
    Loss {
        loss: f64,
        twice: f64,
        delay_ms: [f64; 2],
    },
    /// All connections of these coordinators to data nodes are reset.
    Reset {
        members: Vec<usize>,
    },
    /// Stopped in the middle, as by SIGSTOP.
    Stop {
        members: Vec<usize>,
    },
    Resume {
        members: Vec<usize>,
    },
    Kill {
        members: Vec<usize>,
    },
    /// Told to stop (SIGTERM), and started again once they have ended.
    Restart {
        members: Vec<usize>,
    },
    /// Started again after a kill.
    Start {
        members: Vec<usize>,
    },
    /// Told to read their configuration anew (SIGHUP).
    Reload {
        members: Vec<usize>,
    },
    /// Data nodes that are taken off the list of all coordinators.
    Remove {
        nodes: Vec<usize>,
    },
    /// Data nodes that from now on give values that are not theirs. For trying the checker.
    Lie {
        nodes: Vec<usize>,
    },
}

impl Fault {
    /// The coordinators that it strikes.
    pub fn members(&self) -> &[usize] {
        match self {
            Fault::Cut { members, .. }
            | Fault::Mute { members }
            | Fault::Reset { members }
            | Fault::Stop { members }
            | Fault::Resume { members }
            | Fault::Kill { members }
            | Fault::Restart { members }
            | Fault::Start { members }
            | Fault::Reload { members } => members,
            Fault::Heal | Fault::Loss { .. } | Fault::Remove { .. } | Fault::Lie { .. } => &[],
        }
    }
}

/// A scenario, read and checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub coordinators: usize,
    pub nodes: usize,
    /// Queries a second, over all.
    pub rate: f64,
    /// Seconds.
    pub span: f64,
    /// Whether coordinators take part in a group.
    pub peers: bool,
    /// Seconds within which every view has to be right after a fault.
    pub settled_s: f64,
    pub faults: Vec<(f64, Fault)>,
}

/// What is wrong with a scenario's file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{path}: {cause}")]
    File { path: String, cause: std::io::Error },
    #[error("{path}:{line}: {cause}")]
    Form {
        path: String,
        line: usize,
        cause: String,
    },
    #[error("{path}:{line}: '{key}': {cause}")]
    Key {
        path: String,
        line: usize,
        key: &'static str,
        cause: String,
    },
}

impl Error {
    /// What can be done.
    pub fn help(&self) -> &'static str {
        match self {
            Error::File { .. } => {
                "name a scenario's file, such as crates/testbed/scenarios/twelve.toml"
            }
            Error::Form { .. } => "see docs/LAB.md for the keys of a scenario",
            Error::Key { .. } => "see docs/LAB.md for the kinds of fault and their keys",
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    seed: u64,
    coordinators: Spanned<usize>,
    nodes: Spanned<usize>,
    rate: Spanned<f64>,
    span: Spanned<f64>,
    #[serde(default)]
    peers: bool,
    #[serde(default = "usual")]
    settled_s: f64,
    #[serde(default)]
    fault: Vec<FileFault>,
}

fn usual() -> f64 {
    15.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileFault {
    at: Spanned<f64>,
    kind: Spanned<String>,
    members: Option<Spanned<Vec<usize>>>,
    nodes: Option<Spanned<Vec<usize>>>,
    loss: Option<Spanned<f64>>,
    twice: Option<Spanned<f64>>,
    delay_ms: Option<Spanned<[f64; 2]>>,
}

/// Reads a scenario's file.
pub fn load(path: &Path) -> Result<Scenario, Error> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|cause| Error::File {
        path: name.clone(),
        cause,
    })?;
    read(&name, &text)
}

/// Reads a scenario's text.
pub fn read(path: &str, text: &str) -> Result<Scenario, Error> {
    let line = |span: Range<usize>| text.get(..span.start).unwrap_or("").matches('\n').count() + 1;
    let file: File = toml::from_str(text).map_err(|e| Error::Form {
        path: path.into(),
        line: line(e.span().unwrap_or(0..0)),
        cause: e.message().trim().replace('\n', ": "),
    })?;
    let key = |key: &'static str, span: Range<usize>, cause: String| Error::Key {
        path: path.into(),
        line: line(span),
        key,
        cause,
    };
    let (coordinators, nodes) = (*file.coordinators.get_ref(), *file.nodes.get_ref());
    for (name, value) in [("coordinators", &file.coordinators), ("nodes", &file.nodes)] {
        if !(1..=500).contains(value.get_ref()) {
            return Err(key(
                name,
                value.span(),
                format!("{} is not from 1 to 500", value.get_ref()),
            ));
        }
    }
    for (name, value) in [("rate", &file.rate), ("span", &file.span)] {
        if !(value.get_ref().is_finite() && *value.get_ref() > 0.0) {
            return Err(key(
                name,
                value.span(),
                format!("{} is not above 0", value.get_ref()),
            ));
        }
    }
    let mut faults = Vec::new();
    for fault in file.fault {
        let at = *fault.at.get_ref();
        if !(0.0..*file.span.get_ref()).contains(&at) {
            return Err(key(
                "at",
                fault.at.span(),
                format!("{at} is not within the span"),
            ));
        }
        let known = |name, list: &Option<Spanned<Vec<usize>>>, count: usize| match list {
            None => Ok(Vec::new()),
            Some(list) => match list.get_ref().iter().find(|number| **number >= count) {
                Some(number) => Err(key(
                    name,
                    list.span(),
                    format!("there is no {number}: they count from 0"),
                )),
                None => Ok(list.get_ref().clone()),
            },
        };
        let (members, nodes) = (
            known("members", &fault.members, coordinators)?,
            known("nodes", &fault.nodes, nodes)?,
        );
        let share = |name, share: &Option<Spanned<f64>>| match share {
            None => Ok(0.0),
            Some(share) if (0.0..1.0).contains(share.get_ref()) => Ok(*share.get_ref()),
            Some(share) => Err(key(
                name,
                share.span(),
                format!("{} is not from 0 to under 1", share.get_ref()),
            )),
        };
        let kind = match fault.kind.get_ref().as_str() {
            "cut" => Fault::Cut { members, nodes },
            "mute" => Fault::Mute { members },
            "heal" => Fault::Heal,
            "loss" => Fault::Loss {
                loss: share("loss", &fault.loss)?,
                twice: share("twice", &fault.twice)?,
                delay_ms: fault.delay_ms.map_or([0.0, 0.0], |delay| *delay.get_ref()),
            },
            "reset" => Fault::Reset { members },
            "stop" => Fault::Stop { members },
            "resume" => Fault::Resume { members },
            "kill" => Fault::Kill { members },
            "restart" => Fault::Restart { members },
            "start" => Fault::Start { members },
            "reload" => Fault::Reload { members },
            "remove" => Fault::Remove { nodes },
            "lie" => Fault::Lie { nodes },
            other => {
                return Err(key(
                    "kind",
                    fault.kind.span(),
                    format!("'{other}' is no kind of fault"),
                ))
            }
        };
        faults.push((at, kind));
    }
    faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(Scenario {
        seed: file.seed,
        coordinators,
        nodes,
        rate: file.rate.into_inner(),
        span: file.span.into_inner(),
        peers: file.peers,
        settled_s: file.settled_s,
        faults,
    })
}

#[cfg(test)]
mod tests;
