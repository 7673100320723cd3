//! The description of the HTTP interfaces, in OpenAPI 3.1.

use super::elements::{
    common_responses, content, parameter, reference, response, with_retry_after, RetryAfter, JSON,
    KEY_PATTERN,
};
use super::query_api::query_paths;
use super::schemas::schemas;
use super::{Class, InterfaceSpec};
use serde_json::{json, Map, Value};

/// Builds the OpenAPI description of the fronts that are on.
pub fn openapi(spec: &InterfaceSpec) -> Value {
    let mut paths = Map::new();
    paths.insert("/_health".into(), health());
    paths.insert("/api".into(), platform(spec));
    if let Some(address) = &spec.query_listen {
        let servers = server(address, "The query front.");
        for (path, mut item) in query_paths(spec) {
            item["servers"] = servers.clone();
            paths.insert(path.into(), item);
        }
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "cairnroad",
            "version": spec.version,
            "description": "The HTTP interfaces of the cairnroad coordinator as this instance is configured. All fronts \
                go through the same decisions and keep the same rules: one final answer before the deadline, a partial \
                one only from the class's least share or more, no part of a class that may not run twice sent again \
                once it may have run."
        },
        "servers": server(&spec.platform_listen, "The platform's front."),
        "x-classes": spec.classes.iter().map(class).collect::<Vec<_>>(),
        "paths": paths,
        "components": {"schemas": schemas(spec)}
    })
}

fn server(address: &str, description: &str) -> Value {
    json!([{
        "url": "http://{address}",
        "description": description,
        "variables": {"address": {"default": address}}
    }])
}

fn class(class: &Class) -> Value {
    json!({
        "name": class.name,
        "aim_s": class.latency_objective_seconds,
        "deadline_s": class.deadline_seconds,
        "may_run_twice": class.is_idempotent,
        "needs_key": class.needs_key,
        "least_share": class.minimum_share
    })
}

fn health() -> Value {
    let not_ready = json!({"description": "Not ready, or told to stop."});
    json!({"get": {
        "operationId": "health",
        "summary": "Whether the coordinator is ready to serve (all fronts).",
        "responses": {
            "200": response("Ready.", "Health"),
            "503": with_retry_after(not_ready, RetryAfter::Decimal, true)
        }
    }})
}

fn platform(spec: &InterfaceSpec) -> Value {
    json!({"post": {
        "operationId": "query",
        "summary": "One query of the platform's protocol.",
        "parameters": platform_parameters(&spec.classes),
        "requestBody": {"required": true, "content": content(JSON, reference("PlatformRequest"))},
        "responses": platform_responses(spec)
    }})
}

fn platform_responses(spec: &InterfaceSpec) -> Map<String, Value> {
    let error = |description: &str| response(description, "PlatformError");
    let served = response("Served, in whole or in part.", "PlatformAnswer");
    let mut responses = common_responses(&spec.limits, "PlatformError", RetryAfter::Decimal);
    responses.insert("200".into(), served);
    responses.insert("409".into(), error("X-Request-Id was used before."));
    responses.insert("500".into(), error("Failed: nothing is promised."));
    responses.insert("502".into(), error("A server's value can't be carried."));
    responses.insert("504".into(), error("Failed: no answer in time."));
    responses
}

fn platform_parameters(classes: &[Class]) -> Vec<Value> {
    let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
    let deadlines: Vec<String> = classes
        .iter()
        .map(|class| format!("{} {} s", class.name, class.deadline_seconds))
        .collect();
    let deadline = format!(
        "Seconds that the client waits, from when it sent the request. Classes are planned for: {}.",
        deadlines.join(", ")
    );
    let bounds = json!({"type": "number", "exclusiveMinimum": 0, "exclusiveMaximum": 1_000_000});
    let id = json!({"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$"});
    let class = json!({"type": "string", "enum": names});
    let retry = json!({"type": "string"});
    let mut parameters = vec![
        parameter(
            "X-Request-Id",
            "header",
            true,
            "Fresh for each request.",
            id,
        ),
        parameter("X-Class", "header", true, "The query's class.", class),
        parameter("X-Deadline", "header", true, &deadline, bounds),
        parameter("X-Retry", "header", false, "1 on a client's repeat.", retry),
    ];
    parameters.extend(idempotency_key_parameter(classes));
    parameters
}

/// Returns the parameter that a query of a keyed class needs; `None` if no class is keyed.
fn idempotency_key_parameter(classes: &[Class]) -> Option<Value> {
    let keyed = classes.iter().filter(|class| class.needs_key);
    let names: Vec<&str> = keyed.map(|class| class.name.as_str()).collect();
    let description = format!(
        "Required once in the classes {}, ignored in others: the key by which servers recognize a repeated part.",
        names.join(", ")
    );
    let schema = json!({"type": "string", "pattern": KEY_PATTERN});
    (!names.is_empty()).then(|| parameter("Idempotency-Key", "header", false, &description, schema))
}
