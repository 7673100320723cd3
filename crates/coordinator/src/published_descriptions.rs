//! What this instance offers and uses, for its own descriptions.

use crate::configuration::{BackendKind, Config};
use crate::contract::PublishedDescriptions;
use crate::fronts::{self, opensearch};
use crate::http;
use cairnroad_contract::publish::{self, Class, Index, InterfaceSpec, Limits};
use cairnroad_types::Idempotency;

/// The surface of a configuration.
pub fn of(config: &Config) -> InterfaceSpec {
    let deployment = &config.served.deployment;
    let class_name = |class: usize| {
        deployment
            .class_names
            .get(class)
            .cloned()
            .unwrap_or_default()
    };
    InterfaceSpec {
        version: env!("CARGO_PKG_VERSION").into(),
        listen: config.listen.to_string(),
        query: config.opensearch_listen.map(|address| address.to_string()),
        classes: deployment
            .offered_classes()
            .map(
                |cairnroad_settings::OfferedClass { name, class, .. }| Class {
                    name: name.into(),
                    aim: class.latency_objective,
                    deadline: class.deadline,
                    repeatable: class.idempotency != Idempotency::AtMostOnce,
                    floor: class.minimum_share,
                },
            )
            .collect(),
        shards: deployment.shards,
        indices: config
            .served
            .indices
            .iter()
            .map(|index| Index {
                name: index.name.clone(),
                class: class_name(index.class),
                shards: (index.first_shard, index.last_shard),
            })
            .collect(),
        frames: config.backend == BackendKind::Frames,
        report: deployment.report_names.clone(),
        limits: Limits {
            body: http::MAX_BODY,
            head: http::MAX_HEAD,
            fields: http::MAX_FIELDS,
            slow: fronts::REQUEST_READ_TIMEOUT.as_secs_f64(),
            window: opensearch::MAX_RESULT_WINDOW,
            searches: opensearch::MAX_SEARCHES,
        },
    }
}

/// A configuration's own descriptions, as they are served.
pub fn pages(config: &Config) -> PublishedDescriptions {
    let surface = of(config);
    PublishedDescriptions {
        openapi: publish::openapi(&surface).to_string().into_bytes(),
        asyncapi: publish::asyncapi(&surface).to_string().into_bytes(),
    }
}
