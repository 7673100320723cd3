//! The `roster` subcommands, which work on endpoint lists in files.

mod apply;
mod check;
mod diff;
mod show;

pub use apply::apply;
pub use check::check;
pub use diff::diff;
pub use show::show;

use super::error::CommandError;
use crate::configuration::{self, EndpointFilesSettings};
use crate::discovery::file_source;
use cairnroad_endpoint_files::endpoint_set::EndpointSet;
use cairnroad_endpoint_files::parse::parse_files;
use std::path::Path;

/// Returns the settings of the configured endpoint files.
fn configured_files() -> Result<EndpointFilesSettings, CommandError> {
    let config = configuration::load()?;
    config.endpoint_files.ok_or(CommandError::NoEndpointFiles)
}

/// Reads an endpoint list that a command needs as input.
fn read_endpoint_set(path: &Path) -> Result<EndpointSet, CommandError> {
    check_exists(path)?;
    parse_files(&file_source::read_files(path)).map_err(CommandError::InvalidEndpointList)
}

/// Returns an error if the path does not exist or can't be accessed.
fn check_exists(path: &Path) -> Result<(), CommandError> {
    std::fs::metadata(path).map_err(|source| CommandError::file(path, source))?;
    Ok(())
}
