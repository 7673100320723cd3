//! `check-config`: reads the configuration and the descriptions that it names, and prints the settings in effect.

use super::output::{print, print_error, print_json};
use super::CommandStatus;
use crate::cli::OutputOptions;
use crate::configuration::{self, Config, ConfigError};
use crate::contract;
use cairnroad_contract::document::to_yaml;
use serde_json::json;

/// The reason why the coordinator would not start with this configuration.
#[derive(Debug, thiserror::Error)]
enum CheckError {
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// Faults of the descriptions, one line each.
    #[error("{}", .0.join("\n"))]
    Descriptions(Vec<String>),
}

/// Runs the command: prints the settings in effect, or the faults of the configuration.
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
            CommandStatus::FaultsFound
        }
        (Err(error), false) => {
            print_error(&error);
            CommandStatus::FaultsFound
        }
    }
}

/// Loads the configuration and the descriptions that it names, as a start of the coordinator does.
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
