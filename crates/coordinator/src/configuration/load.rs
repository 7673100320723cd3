//! Reads the configuration files.

use super::build::build;
use super::config::Config;
use super::environment::{process_variable, CAIRNROAD_FILE, NODE_CONFIG};
use super::error::{ConfigError, ContentError};
use super::project_file::ProjectFile;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Default path of the project's own file, relative to the working directory.
const DEFAULT_PROJECT_FILE: &str = "deploy/cairnroad.toml";

/// Reads the configuration from the files that this process's environment names.
///
/// # Errors
///
/// Returns an error if a file can't be read, or else the first fault in a file, with its path, its key and, in the
/// project's own file, its line.
pub fn load() -> Result<Config, ConfigError> {
    let deployment_path = process_variable(NODE_CONFIG).ok_or(ConfigError::NoDeploymentFile)?;
    let deployment_path = PathBuf::from(deployment_path);
    let deployment_text = match std::fs::read(&deployment_path) {
        Ok(text) => text,
        Err(source) => {
            return Err(ConfigError::DeploymentFileUnreadable {
                path: deployment_path,
                source,
            })
        }
    };
    let explicit_path = process_variable(CAIRNROAD_FILE).map(PathBuf::from);
    let project_text = read_project_file(explicit_path.as_deref())?;
    let project_path = explicit_path.unwrap_or_else(|| DEFAULT_PROJECT_FILE.into());
    let project_file = ProjectFile {
        text: &project_text,
        folder: project_path.parent().unwrap_or(Path::new("")),
    };
    build(&deployment_text, &project_file, &process_variable).map_err(|error| match error {
        ContentError::Deployment(source) => ConfigError::DeploymentFile {
            path: deployment_path,
            source,
        },
        ContentError::Project(source) => ConfigError::ProjectFile {
            path: project_path.clone(),
            source,
        },
    })
}

/// Reads the project's own file. Only a file that the environment names must exist.
fn read_project_file(explicit_path: Option<&Path>) -> Result<String, ConfigError> {
    let path = explicit_path.unwrap_or(Path::new(DEFAULT_PROJECT_FILE));
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text),
        Err(source) if source.kind() == ErrorKind::NotFound && explicit_path.is_none() => {
            Ok(String::new())
        }
        Err(source) => Err(ConfigError::ProjectFileUnreadable {
            path: path.into(),
            source,
        }),
    }
}
