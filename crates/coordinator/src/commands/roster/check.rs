//! `roster check`: parses an endpoint list and prints all its faults.

use super::{check_exists, configured_files};
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_json};
use crate::commands::CommandStatus;
use crate::discovery::file_source;
use cairnroad_endpoint_files::fault::join_lines;
use cairnroad_endpoint_files::parse::parse_files;
use cairnroad_endpoint_files::validation::validate;
use serde_json::json;
use std::path::Path;

/// Runs the command on a path or, without one, on the configured files.
pub fn check(path: Option<&Path>, output: OutputOptions) -> Result<CommandStatus, CommandError> {
    let configured = configured_files()?;
    let path = path.unwrap_or(&configured.path);
    check_exists(path)?;
    let endpoint_set = parse_files(&file_source::read_files(path));
    let faults = match &endpoint_set {
        Ok(endpoint_set) => validate(endpoint_set, &configured.layout),
        Err(faults) => faults.clone(),
    };
    let status = CommandStatus::from_faults(!faults.is_empty());
    if output.json {
        let generation = endpoint_set.ok().map(|set| set.generation);
        print_json(&json!({
            "sound": faults.is_empty(),
            "generation": generation,
            "faults": faults,
        }));
        return Ok(status);
    }
    match endpoint_set {
        Ok(endpoint_set) if faults.is_empty() => print(&format!(
            "{}: valid: generation {}, {} servers, {} of them active\n",
            path.display(),
            endpoint_set.generation,
            endpoint_set.endpoints.len(),
            endpoint_set.active_count()
        )),
        _ => print(&format!("{}\n", join_lines(&faults))),
    }
    Ok(status)
}
