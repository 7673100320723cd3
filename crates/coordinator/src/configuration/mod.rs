//! The one place where configuration is read, validated and given defaults.
//!
//! Three sources make one [`Config`]: the deployment's JSON file that `NODE_CONFIG` names, this project's own TOML file
//! under `deploy/` (or where `CAIRNROAD_FILE` says), and the environment. [`load()`] is the entry point; errors name the
//! file, the key and, for the project's file, the line.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod build;
mod cluster;
mod config;
mod contracts;
mod deployment_file;
mod effective;
mod endpoint_files;
mod environment;
mod error;
mod limits;
mod load;
mod opensearch;
mod project_file;
#[cfg(test)]
pub mod tests;

pub use cluster::ClusterSettings;
pub use config::Config;
pub use contracts::ContractSettings;
pub use endpoint_files::EndpointFilesSettings;
pub use error::ConfigError;
pub use limits::ConnectionLimits;
pub use load::load;
pub use project_file::{BackendKind, LogSettings};
