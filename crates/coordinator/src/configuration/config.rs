//! The program's complete configuration, and its comparison with a reloaded one.

use super::{
    BackendKind, ClusterSettings, ConnectionLimits, ContractSettings, EndpointFilesSettings,
    LogSettings,
};
use crate::messages::{EndpointListUpdate, ServedConfiguration};
use cairnroad_admin::reconfigure::first_missing_key;
use cairnroad_contract::drift::Interface;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// All settings of the program.
#[derive(Debug)]
pub struct Config {
    /// Name of this coordinator.
    pub name: String,
    /// Address that the first front (the platform's protocol) listens on.
    pub listen: SocketAddr,
    /// Address of the discovery agent; `None` if the endpoint list is read from files.
    pub discovery: Option<SocketAddr>,
    /// Files that hold the endpoint list; `None` if a discovery agent serves it.
    pub endpoint_files: Option<EndpointFilesSettings>,
    /// Seed for all random choices.
    pub seed: u64,
    /// Limits on client and server connections.
    pub limits: ConnectionLimits,
    /// The endpoint list that the previous process of this coordinator had; empty if it is not stated.
    pub last_known_endpoints: EndpointListUpdate,
    /// The classes and indices that clients may request. A reload replaces them without a restart.
    pub served: Arc<ServedConfiguration>,
    /// Address that the admin API listens on; `None` if it is disabled.
    pub admin_listen: Option<SocketAddr>,
    /// Folder shared by successive processes of one coordinator (`TMPDIR`), if there is one.
    pub shared_dir: Option<PathBuf>,
    /// Descriptor of the listening socket for clients, if the platform keeps that socket open across processes.
    pub inherited_listener: Option<i32>,
    /// Address that the second front (the query protocol) listens on; `None` if it is disabled.
    pub opensearch_listen: Option<SocketAddr>,
    /// The protocol that servers speak.
    pub backend: BackendKind,
    /// Settings of the log.
    pub log: LogSettings,
    /// Membership in a group of coordinators; `None` if this coordinator is in none.
    pub cluster: Option<ClusterSettings>,
    /// The interfaces whose traffic is checked against a description.
    pub contracts: Vec<(Interface, ContractSettings)>,
    /// The deployment's file as it was read, without the endpoint list. A reload compares its keys with those of the
    /// new file.
    pub deployment_document: serde_json::Value,
}

impl Config {
    /// Returns the first key that this configuration's file has and the file of `other` lacks.
    pub fn first_key_missing_in(&self, other: &Config) -> Option<String> {
        first_missing_key(&self.deployment_document, &other.deployment_document)
    }

    /// Returns the keys whose values differ in `other` and take effect only after a restart.
    ///
    /// A change of `discovery` takes effect without a restart; `seed` and `known` are read only at a start.
    pub fn changed_keys_requiring_restart(&self, other: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("admin", self.admin_listen != other.admin_listen),
            ("limits", self.limits != other.limits),
            (
                "opensearch",
                self.opensearch_listen != other.opensearch_listen,
            ),
            ("backend", self.backend != other.backend),
            ("log", self.log != other.log),
            ("membership", self.endpoint_files != other.endpoint_files),
            ("peers", self.cluster != other.cluster),
        ];
        keys.into_iter()
            .filter_map(|(key, differs)| differs.then_some(key))
            .collect()
    }
}
