//! Builds the coordinator's own interface descriptions from its configuration.

use crate::configuration::{BackendKind, Config};
use crate::contract::PublishedDescriptions;
use crate::fronts::{self, opensearch};
use crate::http;
use cairnroad_contract::publish::{self, Class, Index, InterfaceSpec, Limits};
use cairnroad_settings::OfferedClass;
use cairnroad_types::Idempotency;

/// Returns the interfaces that a coordinator with this configuration offers and uses.
pub fn interface_spec(config: &Config) -> InterfaceSpec {
    let deployment = &config.served.deployment;
    InterfaceSpec {
        version: env!("CARGO_PKG_VERSION").into(),
        platform_listen: config.listen.to_string(),
        query_listen: config.opensearch_listen.map(|address| address.to_string()),
        classes: deployment.offered_classes().map(class).collect(),
        shard_count: deployment.shards,
        indices: indices(config),
        uses_frames: config.backend == BackendKind::Frames,
        load_report_fields: deployment.report_names.clone(),
        limits: limits(),
    }
}

fn class(offered: OfferedClass) -> Class {
    let class = offered.class;
    Class {
        name: offered.name.into(),
        latency_objective_seconds: class.latency_objective,
        deadline_seconds: class.deadline,
        is_idempotent: class.idempotency != Idempotency::AtMostOnce,
        needs_key: class.idempotency == Idempotency::IdempotentWithKey,
        minimum_share: class.minimum_share,
    }
}

fn indices(config: &Config) -> Vec<Index> {
    let class_names = &config.served.deployment.class_names;
    config
        .served
        .indices
        .iter()
        .map(|index| Index {
            name: index.name.clone(),
            class: class_names.get(index.class).cloned().unwrap_or_default(),
            first_shard: index.first_shard,
            last_shard: index.last_shard,
        })
        .collect()
}

fn limits() -> Limits {
    Limits {
        max_body_bytes: http::MAX_BODY,
        max_head_bytes: http::MAX_HEAD,
        max_head_fields: http::MAX_FIELDS,
        read_timeout_seconds: fronts::REQUEST_READ_TIMEOUT.as_secs_f64(),
        max_result_window: opensearch::MAX_RESULT_WINDOW,
        max_searches: opensearch::MAX_SEARCHES,
    }
}

/// Returns the descriptions that a coordinator with this configuration serves.
pub fn publish(config: &Config) -> PublishedDescriptions {
    let spec = interface_spec(config);
    PublishedDescriptions {
        openapi: publish::openapi(&spec).to_string().into_bytes(),
        asyncapi: publish::asyncapi(&spec).to_string().into_bytes(),
    }
}
