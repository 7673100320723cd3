//! The `[opensearch]` table: the second front and its indices.

use super::error::{ProjectFileError, ValueError};
use super::project_file::ProjectFile;
use crate::messages::SearchIndex;
use cairnroad_settings::Deployment;
use serde::Deserialize;
use std::net::SocketAddr;

/// The table as parsed from the file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenSearchTable {
    /// Whether the second front is enabled.
    #[serde(default)]
    pub enabled: bool,
    /// Address that the second front listens on; mandatory if it is enabled.
    pub listen: Option<String>,
    /// The indices. If there are none, each class is an index.
    #[serde(default)]
    pub index: Vec<IndexTable>,
}

/// One `[[opensearch.index]]` table as parsed from the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexTable {
    name: String,
    class: String,
    shards: Option<[u32; 2]>,
}

/// Returns the address that the second front listens on; `None` if it is disabled.
pub fn listen_address(
    enabled: bool,
    listen: Option<String>,
    file: &ProjectFile,
) -> Result<Option<SocketAddr>, ProjectFileError> {
    const KEY: &str = "opensearch.listen";
    if !enabled {
        return Ok(None);
    }
    match listen {
        Some(listen) => file.address(KEY, listen).map(Some),
        None => Err(file.error(KEY, ValueError::RequiredBy("opensearch.enabled"))),
    }
}

/// Returns the indices that the file defines. If it defines none, each class is an index over all shards.
pub fn indices(
    tables: Vec<IndexTable>,
    deployment: &Deployment,
    file: &ProjectFile,
) -> Result<Vec<SearchIndex>, ProjectFileError> {
    let last_shard = deployment.shards.saturating_sub(1);
    if tables.is_empty() {
        let classes = deployment.class_names.iter().enumerate();
        let index = |(class, name): (usize, &String)| SearchIndex {
            name: name.clone(),
            class,
            first_shard: 0,
            last_shard,
        };
        return Ok(classes.map(index).collect());
    }
    tables
        .into_iter()
        .map(|table| index(table, last_shard, deployment, file))
        .collect()
}

fn index(
    table: IndexTable,
    deployment_last_shard: u32,
    deployment: &Deployment,
    file: &ProjectFile,
) -> Result<SearchIndex, ProjectFileError> {
    let IndexTable {
        name,
        class,
        shards,
    } = table;
    let Some(class) = deployment
        .class_names
        .iter()
        .position(|other| *other == class)
    else {
        return Err(file.error("opensearch.index.class", ValueError::UnknownClass(class)));
    };
    let [first_shard, last_shard] = shards.unwrap_or([0, deployment_last_shard]);
    if first_shard > last_shard || last_shard > deployment_last_shard {
        let error = ValueError::UnknownShards {
            index: name,
            last_shard: deployment_last_shard,
        };
        return Err(file.error("opensearch.index.shards", error));
    }
    if !is_valid_index_name(&name) {
        return Err(file.error("opensearch.index.name", ValueError::InvalidIndexName(name)));
    }
    Ok(SearchIndex {
        name,
        class,
        first_shard,
        last_shard,
    })
}

/// Returns whether searches can address an index by this name. Paths, lists of indices, wildcards and the API's own
/// names, which begin with `_`, are excluded.
fn is_valid_index_name(name: &str) -> bool {
    !name.is_empty() && !name.starts_with('_') && !name.contains(['/', ',', '*', '?'])
}
