//! The program's whole configuration, and how a reloaded one compares to it.

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
    /// This coordinator's name.
    pub name: String,
    /// Where the first front, the platform's protocol, listens.
    pub listen: SocketAddr,
    /// Address of the discovery agent; `None` where the endpoint list is read from files.
    pub discovery: Option<SocketAddr>,
    /// The files of the endpoint list; `None` where an agent serves it.
    pub endpoint_files: Option<EndpointFilesSettings>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Bounds on connections.
    pub limits: ConnectionLimits,
    /// The endpoint list that the previous incarnation had.
    pub last_known_endpoints: EndpointListUpdate,
    /// What clients may ask for; the part that a reload changes live.
    pub served: Arc<ServedConfiguration>,
    /// Where the admin API listens, if it is on.
    pub admin_listen: Option<SocketAddr>,
    /// The folder that successive processes of one coordinator share (`TMPDIR`), if there is one.
    pub shared_dir: Option<PathBuf>,
    /// Descriptor of the clients' listening socket, where the platform holds that socket open across processes.
    pub inherited_listener: Option<i32>,
    /// Where the second front, the query protocol, listens, if it is on.
    pub opensearch_listen: Option<SocketAddr>,
    /// What servers speak.
    pub backend: BackendKind,
    /// How the log is written.
    pub log: LogSettings,
    /// The group of coordinators that this one is a member of, if any.
    pub cluster: Option<ClusterSettings>,
    /// The interface descriptions that traffic is checked against.
    pub contracts: Vec<(Interface, ContractSettings)>,
    /// The deployment's file as it was read, without the endpoint list: tells which keys a later file lacks.
    pub deployment_document: serde_json::Value,
}

impl Config {
    /// The first key that this configuration's file has and another's lacks.
    pub fn first_key_missing_in(&self, other: &Config) -> Option<String> {
        first_missing_key(&self.deployment_document, &other.deployment_document)
    }

    /// The keys that differ in another configuration and take effect only at a restart.
    ///
    /// `discovery` takes effect live; `seed` and `known` matter at a start only.
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
