//! `roster check`: reads an endpoint list and prints all its faults.

use super::{check_exists, configured_files};
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_json};
use crate::commands::CommandStatus;
use crate::discovery::file_source;
use cairnroad_endpoint_files::decide::sound;
use cairnroad_endpoint_files::model::lines;
use cairnroad_endpoint_files::read::read;
use serde_json::json;
use std::path::Path;

/// Runs the command; without a path, on the configured files.
pub fn check(path: Option<&Path>, output: OutputOptions) -> Result<CommandStatus, CommandError> {
    let configured = configured_files()?;
    let path = path.unwrap_or(&configured.path);
    check_exists(path)?;
    let roster = read(&file_source::files(path));
    let faults = match &roster {
        Ok(roster) => sound(roster, &configured.layout),
        Err(faults) => faults.clone(),
    };
    let status = CommandStatus::of(!faults.is_empty());
    if output.json {
        let generation = roster.ok().map(|roster| roster.generation);
        print_json(&json!({
            "sound": faults.is_empty(),
            "generation": generation,
            "faults": faults,
        }));
        return Ok(status);
    }
    match roster {
        Ok(roster) if faults.is_empty() => print(&format!(
            "{}: sound: generation {}, {} servers, {} of them active\n",
            path.display(),
            roster.generation,
            roster.servers.len(),
            roster.active()
        )),
        _ => print(&format!("{}\n", lines(&faults))),
    }
    Ok(status)
}
