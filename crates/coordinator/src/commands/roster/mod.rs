//! `roster ...`: commands on the endpoint list in files.

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

/// The configured files of the endpoint list.
fn configured_files() -> Result<EndpointFilesSettings, CommandError> {
    let config = configuration::load()?;
    config.endpoint_files.ok_or(CommandError::NoEndpointFiles)
}

/// Reads an endpoint list that a command uses.
fn read_roster(path: &Path) -> Result<EndpointSet, CommandError> {
    check_exists(path)?;
    parse_files(&file_source::read_files(path)).map_err(CommandError::Roster)
}

fn check_exists(path: &Path) -> Result<(), CommandError> {
    std::fs::metadata(path).map_err(|source| CommandError::file(path, source))?;
    Ok(())
}
