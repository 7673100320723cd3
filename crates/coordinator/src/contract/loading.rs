//! Reads the descriptions that a configuration names.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use crate::configuration::{BackendKind, ContractSettings};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::{FaultyContracts, InterfaceContract, LoadError};
use cairnroad_contract::model::{Description, DescriptionFormat};
use std::sync::Arc;

/// The result of reading one interface's description.
pub type LoadedContract = (Interface, Result<InterfaceContract, LoadError>);

/// Why descriptions that were read don't come into force.
#[derive(Debug, thiserror::Error)]
pub enum AdoptError {
    /// One of them can't be used.
    #[error(transparent)]
    Faulty(#[from] FaultyContracts),
    /// The thread that checks sampled messages can't be started.
    #[error("the thread that checks messages can't be started: {0}")]
    Thread(#[source] std::io::Error),
}

/// Reads the descriptions of all configured interfaces.
///
/// This reads files and takes time, so it must not run on the core's thread.
pub fn read(
    configured: &[(Interface, ContractSettings)],
    backend: BackendKind,
) -> Vec<LoadedContract> {
    configured
        .iter()
        .map(|(interface, settings)| (*interface, read_one(*interface, settings, backend)))
        .collect()
}

fn read_one(
    interface: Interface,
    settings: &ContractSettings,
    backend: BackendKind,
) -> Result<InterfaceContract, LoadError> {
    let description = Description::open(&settings.path).map_err(LoadError::Faulty)?;
    let expected = expected_kind(interface, backend);
    if description.format != expected {
        return Err(LoadError::WrongFormat {
            path: settings.path.display().to_string(),
            expected,
            found: description.format,
        });
    }
    Ok(InterfaceContract {
        mode: settings.mode,
        share: settings.share,
        description: Arc::new(description.without_documents()),
    })
}

/// The format that describes an interface: OpenAPI for HTTP requests, AsyncAPI for frames and the watch.
fn expected_kind(interface: Interface, backend: BackendKind) -> DescriptionFormat {
    match (interface, backend) {
        (Interface::Platform | Interface::Query, _)
        | (Interface::Servers, BackendKind::OpenSearch) => DescriptionFormat::OpenApi,
        _ => DescriptionFormat::AsyncApi,
    }
}
