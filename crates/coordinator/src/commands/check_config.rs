//! `check-config`: reads the configuration with all descriptions that it names, and prints what takes effect.

use super::output::{print, print_json, report};
use super::CommandStatus;
use crate::cli::OutputOptions;
use crate::configuration::{self, Config, ConfigError};
use crate::contract;
use cairnroad_contract::document::to_yaml;
use serde_json::json;

/// Why the configuration would not start.
#[derive(Debug, thiserror::Error)]
enum CheckError {
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    #[error("{}", .0.join("\n"))]
    Descriptions(Vec<String>),
}

/// Runs the command.
pub fn run(output: OutputOptions) -> CommandStatus {
    match (check(), output.json) {
        (Ok(config), true) => {
            print_json(&json!({"sound": true, "effective": config.effective()}));
            CommandStatus::Success
        }
        (Ok(config), false) => {
            print(&to_yaml(&config.effective()).replacen("---\n", "", 1));
            CommandStatus::Success
        }
        (Err(error), true) => {
            let text = error.to_string();
            let faults: Vec<&str> = text.lines().collect();
            print_json(&json!({"sound": false, "faults": faults}));
            CommandStatus::Faulty
        }
        (Err(error), false) => {
            report(&error);
            CommandStatus::Faulty
        }
    }
}

fn check() -> Result<Config, CheckError> {
    let config = configuration::load()?;
    let faults: Vec<String> = contract::read(&config.contracts, config.backend)
        .into_iter()
        .filter_map(|(interface, description)| {
            let error = description.err()?;
            Some(format!("contract.{interface}: {error}"))
        })
        .collect();
    if !faults.is_empty() {
        return Err(CheckError::Descriptions(faults));
    }
    Ok(config)
}
