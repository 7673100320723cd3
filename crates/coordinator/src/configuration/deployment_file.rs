//! The deployment's JSON file, whose path `NODE_CONFIG` holds.

use super::error::DeploymentFileError;
use crate::discovery::endpoint_list::EndpointListPayload;
use cairnroad_settings::Deployment;
use serde::Deserialize;
use std::net::SocketAddr;

/// The file's keys. Unknown ones are ignored: they may be other programs'.
#[derive(Deserialize)]
pub struct DeploymentFile {
    /// This coordinator's name.
    pub name: Option<String>,
    /// Address of the first front.
    pub listen: Option<String>,
    /// Address of the discovery agent.
    pub discovery: Option<String>,
    /// Address of the admin API.
    pub admin: Option<String>,
    /// Random seed, in hexadecimal.
    pub seed: Option<String>,
    /// What the program is granted.
    pub limits: Option<LimitsJson>,
    /// The endpoint list that the previous incarnation had.
    pub known: Option<EndpointListPayload>,
    settings: Box<serde_json::value::RawValue>,
}

/// What the program is granted.
#[derive(Default, Deserialize)]
pub struct LimitsJson {
    /// Memory in MB.
    pub memory_mb: Option<u64>,
    /// File descriptors.
    pub sockets: Option<usize>,
}

impl DeploymentFile {
    /// Reads the file's text.
    pub fn parse(text: &[u8]) -> Result<DeploymentFile, DeploymentFileError> {
        Ok(serde_json::from_slice(text)?)
    }

    /// The deployment's settings, with what the program needs and the simulator's instances do without.
    pub fn deployment(&self) -> Result<Deployment, DeploymentFileError> {
        let mut deployment = cairnroad_settings::parse(self.settings.get().as_bytes())?;
        if deployment.class_names.iter().any(String::is_empty) {
            return Err(DeploymentFileError::UnnamedClass);
        }
        // Every rejection carries a Retry-After, whether or not the simulator's clients are told.
        let longest = deployment.longest_retry_after;
        deployment.policy.max_retry_after.get_or_insert(longest);
        Ok(deployment)
    }

    /// The random seed; 0 where none is stated.
    pub fn seed(&self) -> Result<u64, DeploymentFileError> {
        let Some(seed) = &self.seed else {
            return Ok(0);
        };
        u64::from_str_radix(seed, 16).map_err(|_| DeploymentFileError::InvalidSeed(seed.clone()))
    }
}

/// The file's text as a document, without the endpoint list.
pub fn document(text: &[u8]) -> Result<serde_json::Value, DeploymentFileError> {
    let mut document: serde_json::Value = serde_json::from_slice(text)?;
    if let Some(keys) = document.as_object_mut() {
        keys.remove("known");
    }
    Ok(document)
}

/// Reads an address with a port.
pub fn address(key: &'static str, value: String) -> Result<SocketAddr, DeploymentFileError> {
    value
        .parse()
        .map_err(|_| DeploymentFileError::InvalidAddress { key, value })
}
