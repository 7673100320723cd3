//! `roster apply`: checks an endpoint list and puts it in place of the configured files, one generation later.

use super::{configured_files, read_roster};
use crate::commands::error::CommandError;
use crate::commands::output::print;
use crate::commands::CommandStatus;
use crate::configuration::EndpointFilesSettings;
use crate::discovery::file_source;
use cairnroad_endpoint_files::decide::{judge, Verdict};
use cairnroad_endpoint_files::keep::{recover, replace, Folder};
use cairnroad_endpoint_files::model::Roster;
use cairnroad_endpoint_files::plan::plan;
use cairnroad_endpoint_files::read::{read, write};
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
    let plan = plan(&in_force.unwrap_or_default(), &roster, &configured.layout);
    print(&format!(
        "generation {} written to {}\n{plan}",
        roster.generation,
        target.display()
    ));
    Ok(CommandStatus::Success)
}

/// The later of the files as they are and the snapshot, which is in force where the files are faulty.
fn roster_in_force(configured: &EndpointFilesSettings) -> Option<Roster> {
    let files = read(&file_source::files(&configured.path)).ok();
    let state_dir = configured.state_dir.clone();
    let snapshot = state_dir.and_then(|state_dir| recover(&Folder(state_dir)).0);
    let snapshot = snapshot.map(|snapshot| snapshot.roster);
    [files, snapshot]
        .into_iter()
        .flatten()
        .max_by_key(|roster| roster.generation)
}

fn check_replacement(
    old: Option<&Roster>,
    new: &Roster,
    configured: &EndpointFilesSettings,
) -> Result<(), CommandError> {
    match judge(old, new, &configured.layout, configured.max_removed_share) {
        Verdict::Refuse(faults) => Err(CommandError::RosterRejected(faults)),
        Verdict::Take | Verdict::Same => Ok(()),
    }
}

/// Writes the list as one file and returns its path. Until the last file of the old generation is gone, a coordinator
/// rejects the folder as a mix.
fn write_roster(
    configured: &EndpointFilesSettings,
    roster: &Roster,
) -> Result<PathBuf, CommandError> {
    let folder = &configured.path;
    if !folder.is_dir() {
        replace_file(folder, roster)?;
        return Ok(folder.clone());
    }
    let target = folder.join(ROSTER_FILE);
    replace_file(&target, roster)?;
    for (name, _) in file_source::files(folder) {
        if name != ROSTER_FILE {
            let path = folder.join(name);
            std::fs::remove_file(&path).map_err(|source| CommandError::file(&path, source))?;
        }
    }
    Ok(target)
}

fn replace_file(path: &Path, roster: &Roster) -> Result<(), CommandError> {
    replace(path, write(roster).as_bytes()).map_err(|source| CommandError::file(path, source))
}
