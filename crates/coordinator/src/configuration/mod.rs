//! Reads and validates the configuration and fills in its defaults; no other module does so.
//!
//! A [`Config`] combines three sources: the deployment's JSON file at the path in `NODE_CONFIG`, this project's own
//! TOML file (`deploy/cairnroad.toml`, or the path in `CAIRNROAD_FILE`), and environment variables. [`load()`] is the
//! entry point. Errors name the file, the key and, for the project's own file, the line.

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
