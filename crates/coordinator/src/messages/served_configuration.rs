//! The part of the configuration that fronts and core serve by, replaced as a whole by a reload.

use cairnroad_settings::Deployment;

/// What clients may ask for, and on which terms.
#[derive(Clone, Debug, Default)]
pub struct ServedConfiguration {
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The indices of the query API.
    pub indices: Vec<SearchIndex>,
}

/// An index of the query API: a request class over a range of shards.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchIndex {
    /// The name in the path of a search.
    pub name: String,
    /// The class of its searches, an index in the deployment's class table.
    pub class: usize,
    /// The first shard.
    pub first_shard: u32,
    /// The last shard, inclusive.
    pub last_shard: u32,
}
