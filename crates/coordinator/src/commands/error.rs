//! Errors that end a command.

use super::CommandStatus;
use crate::configuration::ConfigError;
use cairnroad_contract::fault::Faults;
use cairnroad_endpoint_files::fault::{join_lines, Fault};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A path names a folder or a device.
    #[error("{}: not a regular file", .0.display())]
    NotAFile(PathBuf),
    /// A description that the command needs is invalid.
    #[error("{0}")]
    Description(Faults),
    /// Descriptions of different formats can't be compared.
    #[error("{0}")]
    Incomparable(#[source] Box<dyn Error + Send + Sync>),
    /// The endpoint list is not read from files.
    #[error("'membership.source' in the project's own file is not \"files\": the endpoint list is not read from files")]
    NoEndpointFiles,
    /// No folder for snapshots of the endpoint list is configured.
    #[error("'membership.state' is not set in the project's own file: no snapshot of the endpoint list is stored")]
    NoStateDir,
    /// There is no usable snapshot of the endpoint list.
    #[error("{}: no usable snapshot of the endpoint list", .0.display())]
    NoSnapshot(PathBuf),
    /// The files of an endpoint list are invalid.
    #[error("{}", join_lines(.0))]
    InvalidEndpointList(Vec<Fault>),
    /// A new endpoint list is not allowed to replace the one in force.
    #[error("nothing was written: {}", join_lines(.0))]
    EndpointListRejected(Vec<Fault>),
}

impl CommandError {
    /// Returns the error for a file that can't be read or written.
    pub fn file(path: &Path, source: io::Error) -> CommandError {
        CommandError::File {
            path: path.into(),
            source,
        }
    }

    /// Returns the status that the command ends with.
    pub fn status(&self) -> CommandStatus {
        match self {
            CommandError::InvalidEndpointList(_) | CommandError::EndpointListRejected(_) => {
                CommandStatus::FaultsFound
            }
            CommandError::Configuration(_)
            | CommandError::File { .. }
            | CommandError::NotAFile(_)
            | CommandError::Description(_)
            | CommandError::Incomparable(_)
            | CommandError::NoEndpointFiles
            | CommandError::NoStateDir
            | CommandError::NoSnapshot(_) => CommandStatus::InputError,
        }
    }
}
