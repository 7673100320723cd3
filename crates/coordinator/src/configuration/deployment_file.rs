//! The deployment's JSON file at the path in `NODE_CONFIG`.

use super::error::DeploymentFileError;
use crate::discovery::endpoint_list::EndpointListPayload;
use cairnroad_settings::Deployment;
use serde::Deserialize;
use std::net::SocketAddr;

/// The file's keys. Unknown keys are ignored, because they may belong to other programs.
#[derive(Deserialize)]
pub struct DeploymentFile {
    /// Name of this coordinator.
    pub name: Option<String>,
    /// Address that the first front listens on.
    pub listen: Option<String>,
    /// Address of the discovery agent.
    pub discovery: Option<String>,
    /// Address that the admin API listens on.
    pub admin: Option<String>,
    /// Random seed, up to 64 bits in hexadecimal.
    pub seed: Option<String>,
    /// Resources granted to the program.
    pub limits: Option<LimitsJson>,
    /// The endpoint list that the previous process of this coordinator had.
    pub known: Option<EndpointListPayload>,
    settings: Box<serde_json::value::RawValue>,
}

/// Resources granted to the program.
#[derive(Default, Deserialize)]
pub struct LimitsJson {
    /// Memory, in megabytes.
    pub memory_mb: Option<u64>,
    /// Number of file descriptors.
    pub sockets: Option<usize>,
}

impl DeploymentFile {
    /// Parses the file's content.
    pub fn parse(text: &[u8]) -> Result<DeploymentFile, DeploymentFileError> {
        Ok(serde_json::from_slice(text)?)
    }

    /// Returns the deployment's settings, checked and completed for a program with clients: unlike in the simulator,
    /// every class needs a name, and every rejection carries a `Retry-After`.
    pub fn deployment(&self) -> Result<Deployment, DeploymentFileError> {
        let mut deployment = cairnroad_settings::parse(self.settings.get().as_bytes())?;
        if deployment.class_names.iter().any(String::is_empty) {
            return Err(DeploymentFileError::UnnamedClass);
        }
        // `caps.retryAfter` only says whether the simulator's clients are told; here they always are.
        let longest = deployment.longest_retry_after;
        deployment.policy.max_retry_after.get_or_insert(longest);
        Ok(deployment)
    }

    /// Returns the random seed; 0 if none is stated.
    pub fn seed(&self) -> Result<u64, DeploymentFileError> {
        let Some(seed) = &self.seed else {
            return Ok(0);
        };
        u64::from_str_radix(seed, 16).map_err(|_| DeploymentFileError::InvalidSeed(seed.clone()))
    }
}

/// Parses the file's content as a JSON value and removes the endpoint list.
pub fn document(text: &[u8]) -> Result<serde_json::Value, DeploymentFileError> {
    let mut document: serde_json::Value = serde_json::from_slice(text)?;
    if let Some(keys) = document.as_object_mut() {
        keys.remove("known");
    }
    Ok(document)
}

/// Parses the value of `key` as an address with a port.
pub fn address(key: &'static str, value: String) -> Result<SocketAddr, DeploymentFileError> {
    value
        .parse()
        .map_err(|_| DeploymentFileError::InvalidAddress { key, value })
}
