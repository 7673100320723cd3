//! `roster diff`: prints the changes that take effect if one endpoint list replaces another.

use super::{configured_files, read_endpoint_set};
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_json};
use crate::commands::CommandStatus;
use cairnroad_endpoint_files::update_plan::plan_update;
use serde_json::json;
use std::path::Path;

/// Runs the command. Without an old list, the new one is compared with the configured files.
pub fn diff(
    new: &Path,
    old: Option<&Path>,
    output: OutputOptions,
) -> Result<CommandStatus, CommandError> {
    let configured = configured_files()?;
    let old = read_endpoint_set(old.unwrap_or(&configured.path))?;
    let new = read_endpoint_set(new)?;
    let plan = plan_update(&old, &new, &configured.layout);
    if output.json {
        print_json(&json!(plan));
    } else {
        print(&plan.to_string());
    }
    Ok(CommandStatus::Success)
}
