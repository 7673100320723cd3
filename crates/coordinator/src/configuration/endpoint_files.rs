//! `[membership]`: the endpoint list in files instead of from a discovery agent.

use super::error::{ProjectFileError, ValueError};
use super::project_file::ProjectFile;
use cairnroad_endpoint_files::shard_layout::ShardLayout;
use cairnroad_endpoint_files::validation::DEFAULT_MAX_REMOVED_SHARE;
use cairnroad_settings::Deployment;
use serde::Deserialize;
use std::path::PathBuf;

/// The table as it stands in the file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipTable {
    #[serde(default)]
    source: MembershipSource,
    path: Option<PathBuf>,
    state: Option<PathBuf>,
    shrink: Option<f64>,
}

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum MembershipSource {
    /// The discovery agent.
    #[default]
    Agent,
    /// Files that are watched.
    Files,
}

/// The files of the endpoint list, and what a new list has to fulfil.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointFilesSettings {
    /// A folder of `*.toml` files, or one file.
    pub path: PathBuf,
    /// The folder of the last good list's snapshot, if one is kept.
    pub state_dir: Option<PathBuf>,
    /// The share of active servers that one list may remove, from 0 to 1.
    pub max_removed_share: f64,
    /// The cells and shards that servers have to cover.
    pub layout: ShardLayout,
}

/// The files of the endpoint list; `None` where a discovery agent serves it.
pub fn endpoint_files(
    table: MembershipTable,
    file: &ProjectFile,
    deployment: &Deployment,
) -> Result<Option<EndpointFilesSettings>, ProjectFileError> {
    if table.source == MembershipSource::Agent {
        return Ok(None);
    }
    let Some(path) = table.path else {
        return Err(file.error("membership.path", ValueError::NoEndpointFiles));
    };
    let max_removed_share = table.shrink.unwrap_or(DEFAULT_MAX_REMOVED_SHARE);
    if !(0.0..=1.0).contains(&max_removed_share) {
        let error = ValueError::InvalidShare(max_removed_share);
        return Err(file.error("membership.shrink", error));
    }
    Ok(Some(EndpointFilesSettings {
        path: file.folder.join(path),
        state_dir: table.state.map(|state| file.folder.join(state)),
        max_removed_share,
        layout: ShardLayout {
            cells: deployment.policy.cells,
            cells_per_shard: deployment.policy.cells_per_shard,
            shards: deployment.shards,
        },
    }))
}
