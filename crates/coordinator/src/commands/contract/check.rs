//! `contract check`: reads descriptions and prints all their faults.

use super::check_readable;
use crate::cli::OutputOptions;
use crate::commands::output::{print, print_json, report};
use crate::commands::CommandStatus;
use cairnroad_contract::fault::Faults;
use cairnroad_contract::model::Description;
use serde_json::json;
use std::path::{Path, PathBuf};

/// Runs the command. All files are read, whatever is wrong with one of them; the worst status counts.
pub fn check(files: &[PathBuf], output: OutputOptions) -> CommandStatus {
    files.iter().fold(CommandStatus::Success, |worst, path| {
        worst.or_worse(check_file(path, output))
    })
}

fn check_file(path: &Path, output: OutputOptions) -> CommandStatus {
    if let Err(error) = check_readable(path) {
        report(&error);
        return error.status();
    }
    match Description::open(path) {
        Ok(description) => {
            print_description(path, &description, output);
            CommandStatus::Success
        }
        Err(faults) => {
            print_faults(path, &faults, output);
            CommandStatus::Faulty
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
    // OpenAPI describes operations, AsyncAPI messages.
    let (count, unit) = match operations {
        0 => (messages, "messages"),
        _ => (operations, "operations"),
    };
    print(&format!(
        "{}: sound: {:?} {}, {}, {count} {unit}\n",
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
