//! `contract check`: parses descriptions and prints all their faults.

use super::check_readable;
use crate::cli::OutputOptions;
use crate::commands::output::{print, print_error, print_json};
use crate::commands::CommandStatus;
use cairnroad_contract::fault::Faults;
use cairnroad_contract::model::Description;
use serde_json::json;
use std::path::{Path, PathBuf};

/// Runs the command. All files are checked, even after a fault in one of them; the worst status is returned.
pub fn check(files: &[PathBuf], output: OutputOptions) -> CommandStatus {
    files.iter().fold(CommandStatus::Success, |status, path| {
        status.max_severity(check_file(path, output))
    })
}

fn check_file(path: &Path, output: OutputOptions) -> CommandStatus {
    if let Err(error) = check_readable(path) {
        print_error(&error);
        return error.status();
    }
    match Description::open(path) {
        Ok(description) => {
            print_description(path, &description, output);
            CommandStatus::Success
        }
        Err(faults) => {
            print_faults(path, &faults, output);
            CommandStatus::FaultsFound
        }
    }
}

fn print_description(path: &Path, description: &Description, output: OutputOptions) {
    let operations = description.operations.len();
    let messages = description.messages.len();
    if output.json {
        print_json(&json!({
            "file": path.display().to_string(),
            "sound": true,
            "format": description.format,
            "version": description.version,
            "title": description.title,
            "operations": operations,
            "messages": messages,
            "files": description.files().collect::<Vec<_>>(),
        }));
        return;
    }
    // OpenAPI documents describe operations, AsyncAPI documents messages.
    let (count, unit) = match operations {
        0 => (messages, "messages"),
        _ => (operations, "operations"),
    };
    print(&format!(
        "{}: valid: {:?} {}, {}, {count} {unit}\n",
        path.display(),
        description.format,
        description.version,
        description.title
    ));
}

fn print_faults(path: &Path, faults: &Faults, output: OutputOptions) {
    if output.json {
        let file = path.display().to_string();
        print_json(&json!({
            "file": file,
            "sound": false,
            "faults": faults.list,
            "more": faults.more,
        }));
    } else {
        print(&format!("{faults}\n"));
    }
}
