//! What can be wrong with the configuration, from a missing file down to a single value.

use cairnroad_cluster::member_names::MemberNamesError;
use cairnroad_settings::SettingsError;
use std::io;
use std::path::PathBuf;

/// Why there is no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not name the deployment's file.
    #[error("NODE_CONFIG is not set")]
    NoDeploymentFile,
    /// The deployment's file can't be read.
    #[error("NODE_CONFIG: {}: {source}", path.display())]
    DeploymentFileUnreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The project's own file can't be read.
    #[error("{}: {source}", path.display())]
    ProjectFileUnreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The deployment's file, or the environment in its place, is faulty.
    #[error("configuration: {}: {source}", path.display())]
    DeploymentFile {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: DeploymentFileError,
    },
    /// The project's own file is faulty.
    #[error("configuration: {}{}: {source}", path.display(), line_suffix(.source.line()))]
    ProjectFile {
        /// The file.
        path: PathBuf,
        /// What is wrong in it, and in which line.
        source: ProjectFileError,
    },
}

fn line_suffix(line: Option<usize>) -> String {
    line.map(|line| format!(":{line}")).unwrap_or_default()
}

/// A fault in the content of either file, whose path the reader of the content does not know.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// In the deployment's file, or the environment in its place.
    #[error(transparent)]
    Deployment(#[from] DeploymentFileError),
    /// In the project's own file.
    #[error(transparent)]
    Project(#[from] ProjectFileError),
}

/// What is wrong with the deployment's file, or with the environment in its place.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentFileError {
    /// It is not JSON, or a key has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The settings are rejected.
    #[error("{0}: {help}", help = .0.help())]
    Settings(#[from] SettingsError),
    /// A query class has no name. The simulator's classes may; those that clients ask for by name may not.
    #[error("settings: classes[].name is missing")]
    UnnamedClass,
    /// Neither the file nor the environment states a mandatory value.
    #[error("'{key}' ({variable}) is missing")]
    Missing {
        /// Its key in the file.
        key: &'static str,
        /// Its environment variable.
        variable: &'static str,
    },
    /// A value is not an address with a port.
    #[error("'{key}': '{value}' is not an address and a port")]
    InvalidAddress {
        /// Its key.
        key: &'static str,
        /// The value found.
        value: String,
    },
    /// The seed is not a hexadecimal number of 64 bits at most.
    #[error("'seed': '{0}' is not hexadecimal")]
    InvalidSeed(String),
    /// The inherited socket's variable does not name a descriptor above the standard ones.
    #[error("NODE_INHERITED_FD: '{0}' is not a descriptor above 2")]
    InvalidDescriptor(String),
    /// A member of a group of coordinators needs a name that its datagrams can carry.
    #[error("'name': '{0}' can't be a peer's: {help}", help = MemberNamesError::InvalidName(String::new()).help())]
    InvalidMemberName(String),
}

/// What is wrong with the project's own file.
#[derive(Debug, thiserror::Error)]
pub enum ProjectFileError {
    /// It is not TOML, or a key is unknown or has the wrong type.
    #[error("{message}")]
    Malformed {
        /// The line, from 1.
        line: usize,
        /// The TOML reader's message, on one line.
        message: String,
    },
    /// A value is missing or not allowed.
    #[error("'{key}': {source}")]
    Value {
        /// Path of the key, such as `contract.servers.share`.
        key: String,
        /// The line of the key or else of its table, from 1, if either stands in the file.
        line: Option<usize>,
        /// What is wrong with the value.
        source: ValueError,
    },
}

impl ProjectFileError {
    /// The faulty line, from 1, where one is known.
    pub fn line(&self) -> Option<usize> {
        match self {
            ProjectFileError::Malformed { line, .. } => Some(*line),
            ProjectFileError::Value { line, .. } => *line,
        }
    }
}

/// Why a value of the project's own file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// It is missing though another key makes it mandatory.
    #[error("this is missing though '{0}' is true")]
    RequiredBy(&'static str),
    /// It is not an address with a port.
    #[error("'{0}' is not an address and a port")]
    InvalidAddress(String),
    /// Others can't send to port 0.
    #[error("nobody can send to port 0: name the port that others reach")]
    PortZero,
    /// The endpoint list is to be read from files, but none are named.
    #[error("the folder of the roster's files, or its one file, is missing")]
    NoEndpointFiles,
    /// A share outside [0, 1].
    #[error("{0} is not from 0 to 1")]
    InvalidShare(f64),
    /// A sampled share outside (0, 1].
    #[error("{0} is not above 0 and 1 at most")]
    InvalidSampledShare(f64),
    /// An interface is to be checked, but its description is not named.
    #[error("the description's file is missing")]
    NoDescription,
    /// An endpoint list that is rejected would leave servers in use that drain or are gone.
    #[error("discovery's updates can be observed, not rejected")]
    DiscoveryEnforced,
    /// An index maps to a class that the deployment does not have.
    #[error("'{0}' is no class")]
    UnknownClass(String),
    /// An index covers shards that do not exist.
    #[error("of '{index}': there are shards 0 to {last_shard}")]
    UnknownShards {
        /// The index.
        index: String,
        /// The deployment's last shard.
        last_shard: u32,
    },
    /// A name that the query protocol does not allow for an index.
    #[error("'{0}' can't be an index")]
    InvalidIndexName(String),
    /// The name of a group of coordinators is not allowed.
    #[error(transparent)]
    InvalidClusterName(MemberNamesError),
    /// The member names of a group of coordinators are faulty.
    #[error("{0}: {help}", help = .0.help())]
    InvalidMemberNames(MemberNamesError),
    /// A text is too long for a datagram.
    #[error("'{value}' is longer than {limit} bytes")]
    TooLong {
        /// The text.
        value: String,
        /// Most bytes.
        limit: usize,
    },
    /// There are more offers than a datagram carries.
    #[error("there are more than {limit}")]
    TooManyOffers {
        /// Most offers.
        limit: usize,
    },
    /// The group does not include this coordinator.
    #[error("'{0}', the name of this coordinator, is not among them")]
    NotAMember(String),
}
