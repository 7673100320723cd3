//! The project's own TOML file: its tables, and the line of a key for errors. All of it is optional.

use super::cluster::ClusterTable;
use super::contracts::ContractTable;
use super::endpoint_files::MembershipTable;
use super::error::{ProjectFileError, ValueError};
use super::opensearch::OpenSearchTable;
use crate::observability::log;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The file's tables. Unknown keys are errors: a misspelt one must not count as left out.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProjectTables {
    /// The second front.
    #[serde(default)]
    pub opensearch: OpenSearchTable,
    /// The connections to servers.
    #[serde(default)]
    pub backend: BackendTable,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// The checks of traffic against descriptions.
    #[serde(default)]
    pub contract: ContractTable,
    /// The endpoint list from files.
    #[serde(default)]
    pub membership: MembershipTable,
    /// The group of coordinators.
    #[serde(default)]
    pub peers: ClusterTable,
}

/// `[backend]`
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendTable {
    /// What servers speak.
    #[serde(default)]
    pub kind: BackendKind,
}

/// The protocol that servers speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendKind {
    /// The platform's binary frames.
    #[default]
    Frames,
    /// The query protocol over HTTP.
    OpenSearch,
}

/// How the log is written: `[log]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The least severity that is written.
    #[serde(default)]
    pub level: log::Level,
    /// The form of a line.
    #[serde(default)]
    pub format: log::LineFormat,
    /// Seconds between two lines of metrics; 0: none.
    #[serde(default, rename = "tally_s")]
    pub metrics_interval_s: u32,
}

/// The file's text and the folder from which its relative paths count.
pub struct ProjectFile<'a> {
    /// The file's text.
    pub text: &'a str,
    /// The folder that the file stands in.
    pub folder: &'a Path,
}

impl ProjectFile<'_> {
    /// Reads the file's tables.
    pub fn parse(&self) -> Result<ProjectTables, ProjectFileError> {
        toml::from_str(self.text).map_err(|error: toml::de::Error| {
            let start = error.span().map_or(0, |span| span.start);
            let before = self.text.get(..start).unwrap_or("");
            ProjectFileError::Malformed {
                line: before.matches('\n').count() + 1,
                message: error.message().trim().replace('\n', ": "),
            }
        })
    }

    /// The error for the value at a key, such as `contract.servers.share`.
    pub fn error(&self, key: &str, source: ValueError) -> ProjectFileError {
        ProjectFileError::Value {
            key: key.into(),
            line: self.line_of(key),
            source,
        }
    }

    /// Reads the address with a port at a key.
    pub fn address(&self, key: &str, value: String) -> Result<SocketAddr, ProjectFileError> {
        value
            .parse()
            .map_err(|_| self.error(key, ValueError::InvalidAddress(value)))
    }

    /// The line of a key or, where the key is not stated, of its table.
    fn line_of(&self, key: &str) -> Option<usize> {
        let (table, name) = key.rsplit_once('.').unwrap_or(("", key));
        let mut current_table = "";
        let mut table_line = None;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                current_table = table_name(line);
                if current_table == table {
                    table_line = table_line.or(Some(index + 1));
                }
            } else if current_table == table && stated_key(line) == name {
                return Some(index + 1);
            }
        }
        table_line
    }
}

/// The name in a header, `[name]` or `[[name]]`.
fn table_name(header: &str) -> &str {
    let name = header.trim_start_matches('[').split(']').next();
    name.unwrap_or("").trim()
}

/// The key of a line `key = value`.
fn stated_key(line: &str) -> &str {
    line.split('=').next().unwrap_or("").trim()
}
