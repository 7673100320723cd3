//! Why a command could not be carried out.

use super::CommandStatus;
use crate::configuration::ConfigError;
use cairnroad_contract::fault::Faults;
use cairnroad_endpoint_files::fault::{join_lines, Fault};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The configuration can't be read or is faulty.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A path names a folder or a device.
    #[error("{}: this is no plain file", .0.display())]
    NotAFile(PathBuf),
    /// A description that the command uses is faulty.
    #[error("{0}")]
    Description(Faults),
    /// Descriptions of different formats can't be compared.
    #[error("{0}")]
    Incomparable(#[source] Box<dyn Error + Send + Sync>),
    /// The endpoint list is not read from files.
    #[error("'membership.source' is not \"files\" in the project's own file: there is no roster")]
    NoEndpointFiles,
    /// No snapshot of the endpoint list is kept.
    #[error("'membership.state' is not set in the project's own file: no list is kept")]
    NoStateDir,
    /// There is no usable snapshot of the endpoint list.
    #[error("{}: no list is kept here", .0.display())]
    NoSnapshot(PathBuf),
    /// The files of an endpoint list are faulty.
    #[error("{}", join_lines(.0))]
    Roster(Vec<Fault>),
    /// A new endpoint list must not replace the one in force.
    #[error("nothing was written: {}", join_lines(.0))]
    RosterRejected(Vec<Fault>),
}

impl CommandError {
    /// A file that can't be read or written.
    pub fn file(path: &Path, source: io::Error) -> CommandError {
        CommandError::File {
            path: path.into(),
            source,
        }
    }

    /// The status that the command ends with.
    pub fn status(&self) -> CommandStatus {
        match self {
            CommandError::Roster(_) | CommandError::RosterRejected(_) => CommandStatus::Faulty,
            CommandError::Configuration(_)
            | CommandError::File { .. }
            | CommandError::NotAFile(_)
            | CommandError::Description(_)
            | CommandError::Incomparable(_)
            | CommandError::NoEndpointFiles
            | CommandError::NoStateDir
            | CommandError::NoSnapshot(_) => CommandStatus::Unreadable,
        }
    }
}
