//! Configuration errors, from a missing file down to a single invalid value.

use cairnroad_cluster::member_names::MemberNamesError;
use cairnroad_settings::SettingsError;
use std::io;
use std::path::PathBuf;

/// The reason why the configuration can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not name the deployment's file.
    #[error("NODE_CONFIG is not set: expected the path of the deployment's JSON file")]
    NoDeploymentFile,
    /// The deployment's file can't be read.
    #[error("NODE_CONFIG: {}: {source}", path.display())]
    DeploymentFileUnreadable {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The project's own file can't be read.
    #[error("{}: {source}", path.display())]
    ProjectFileUnreadable {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The content of the deployment's file, or an environment variable that replaces a key of it, is invalid.
    #[error("configuration: {}: {source}", path.display())]
    DeploymentFile {
        /// Path of the file.
        path: PathBuf,
        /// The fault.
        source: DeploymentFileError,
    },
    /// The content of the project's own file is invalid.
    #[error("configuration: {}{}: {source}", path.display(), line_suffix(.source.line()))]
    ProjectFile {
        /// Path of the file.
        path: PathBuf,
        /// The fault and, if known, its line.
        source: ProjectFileError,
    },
}

/// Returns `:LINE` to append to a path; empty if the line is unknown.
fn line_suffix(line: Option<usize>) -> String {
    line.map(|line| format!(":{line}")).unwrap_or_default()
}

/// A fault in the content of either file, reported by code that does not know the file's path.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// A fault in the deployment's file, or in the environment variables that replace its keys.
    #[error(transparent)]
    Deployment(#[from] DeploymentFileError),
    /// A fault in the project's own file.
    #[error(transparent)]
    Project(#[from] ProjectFileError),
}

/// A fault in the deployment's file, or in the environment variables that replace its keys.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentFileError {
    /// The file is not JSON, or a key has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The settings are rejected.
    #[error("{0}: {help}", help = .0.help())]
    Settings(#[from] SettingsError),
    /// A query class has no name. The simulator's classes may lack one, but clients request a class by its name.
    #[error("settings: classes[].name is missing")]
    UnnamedClass,
    /// Neither the file nor the environment states a mandatory value.
    #[error("'{key}' ({variable}) is missing")]
    Missing {
        /// The value's key in the file.
        key: &'static str,
        /// The value's environment variable.
        variable: &'static str,
    },
    /// A value is not an address with a port.
    #[error("'{key}': expected an IP address with a port, found '{value}'")]
    InvalidAddress {
        /// The value's key in the file.
        key: &'static str,
        /// The value found.
        value: String,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("'seed': expected a hexadecimal number of at most 64 bits, found '{0}'")]
    InvalidSeed(String),
    /// The variable for the inherited socket does not name a descriptor above the standard ones.
    #[error("NODE_INHERITED_FD: expected a descriptor above 2, found '{0}'")]
    InvalidDescriptor(String),
    /// The coordinator's name is not valid as the name of a group member, which datagrams carry.
    #[error("'name': '{0}' is not a valid member name: {help}", help = MemberNamesError::InvalidName(String::new()).help())]
    InvalidMemberName(String),
}

/// A fault in the project's own file.
#[derive(Debug, thiserror::Error)]
pub enum ProjectFileError {
    /// The file is not TOML, or a key is unknown or has the wrong type.
    #[error("{message}")]
    Malformed {
        /// Line of the fault, from 1.
        line: usize,
        /// The TOML parser's message, joined to one line.
        message: String,
    },
    /// A value is missing or not allowed.
    #[error("'{key}': {source}")]
    Value {
        /// Path of the key, such as `contract.servers.share`.
        key: String,
        /// Line of the key or else of its table, from 1; `None` if the file has neither.
        line: Option<usize>,
        /// Why the value is rejected.
        source: ValueError,
    },
}

impl ProjectFileError {
    /// Returns the line of the fault, from 1, if it is known.
    pub fn line(&self) -> Option<usize> {
        match self {
            ProjectFileError::Malformed { line, .. } => Some(*line),
            ProjectFileError::Value { line, .. } => *line,
        }
    }
}

/// The reason why a value in the project's own file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// A key is missing that another key's value makes mandatory.
    #[error("missing, but required when '{0}' is true")]
    RequiredBy(&'static str),
    /// The value is not an address with a port.
    #[error("expected an IP address with a port, found '{0}'")]
    InvalidAddress(String),
    /// The advertised port is 0, which is not an address that other members can send to.
    #[error("port 0 can't receive datagrams: set the port that other members send to")]
    PortZero,
    /// The endpoint list is read from files, but their path is not set.
    #[error("missing, expected the path of a folder of endpoint files or of a single file")]
    NoEndpointFiles,
    /// A share is outside [0, 1].
    #[error("expected a number from 0 to 1, found {0}")]
    InvalidShare(f64),
    /// The sampled share of messages is outside (0, 1].
    #[error("expected a number above 0 and at most 1, found {0}")]
    InvalidSampledShare(f64),
    /// Checks are enabled for an interface, but the path of its description is not set.
    #[error("missing, expected the path of the interface's description")]
    NoDescription,
    /// Enforcement is not available for discovery: rejecting an endpoint list would keep servers in use that are
    /// draining or gone.
    #[error("'enforce' is not available for discovery: its updates can only be observed")]
    DiscoveryEnforced,
    /// An index maps to a class that the deployment does not have.
    #[error("unknown class '{0}'")]
    UnknownClass(String),
    /// An index covers shards that do not exist, or its first shard is after its last.
    #[error("index '{index}': expected the first and the last shard, within 0 to {last_shard}")]
    UnknownShards {
        /// Name of the index.
        index: String,
        /// The deployment's last shard, inclusive.
        last_shard: u32,
    },
    /// The query protocol does not allow this index name.
    #[error("'{0}' is not a valid index name")]
    InvalidIndexName(String),
    /// The name of the group of coordinators is invalid.
    #[error(transparent)]
    InvalidClusterName(MemberNamesError),
    /// The member names of the group of coordinators are invalid.
    #[error("{0}: {help}", help = .0.help())]
    InvalidMemberNames(MemberNamesError),
    /// A string is too long for a datagram.
    #[error("'{value}' is longer than {limit} bytes")]
    TooLong {
        /// The string found.
        value: String,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// There are more offers than a datagram can carry.
    #[error("expected at most {limit} entries")]
    TooManyOffers {
        /// Maximum number of offers.
        limit: usize,
    },
    /// The member names do not include this coordinator's.
    #[error("'{0}', the name of this coordinator, is not among the member names")]
    NotAMember(String),
}
