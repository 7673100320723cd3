//! `roster diff`: prints what one endpoint list would do in place of another.

use super::{configured_files, read_roster};
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_json};
use crate::commands::CommandStatus;
use cairnroad_endpoint_files::update_plan::plan_update;
use serde_json::json;
use std::path::Path;

/// Runs the command; without an old list, on the configured files.
pub fn diff(
    new: &Path,
    old: Option<&Path>,
    output: OutputOptions,
) -> Result<CommandStatus, CommandError> {
    let configured = configured_files()?;
    let old = read_roster(old.unwrap_or(&configured.path))?;
    let new = read_roster(new)?;
    let plan = plan_update(&old, &new, &configured.layout);
    if output.json {
        print_json(&json!(plan));
    } else {
        print(&plan.to_string());
    }
    Ok(CommandStatus::Success)
}
