//! `roster show`: prints the latest snapshot of the endpoint list.

use super::configured_files;
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_json, report};
use crate::commands::CommandStatus;
use cairnroad_endpoint_files::keep::{recover, Folder};
use cairnroad_endpoint_files::read::{moment, write};
use serde_json::json;

/// Runs the command. A snapshot that can't be used is reported; the other one may be good.
pub fn show(output: OutputOptions) -> Result<CommandStatus, CommandError> {
    let state_dir = configured_files()?.state_dir;
    let state_dir = state_dir.ok_or(CommandError::NoStateDir)?;
    let (snapshot, faults) = recover(&Folder(state_dir.clone()));
    for fault in faults {
        report(&format!("{}: {fault}", state_dir.display()));
    }
    let snapshot = snapshot.ok_or(CommandError::NoSnapshot(state_dir))?;
    if output.json {
        print_json(&json!({"since": snapshot.saved, "roster": snapshot.roster}));
    } else {
        print(&format!(
            "# in force since {}\n{}",
            moment(snapshot.saved),
            write(&snapshot.roster)
        ));
    }
    Ok(CommandStatus::Success)
}
