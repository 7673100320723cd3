//! `roster apply`: checks an endpoint list and puts it in place of the configured files, one generation later.

use super::{configured_files, read_roster};
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

/// The file that a list is written to where the configuration names a folder.
const ROSTER_FILE: &str = "roster.toml";

/// Runs the command.
pub fn apply(new: &Path, allow_shrink: bool) -> Result<CommandStatus, CommandError> {
    let configured = configured_files()?;
    let mut roster = read_roster(new)?;
    let in_force = roster_in_force(&configured);
    roster.generation = in_force.as_ref().map_or(0, |old| old.generation) + 1;
    roster.allow_shrink |= allow_shrink;
    check_replacement(in_force.as_ref(), &roster, &configured)?;
    let target = write_roster(&configured, &roster)?;
    let plan = plan_update(&in_force.unwrap_or_default(), &roster, &configured.layout);
    print(&format!(
        "generation {} written to {}\n{plan}",
        roster.generation,
        target.display()
    ));
    Ok(CommandStatus::Success)
}

/// The later of the files as they are and the snapshot, which is in force where the files are faulty.
fn roster_in_force(configured: &EndpointFilesSettings) -> Option<EndpointSet> {
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
        .max_by_key(|roster| roster.generation)
}

fn check_replacement(
    old: Option<&EndpointSet>,
    new: &EndpointSet,
    configured: &EndpointFilesSettings,
) -> Result<(), CommandError> {
    match decide_update(old, new, &configured.layout, configured.max_removed_share) {
        UpdateDecision::Reject(faults) => Err(CommandError::RosterRejected(faults)),
        UpdateDecision::Apply | UpdateDecision::Unchanged => Ok(()),
    }
}

/// Writes the list as one file and returns its path. Until the last file of the old generation is gone, a coordinator
/// rejects the folder as a mix.
fn write_roster(
    configured: &EndpointFilesSettings,
    roster: &EndpointSet,
) -> Result<PathBuf, CommandError> {
    let folder = &configured.path;
    if !folder.is_dir() {
        replace_file(folder, roster)?;
        return Ok(folder.clone());
    }
    let target = folder.join(ROSTER_FILE);
    replace_file(&target, roster)?;
    for file in file_source::read_files(folder) {
        if file.name != ROSTER_FILE {
            let path = folder.join(file.name);
            std::fs::remove_file(&path).map_err(|source| CommandError::file(&path, source))?;
        }
    }
    Ok(target)
}

fn replace_file(path: &Path, roster: &EndpointSet) -> Result<(), CommandError> {
    snapshot_store::replace_file(path, to_toml(roster).as_bytes())
        .map_err(|source| CommandError::file(path, source))
}
