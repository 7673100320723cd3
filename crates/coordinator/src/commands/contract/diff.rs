//! `contract diff`: prints the changes between two descriptions and whether they break compatibility.

use super::open_description;
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_error, print_json};
use crate::commands::CommandStatus;
use cairnroad_contract::diff::{self, Change, ChangeImpact};
use cairnroad_contract::model::Description;
use serde_json::json;
use std::path::Path;

/// Runs the command. The status is `FaultsFound` if any change is breaking.
pub fn diff(old: &Path, new: &Path, output: OutputOptions) -> Result<CommandStatus, CommandError> {
    let (old, new) = open_both(old, new)?;
    let changes =
        diff::diff(&old, &new).map_err(|cause| CommandError::Incomparable(cause.into()))?;
    print_changes(&changes, output);
    let is_breaking = |change: &Change| change.impact == ChangeImpact::Breaking;
    Ok(CommandStatus::from_faults(changes.iter().any(is_breaking)))
}

/// Opens both descriptions. If both are invalid, both errors are printed.
fn open_both(old: &Path, new: &Path) -> Result<(Description, Description), CommandError> {
    match (open_description(old), open_description(new)) {
        (Err(old_error), Err(new_error)) => {
            print_error(&old_error);
            Err(new_error)
        }
        (old, new) => Ok((old?, new?)),
    }
}

fn print_changes(changes: &[Change], output: OutputOptions) {
    if output.json {
        print_json(&json!({ "changes": changes }));
        return;
    }
    if changes.is_empty() {
        print("no difference\n");
    }
    for change in changes {
        print(&format!("{change}\n"));
    }
}
