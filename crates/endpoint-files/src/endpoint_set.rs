//! The words of a roster.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// What a server may be asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes work.
    #[default]
    Active,
    /// It finishes what it has and gets nothing new.
    #[serde(rename = "leaving")]
    Draining,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its cell, which tells the shards that it holds.
    pub cell: u32,
    /// Its data room, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub locality: String,
    /// Its kind of machine, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Whether it takes work.
    #[serde(default)]
    pub phase: Phase,
    /// Its share of turns beside the other holders of its shards; 0: only what no other can take.
    pub weight: f64,
    /// When it started, in Unix seconds; unknown counts as just started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<f64>,
    /// From when on it counts, and from when on it leaves, in Unix seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before: Option<f64>,
    /// See `not_before`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_after: Option<f64>,
}

/// A list of servers, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSet {
    /// Counts up with each list that somebody means.
    pub generation: u64,
    /// The writer means to remove more than the usual share at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub allow_shrink: bool,
    /// By id.
    #[serde(rename = "servers")]
    pub endpoints: BTreeMap<String, Endpoint>,
}

impl EndpointSet {
    /// How many servers take work.
    pub fn active_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|server| server.phase == Phase::Active)
            .count()
    }

    /// Whether two lists say the same, whatever their flags.
    pub fn has_same_endpoints(&self, other: &EndpointSet) -> bool {
        self.endpoints == other.endpoints
    }
}

/// How the servers' cells hold shards: shard `s` is held by the cells from `s mod cells` on, `reach` of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLayout {
    /// How many cells there are.
    pub cells: u32,
    /// How many hold a shard.
    pub reach: u32,
    /// How many shards there are.
    pub shards: u32,
}

impl ShardLayout {
    /// The cells that hold a shard.
    pub fn holders(&self, shard: u32) -> impl Iterator<Item = u32> + '_ {
        let cells = self.cells.max(1);
        (0..self.reach.min(cells))
            .map(move |step| ((u64::from(shard) + u64::from(step)) % u64::from(cells)) as u32)
    }
}

/// One thing that is wrong with a roster's files.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The line, from 1; 0 where the file or the list as a whole is meant.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub cause: String,
}

impl Fault {
    /// A fault of the list as a whole.
    pub fn whole(cause: impl Into<String>) -> Fault {
        Fault {
            file: String::new(),
            line: 0,
            cause: cause.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.file.as_str(), self.line) {
            ("", _) => f.write_str(&self.cause),
            (file, 0) => write!(f, "{file}: {}", self.cause),
            (file, line) => write!(f, "{file}:{line}: {}", self.cause),
        }
    }
}

/// All faults as lines.
pub fn join_lines(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(Fault::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}
