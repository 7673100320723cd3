//! `roster apply`: validates an endpoint list and replaces the configured files with it, under the next generation.

use super::{configured_files, read_endpoint_set};
use crate::commands::error::CommandError;
use crate::commands::output::print;
use crate::commands::CommandStatus;
use crate::configuration::EndpointFilesSettings;
use crate::discovery::file_source;
use cairnroad_endpoint_files::endpoint_set::EndpointSet;
use cairnroad_endpoint_files::parse::parse_files;
use cairnroad_endpoint_files::render::to_toml;
use cairnroad_endpoint_files::snapshot_store::{self, SnapshotStore, StateDirectory};
use cairnroad_endpoint_files::update_plan::plan_update;
use cairnroad_endpoint_files::validation::{decide_update, UpdateDecision};
use std::path::{Path, PathBuf};

/// Name of the file that the list is written to if the configured path is a folder.
const ENDPOINT_LIST_FILE: &str = "roster.toml";

/// Runs the command: writes the list, then prints its generation and the changes that take effect.
pub fn apply(new: &Path, allow_shrink: bool) -> Result<CommandStatus, CommandError> {
    let configured = configured_files()?;
    let mut new_set = read_endpoint_set(new)?;
    let in_force = endpoint_set_in_force(&configured);
    new_set.generation = in_force.as_ref().map_or(0, |old| old.generation) + 1;
    new_set.allow_shrink |= allow_shrink;
    check_replacement(in_force.as_ref(), &new_set, &configured)?;
    let target = write_endpoint_set(&configured, &new_set)?;
    let plan = plan_update(&in_force.unwrap_or_default(), &new_set, &configured.layout);
    print(&format!(
        "generation {} written to {}\n{plan}",
        new_set.generation,
        target.display()
    ));
    Ok(CommandStatus::Success)
}

/// Returns the set of the configured files or that of the latest snapshot, whichever has the higher generation. The
/// snapshot is in force if the files are invalid.
fn endpoint_set_in_force(configured: &EndpointFilesSettings) -> Option<EndpointSet> {
    let files = parse_files(&file_source::read_files(&configured.path)).ok();
    let state_dir = configured.state_dir.clone();
    let snapshot = state_dir.and_then(|state_dir| {
        let mut store = SnapshotStore::new(StateDirectory(state_dir));
        store.recover().snapshot
    });
    let snapshot = snapshot.map(|snapshot| snapshot.endpoint_set);
    [files, snapshot]
        .into_iter()
        .flatten()
        .max_by_key(|endpoint_set| endpoint_set.generation)
}

/// Returns an error if the new set is invalid or not allowed to replace the old one.
fn check_replacement(
    old: Option<&EndpointSet>,
    new: &EndpointSet,
    configured: &EndpointFilesSettings,
) -> Result<(), CommandError> {
    match decide_update(old, new, &configured.layout, configured.max_removed_share) {
        UpdateDecision::Reject(faults) => Err(CommandError::EndpointListRejected(faults)),
        UpdateDecision::Apply | UpdateDecision::Unchanged => Ok(()),
    }
}

/// Writes the set as one file and returns the file's path. Coordinators reject the folder, because it mixes
/// generations, until the last file of the old generation is removed.
fn write_endpoint_set(
    configured: &EndpointFilesSettings,
    endpoint_set: &EndpointSet,
) -> Result<PathBuf, CommandError> {
    let folder = &configured.path;
    if !folder.is_dir() {
        replace_file(folder, endpoint_set)?;
        return Ok(folder.clone());
    }
    let target = folder.join(ENDPOINT_LIST_FILE);
    replace_file(&target, endpoint_set)?;
    for file in file_source::read_files(folder) {
        if file.name != ENDPOINT_LIST_FILE {
            let path = folder.join(file.name);
            std::fs::remove_file(&path).map_err(|source| CommandError::file(&path, source))?;
        }
    }
    Ok(target)
}

fn replace_file(path: &Path, endpoint_set: &EndpointSet) -> Result<(), CommandError> {
    snapshot_store::replace_file(path, to_toml(endpoint_set).as_bytes())
        .map_err(|source| CommandError::file(path, source))
}
