//! `contract show`: prints the coordinator's own description for the current configuration.

use crate::cli::DescriptionKind;
use crate::commands::error::CommandError;
use crate::commands::output::print;
use crate::commands::CommandStatus;
use crate::{configuration, published_descriptions};
use cairnroad_contract::document::to_yaml;
use cairnroad_contract::publish;
use serde_json::Value;

/// Runs the command: prints the description as JSON or, with `yaml`, as YAML.
pub fn show(kind: DescriptionKind, yaml: bool) -> Result<CommandStatus, CommandError> {
    let config = configuration::load()?;
    let spec = published_descriptions::interface_spec(&config);
    let document = match kind {
        DescriptionKind::Openapi => publish::openapi(&spec),
        DescriptionKind::Asyncapi => publish::asyncapi(&spec),
    };
    let text = match yaml {
        true => to_yaml(&document),
        false => indented_json(&document),
    };
    print(&text);
    Ok(CommandStatus::Success)
}

fn indented_json(document: &Value) -> String {
    // Serializing a `Value` never fails.
    serde_json::to_string_pretty(document).unwrap_or_default() + "\n"
}
