//! The configuration in effect, in the form that `check-config` prints as JSON or YAML.

use super::config::Config;
use super::{ClusterSettings, ContractSettings, EndpointFilesSettings};
use crate::messages::SearchIndex;
use cairnroad_contract::drift::Interface;
use cairnroad_settings::OfferedClass;
use cairnroad_types::Idempotency;
use serde_json::{json, Map, Value};
use std::fmt::Debug;
use std::net::SocketAddr;

impl Config {
    /// Returns every setting in effect. Operators' programs read these keys, so they must not change.
    pub fn effective(&self) -> Value {
        let deployment = &self.served.deployment;
        let classes = deployment.offered_classes().map(class).collect::<Vec<_>>();
        json!({
            "name": self.name,
            "listen": self.listen.to_string(),
            "inherited": self.inherited_listener,
            "admin": address(self.admin_listen),
            "discovery": address(self.discovery),
            "membership": self.endpoint_files.as_ref().map(endpoint_files),
            "limits": self.effective_limits(),
            "known": {
                "revision": self.last_known_endpoints.revision,
                "servers": self.last_known_endpoints.entries.len(),
            },
            "classes": classes,
            "shards": deployment.shards,
            "opensearch": {
                "listen": address(self.opensearch_listen),
                "indices": self.effective_indices(),
            },
            "backend": keyword(&self.backend),
            "log": {
                "level": keyword(&self.log.level),
                "format": keyword(&self.log.format),
                "tally_s": self.log.metrics_interval_s,
            },
            "peers": self.cluster.as_ref().map(cluster),
            "contract": self.contracts.iter().map(contract).collect::<Map<_, _>>(),
        })
    }

    fn effective_limits(&self) -> Value {
        json!({
            "clients": self.limits.max_active_clients,
            "kept": self.limits.idle_eviction_threshold,
            "accepted": self.limits.max_accepted_clients,
            "links": self.limits.max_server_connections,
        })
    }

    fn effective_indices(&self) -> Vec<Value> {
        let class_names = &self.served.deployment.class_names;
        let index = |index: &SearchIndex| {
            json!({
                "name": index.name,
                "class": class_names.get(index.class),
                "shards": [index.first_shard, index.last_shard],
            })
        };
        self.served.indices.iter().map(index).collect()
    }
}

fn class(offered: OfferedClass) -> Value {
    let class = offered.class;
    json!({
        "name": offered.name,
        "aim_s": class.latency_objective,
        "deadline_s": class.deadline,
        "least_share": class.minimum_share,
        "may_run_twice": class.idempotency != Idempotency::AtMostOnce,
        "needs_key": class.idempotency == Idempotency::IdempotentWithKey,
    })
}

fn endpoint_files(settings: &EndpointFilesSettings) -> Value {
    let state_dir = settings.state_dir.as_ref();
    json!({
        "path": settings.path.display().to_string(),
        "state": state_dir.map(|path| path.display().to_string()),
        "shrink": settings.max_removed_share,
    })
}

fn cluster(settings: &ClusterSettings) -> Value {
    let seeds = settings.seeds.iter().map(SocketAddr::to_string);
    json!({
        "listen": settings.listen_address.to_string(),
        "advertise": address(settings.advertised_address),
        "cluster": settings.cluster_name,
        "room": settings.room,
        "offers": settings.offers,
        "group": settings.member_names.len(),
        "seeds": seeds.collect::<Vec<_>>(),
    })
}

fn contract((interface, settings): &(Interface, ContractSettings)) -> (String, Value) {
    let description = json!({
        "mode": settings.mode,
        "share": settings.share,
        "description": settings.path.display().to_string(),
    });
    (interface.to_string(), description)
}

fn address(address: Option<SocketAddr>) -> Option<String> {
    address.map(|address| address.to_string())
}

/// Returns an enum's value as it is written in the project's own file: the variant's name in lower case.
fn keyword(value: &dyn Debug) -> String {
    format!("{value:?}").to_lowercase()
}
