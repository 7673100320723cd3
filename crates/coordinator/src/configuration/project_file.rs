//! The project's own TOML file: its tables, all of them optional, and the lines of its keys for error messages.

use super::cluster::ClusterTable;
use super::contracts::ContractTable;
use super::endpoint_files::MembershipTable;
use super::error::{ProjectFileError, ValueError};
use super::opensearch::OpenSearchTable;
use crate::observability::log;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The file's tables. Unknown keys are errors, because a misspelt key would otherwise be silently ignored.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProjectTables {
    /// The second front and its indices.
    #[serde(default)]
    pub opensearch: OpenSearchTable,
    /// The protocol to servers.
    #[serde(default)]
    pub backend: BackendTable,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// The interfaces whose traffic is checked against a description.
    #[serde(default)]
    pub contract: ContractTable,
    /// The source of the endpoint list.
    #[serde(default)]
    pub membership: MembershipTable,
    /// Membership in a group of coordinators.
    #[serde(default)]
    pub peers: ClusterTable,
}

/// The `[backend]` table.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendTable {
    /// The protocol that servers speak.
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

/// The `[log]` table: how the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity that is written.
    #[serde(default)]
    pub level: log::Level,
    /// Format of a line.
    #[serde(default)]
    pub format: log::LineFormat,
    /// Interval of the metrics line in seconds; 0 disables it.
    #[serde(default, rename = "tally_s")]
    pub metrics_interval_s: u32,
}

/// The file's text, and the folder that relative paths in it refer to.
pub struct ProjectFile<'a> {
    /// The file's content; empty if there is no file.
    pub text: &'a str,
    /// The folder that contains the file.
    pub folder: &'a Path,
}

impl ProjectFile<'_> {
    /// Parses the file's tables.
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

    /// Returns the error for the value of `key`, a dotted path such as `contract.servers.share`.
    pub fn error(&self, key: &str, source: ValueError) -> ProjectFileError {
        ProjectFileError::Value {
            key: key.into(),
            line: self.line_of(key),
            source,
        }
    }

    /// Parses the value of `key` as an address with a port.
    pub fn address(&self, key: &str, value: String) -> Result<SocketAddr, ProjectFileError> {
        value
            .parse()
            .map_err(|_| self.error(key, ValueError::InvalidAddress(value)))
    }

    /// Returns the line of a key, from 1; the line of its table if the key is absent, `None` if both are.
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
            } else if current_table == table && key_of_line(line) == name {
                return Some(index + 1);
            }
        }
        table_line
    }
}

/// Returns the name in a table header, `[name]` or `[[name]]`.
fn table_name(header: &str) -> &str {
    let name = header.trim_start_matches('[').split(']').next();
    name.unwrap_or("").trim()
}

/// Returns the key of a line `key = value`.
fn key_of_line(line: &str) -> &str {
    line.split('=').next().unwrap_or("").trim()
}
