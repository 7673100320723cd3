//! Reads the configuration's files.

use super::build::build;
use super::config::Config;
use super::environment::{process_variable, CAIRNROAD_FILE, NODE_CONFIG};
use super::error::{ConfigError, ContentError};
use super::project_file::ProjectFile;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Where the project's own file is looked for, relative to the working directory.
const DEFAULT_PROJECT_FILE: &str = "deploy/cairnroad.toml";

/// Reads the whole configuration, as this process's environment names it.
///
/// # Errors
///
/// A file that can't be read, or the first fault in one, with file, key and, for the project's own file, line.
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
    let named_path = process_variable(CAIRNROAD_FILE).map(PathBuf::from);
    let project_text = read_project_file(named_path.as_deref())?;
    let project_path = named_path.unwrap_or_else(|| DEFAULT_PROJECT_FILE.into());
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

/// The text of the project's own file. Only a file that the environment names has to be there.
fn read_project_file(named_path: Option<&Path>) -> Result<String, ConfigError> {
    let path = named_path.unwrap_or(Path::new(DEFAULT_PROJECT_FILE));
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text),
        Err(source) if source.kind() == ErrorKind::NotFound && named_path.is_none() => {
            Ok(String::new())
        }
        Err(source) => Err(ConfigError::ProjectFileUnreadable {
            path: path.into(),
            source,
        }),
    }
}
