//! `roster show`: prints the latest snapshot of the endpoint list.

use super::configured_files;
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_error, print_json};
use crate::commands::CommandStatus;
use cairnroad_endpoint_files::render::to_toml;
use cairnroad_endpoint_files::snapshot_store::{SnapshotStore, StateDirectory};
use cairnroad_endpoint_files::timestamp::format_timestamp;
use serde_json::json;

/// Runs the command. Unusable snapshots are reported, but are no error as long as one is usable.
pub fn show(output: OutputOptions) -> Result<CommandStatus, CommandError> {
    let state_dir = configured_files()?.state_dir;
    let state_dir = state_dir.ok_or(CommandError::NoStateDir)?;
    let recovery = SnapshotStore::new(StateDirectory(state_dir.clone())).recover();
    for unusable in recovery.unusable_slots {
        print_error(&format!("{}: {unusable}", state_dir.display()));
    }
    let snapshot = recovery
        .snapshot
        .ok_or(CommandError::NoSnapshot(state_dir))?;
    if output.json {
        print_json(&json!({"since": snapshot.saved_at, "roster": snapshot.endpoint_set}));
    } else {
        print(&format!(
            "# in force since {}\n{}",
            format_timestamp(snapshot.saved_at),
            to_toml(&snapshot.endpoint_set)
        ));
    }
    Ok(CommandStatus::Success)
}
