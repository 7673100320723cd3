//! Reads the descriptions that a configuration names.

use crate::configuration::{BackendKind, ContractSettings};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::{FaultyContracts, InterfaceContract, LoadError};
use cairnroad_contract::model::{Description, DescriptionFormat};
use std::sync::Arc;

/// The result of reading one interface's description.
pub type LoadedContract = (Interface, Result<InterfaceContract, LoadError>);

/// The error of descriptions that were read but cannot be put into force.
#[derive(Debug, thiserror::Error)]
pub enum AdoptError {
    /// At least one of the descriptions cannot be used.
    #[error(transparent)]
    Faulty(#[from] FaultyContracts),
    /// The thread that checks sampled messages cannot be started.
    #[error("cannot start the thread that checks messages: {0}")]
    Thread(#[source] std::io::Error),
}

/// Reads the descriptions of all configured interfaces.
///
/// This function blocks on file I/O, so it must not run on the core thread.
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
    let expected = expected_format(interface, backend);
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

/// Returns the format that an interface must be described in: OpenAPI for HTTP requests, AsyncAPI for frames and the
/// discovery watch.
fn expected_format(interface: Interface, backend: BackendKind) -> DescriptionFormat {
    match (interface, backend) {
        (Interface::Platform | Interface::Query, _)
        | (Interface::Servers, BackendKind::OpenSearch) => DescriptionFormat::OpenApi,
        _ => DescriptionFormat::AsyncApi,
    }
}
