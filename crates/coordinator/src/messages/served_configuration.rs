//! The part of the configuration that the fronts and the core use to serve requests. A reload replaces it as a whole.

use cairnroad_settings::Deployment;

/// The request classes, limits and indices that are served.
#[derive(Clone, Debug, Default)]
pub struct ServedConfiguration {
    /// The settings of the deployment, which include the request classes.
    pub deployment: Deployment,
    /// The indices of the query API.
    pub indices: Vec<SearchIndex>,
}

/// An index of the query API: a request class over a range of shards.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchIndex {
    /// The name of the index in the path of a search.
    pub name: String,
    /// The class of searches in this index, as an index into the deployment's class table.
    pub class: usize,
    /// The first shard of the range.
    pub first_shard: u32,
    /// The last shard of the range, inclusive.
    pub last_shard: u32,
}
