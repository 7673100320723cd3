//! Validates the content of all sources and builds the [`Config`] from it.

use super::config::Config;
use super::deployment_file::{address, document, DeploymentFile};
use super::endpoint_files::{endpoint_files, EndpointFilesSettings};
use super::environment::{
    listener_descriptor, Environment, NODE_ADMIN, NODE_DISCOVERY, NODE_INHERITED_FD, NODE_LISTEN,
    NODE_NAME, TMPDIR,
};
use super::error::{ContentError, DeploymentFileError};
use super::limits::ConnectionLimits;
use super::project_file::ProjectFile;
use super::{cluster, contracts, opensearch};
use crate::discovery::endpoint_list::EndpointListPayload;
use crate::messages::ServedConfiguration;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Name of the coordinator if neither the file nor the environment states one.
const DEFAULT_NAME: &str = "cairnroad";

/// Builds the configuration from the deployment's file, the project's own file and the environment.
pub fn build(
    deployment_text: &[u8],
    project_file: &ProjectFile,
    environment: Environment,
) -> Result<Config, ContentError> {
    let deployment_document = document(deployment_text)?;
    let deployment_file = DeploymentFile::parse(deployment_text)?;
    let tables = project_file.parse()?;
    let deployment = deployment_file.deployment()?;
    let opensearch_listen = opensearch::listen_address(
        tables.opensearch.enabled,
        tables.opensearch.listen,
        project_file,
    )?;
    let indices = opensearch::indices(tables.opensearch.index, &deployment, project_file)?;
    let endpoint_files = endpoint_files(tables.membership, project_file, &deployment)?;
    let contracts = contracts::contracts(tables.contract, project_file)?;
    let name = deployment_file
        .name
        .clone()
        .or_else(|| environment(NODE_NAME))
        .unwrap_or_else(|| DEFAULT_NAME.into());
    let cluster = cluster::cluster(tables.peers, &name, project_file)?;
    let inherited_listener = inherited_listener(environment)?;
    let processes = processes_sharing_limits(inherited_listener);
    Ok(Config {
        listen: listen_address(&deployment_file, environment)?,
        discovery: discovery_address(&deployment_file, environment, endpoint_files.as_ref())?,
        seed: deployment_file.seed()?,
        admin_listen: admin_address(&deployment_file, environment)?,
        limits: ConnectionLimits::for_deployment(
            deployment_file.limits.unwrap_or_default(),
            processes,
        ),
        name,
        endpoint_files,
        last_known_endpoints: deployment_file
            .known
            .map(EndpointListPayload::into_update)
            .unwrap_or_default(),
        served: Arc::new(ServedConfiguration {
            deployment,
            indices,
        }),
        shared_dir: environment(TMPDIR).map(PathBuf::from),
        inherited_listener,
        opensearch_listen,
        backend: tables.backend.kind,
        log: tables.log,
        cluster,
        contracts,
        deployment_document,
    })
}

/// Returns how many processes share the granted resources. A process with an inherited socket shares them with the
/// process that it replaces, or that replaces it.
fn processes_sharing_limits(inherited_listener: Option<i32>) -> usize {
    match inherited_listener {
        Some(_) => 2,
        None => 1,
    }
}

fn listen_address(
    file: &DeploymentFile,
    environment: Environment,
) -> Result<SocketAddr, DeploymentFileError> {
    let value = required("listen", NODE_LISTEN, file.listen.clone(), environment)?;
    address("listen", value)
}

fn discovery_address(
    file: &DeploymentFile,
    environment: Environment,
    endpoint_files: Option<&EndpointFilesSettings>,
) -> Result<Option<SocketAddr>, DeploymentFileError> {
    if endpoint_files.is_some() {
        return Ok(None);
    }
    let value = required(
        "discovery",
        NODE_DISCOVERY,
        file.discovery.clone(),
        environment,
    )?;
    address("discovery", value).map(Some)
}

fn admin_address(
    file: &DeploymentFile,
    environment: Environment,
) -> Result<Option<SocketAddr>, DeploymentFileError> {
    let value = file.admin.clone().or_else(|| environment(NODE_ADMIN));
    value.map(|value| address("admin", value)).transpose()
}

/// Returns the file's value or else the environment's: the platform states these values in both places.
fn required(
    key: &'static str,
    variable: &'static str,
    value: Option<String>,
    environment: Environment,
) -> Result<String, DeploymentFileError> {
    value
        .or_else(|| environment(variable))
        .ok_or(DeploymentFileError::Missing { key, variable })
}

fn inherited_listener(environment: Environment) -> Result<Option<i32>, DeploymentFileError> {
    let Some(text) = environment(NODE_INHERITED_FD) else {
        return Ok(None);
    };
    match listener_descriptor(&text) {
        Some(descriptor) => Ok(Some(descriptor)),
        None => Err(DeploymentFileError::InvalidDescriptor(text)),
    }
}
