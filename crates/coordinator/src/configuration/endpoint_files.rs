//! The `[membership]` table: reading the endpoint list from files instead of a discovery agent.

use super::error::{ProjectFileError, ValueError};
use super::project_file::ProjectFile;
use cairnroad_endpoint_files::shard_layout::ShardLayout;
use cairnroad_endpoint_files::validation::DEFAULT_MAX_REMOVED_SHARE;
use cairnroad_settings::Deployment;
use serde::Deserialize;
use std::path::PathBuf;

/// The table as parsed from the file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipTable {
    #[serde(default)]
    source: MembershipSource,
    path: Option<PathBuf>,
    state: Option<PathBuf>,
    shrink: Option<f64>,
}

/// The source of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum MembershipSource {
    /// A discovery agent.
    #[default]
    Agent,
    /// Files, which are watched for changes.
    Files,
}

/// The files of the endpoint list, and the conditions that a new list must meet.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointFilesSettings {
    /// Path of a folder of `*.toml` files, or of a single file.
    pub path: PathBuf,
    /// Folder for snapshots of the last valid list; `None` if they are not stored.
    pub state_dir: Option<PathBuf>,
    /// Maximum share of active servers that one update may remove, from 0 to 1.
    pub max_removed_share: f64,
    /// The cells and shards that the servers of a list must cover.
    pub layout: ShardLayout,
}

/// Validates the table. Returns `None` if a discovery agent serves the endpoint list.
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
