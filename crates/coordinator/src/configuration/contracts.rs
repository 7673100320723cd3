//! The `[contract.*]` tables: the interfaces whose traffic is checked against a description.

use super::error::{ProjectFileError, ValueError};
use super::project_file::ProjectFile;
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::Mode;
use serde::Deserialize;
use std::path::PathBuf;

/// The `[contract]` table as parsed from the file, one subtable per interface.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContractTable {
    platform: Option<InterfaceTable>,
    query: Option<InterfaceTable>,
    servers: Option<InterfaceTable>,
    discovery: Option<InterfaceTable>,
}

/// The table of one interface as parsed from the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InterfaceTable {
    #[serde(default)]
    mode: Mode,
    description: Option<PathBuf>,
    share: Option<f64>,
}

/// How one interface's traffic is checked against its description.
#[derive(Clone, Debug, PartialEq)]
pub struct ContractSettings {
    /// Whether violations are only counted, or rejected.
    pub mode: Mode,
    /// Share of messages that is checked in mode `observe`, above 0 and at most 1.
    pub share: f64,
    /// Path of the description.
    pub path: PathBuf,
}

/// Validates the tables. Returns the interfaces that are checked, each with its settings.
pub fn contracts(
    table: ContractTable,
    file: &ProjectFile,
) -> Result<Vec<(Interface, ContractSettings)>, ProjectFileError> {
    let interfaces = [
        (Interface::Platform, table.platform),
        (Interface::Query, table.query),
        (Interface::Servers, table.servers),
        (Interface::Discovery, table.discovery),
    ];
    let mut checked = Vec::new();
    for (interface, table) in interfaces {
        let Some(table) = table.filter(|table| table.mode != Mode::Off) else {
            continue;
        };
        checked.push((interface, contract_settings(interface, table, file)?));
    }
    Ok(checked)
}

fn contract_settings(
    interface: Interface,
    table: InterfaceTable,
    file: &ProjectFile,
) -> Result<ContractSettings, ProjectFileError> {
    let error = |key: &str, error| file.error(&format!("contract.{interface}.{key}"), error);
    let Some(description) = table.description else {
        return Err(error("description", ValueError::NoDescription));
    };
    let share = table.share.unwrap_or(1.0);
    if !(share > 0.0 && share <= 1.0) {
        return Err(error("share", ValueError::InvalidSampledShare(share)));
    }
    if interface == Interface::Discovery && table.mode == Mode::Enforce {
        return Err(error("mode", ValueError::DiscoveryEnforced));
    }
    Ok(ContractSettings {
        mode: table.mode,
        share,
        path: file.folder.join(description),
    })
}
