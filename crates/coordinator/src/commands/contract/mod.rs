//! The `contract` subcommands, which work on interface descriptions.

mod check;
mod diff;
mod replay;
mod show;

pub use check::check;
pub use diff::diff;
pub use replay::replay;
pub use show::show;

use super::error::CommandError;
use cairnroad_contract::model::Description;
use std::fs::File;
use std::path::Path;

/// Checks that a path names a regular file that can be opened.
fn check_readable(path: &Path) -> Result<(), CommandError> {
    let metadata = std::fs::metadata(path).map_err(|source| CommandError::file(path, source))?;
    if !metadata.is_file() {
        return Err(CommandError::NotAFile(path.into()));
    }
    File::open(path).map_err(|source| CommandError::file(path, source))?;
    Ok(())
}

/// Opens a description that a command needs as input. Any fault in it is an error of the command.
fn open_description(path: &Path) -> Result<Description, CommandError> {
    check_readable(path)?;
    Description::open(path).map_err(CommandError::Description)
}
