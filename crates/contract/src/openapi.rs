//! Reads OpenAPI 3.0 and 3.1: operations with their parameters, bodies and responses.

mod parameters;

use crate::builder::DescriptionBuilder;
use crate::model::{Media, Operation, Parameter, ParameterLocation, Response, Status};
use crate::routing::Template;
use crate::schema::{Dialect, Direction};
use crate::sources::NodeLocation;
use parameters::{read_header, read_parameters};
use serde_json::Value;
use std::collections::BTreeMap;

/// The methods that a path item may describe.
const METHODS: [&str; 8] = [
    "get", "put", "post", "delete", "options", "head", "patch", "trace",
];
/// The keys of a path item that are not methods.
const PATH_ITEM_KEYS: [&str; 5] = ["$ref", "summary", "description", "servers", "parameters"];
/// The largest number of operations in a description.
const MAX_OPERATIONS: usize = 5_000;

/// A path as the description writes it, with its parsed template.
struct TemplatedPath<'t> {
    text: &'t str,
    template: Template,
}

/// Reads the whole description into the builder, which collects operations and faults.
pub(crate) fn read(builder: &mut DescriptionBuilder) {
    let root = builder.sources.root();
    builder.require_keys(&root, &["info"]);
    if builder.object(&root.at("info")).is_some() {
        builder.require_keys(&root.at("info"), &["title", "version"]);
    }
    if builder.dialect == Dialect::OpenApi30 {
        builder.require_keys(&root, &["paths"]);
    } else if ["paths", "webhooks", "components"]
        .iter()
        .all(|key| builder.sources.get(&root.at(key)).is_none())
    {
        builder.fault(
            &root,
            "expected at least one of 'paths', 'webhooks' and 'components'",
        );
    }
    read_component_schemas(builder, &root.at("components"));
    let server_paths = read_server_paths(builder, &root.at("servers"));
    read_paths(builder, &root.at("paths"), &server_paths);
}

/// Reads all path items. Reports a template that matches the same paths as another one as a fault.
fn read_paths(builder: &mut DescriptionBuilder, paths: &NodeLocation, server_paths: &[String]) {
    let mut shapes: BTreeMap<String, String> = BTreeMap::new();
    let mut ids: BTreeMap<String, NodeLocation> = BTreeMap::new();
    for text in builder.object(paths).unwrap_or_default().keys() {
        if text.starts_with("x-") {
            continue;
        }
        let node = paths.at(text);
        let template = match Template::parse(text) {
            Ok(template) => template,
            Err(cause) => {
                builder.fault(&node, cause.to_string());
                continue;
            }
        };
        if let Some(other) = shapes.insert(template.shape(), text.clone()) {
            builder.fault(
                &node,
                format!("ambiguous path template: matches the same paths as {other}"),
            );
            continue;
        }
        let path = TemplatedPath { text, template };
        path_item(builder, &node, &path, server_paths, &mut ids);
    }
}

/// Reads the schemas among the components, including those that nothing refers to, since an author of a client may copy
/// them.
fn read_component_schemas(builder: &mut DescriptionBuilder, node: &NodeLocation) {
    if builder.object(node).is_none() {
        return;
    }
    for name in builder
        .object(&node.at("schemas"))
        .unwrap_or_default()
        .keys()
    {
        let at = node.at("schemas").at(name);
        if !name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
            || name.is_empty()
        {
            builder.fault(
                &at,
                "invalid component name: expected only letters, digits, '.', '_' and '-'",
            );
        }
        builder.register_schema(&at, Direction::Request);
    }
}

/// Returns the paths of the server URLs, which prefix every path template.
fn read_server_paths(builder: &mut DescriptionBuilder, node: &NodeLocation) -> Vec<String> {
    let Some(value) = builder.sources.get(node).cloned() else {
        return vec![String::new()];
    };
    let Some(servers) = value.as_array() else {
        builder.fault(node, "expected a list of servers");
        return vec![String::new()];
    };
    let mut server_paths = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        let at = node.item(index);
        builder.require_keys(&at, &["url"]);
        let Some(url) = builder.string(&at.at("url")) else {
            continue;
        };
        let url = expand_server_variables(builder, &at, url, server);
        server_paths.push(server_path(&url));
    }
    server_paths.sort();
    server_paths.dedup();
    if server_paths.is_empty() {
        server_paths.push(String::new());
    }
    server_paths
}

/// Replaces the variables of a server URL by their defaults.
fn expand_server_variables(
    builder: &mut DescriptionBuilder,
    at: &NodeLocation,
    mut url: String,
    server: &Value,
) -> String {
    for (name, variable) in server["variables"].as_object().into_iter().flatten() {
        let default = variable["default"].as_str();
        if default.is_none() {
            builder.fault(&at.at("variables").at(name), "'default' is missing");
        }
        url = url.replace(&format!("{{{name}}}"), default.unwrap_or(""));
    }
    if let Some((_, rest)) = url.split_once('{') {
        let name = rest.split('}').next().unwrap_or("");
        builder.fault(
            &at.at("url"),
            format!("the variable {{{name}}} is not declared in 'variables'"),
        );
    }
    url
}

/// Returns the path of a server URL without its trailing slash: empty, or beginning with a slash.
fn server_path(url: &str) -> String {
    let path = match url.split_once("://") {
        Some((_, rest)) => rest.split_once('/').map_or("", |(_, path)| path),
        None => url.trim_start_matches('/'),
    };
    match path.trim_end_matches('/') {
        "" => String::new(),
        path => format!("/{path}"),
    }
}

/// Reads a path item: its shared parameters, and an operation for each method.
fn path_item(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    path: &TemplatedPath,
    server_paths: &[String],
    ids: &mut BTreeMap<String, NodeLocation>,
) {
    let Some(node) = builder.sources.resolve(node) else {
        return;
    };
    let Some(map) = builder.object(&node) else {
        return;
    };
    let server_paths = match map.contains_key("servers") {
        true => read_server_paths(builder, &node.at("servers")),
        false => server_paths.to_vec(),
    };
    let shared = read_parameters(builder, &node.at("parameters"));
    for key in map.keys() {
        if key.starts_with("x-") || PATH_ITEM_KEYS.contains(&key.as_str()) {
            continue;
        }
        let at = node.at(key);
        if !METHODS.contains(&key.as_str()) {
            builder.fault(
                &at,
                format!(
                    "unknown method '{key}': expected one of {}",
                    METHODS.join(", ")
                ),
            );
            continue;
        }
        if builder.operations.len() >= MAX_OPERATIONS {
            return builder.fault(
                &at,
                format!("too many operations: expected at most {MAX_OPERATIONS}"),
            );
        }
        let Some(operation) = read_operation(builder, at, key, path, &shared, ids) else {
            continue;
        };
        add_routes(builder, &server_paths, path.text, key);
        builder.operations.push(operation);
    }
}

/// Reads the operation of one method of a path item.
fn read_operation(
    builder: &mut DescriptionBuilder,
    at: NodeLocation,
    method: &str,
    path: &TemplatedPath,
    shared: &[Parameter],
    ids: &mut BTreeMap<String, NodeLocation>,
) -> Option<Operation> {
    let operation = builder.object(&at)?;
    let id = builder.operation_id(&at, ids);
    let own = read_parameters(builder, &at.at("parameters"));
    let parameters = with_inherited(own, shared);
    check_path_parameters(builder, &at, path, &parameters);
    let (body_required, body) = read_request_body(builder, &at.at("requestBody"));
    if !operation.contains_key("responses") && builder.dialect == Dialect::OpenApi30 {
        builder.fault(&at, "'responses' is missing");
    }
    let responses = read_responses(builder, &at.at("responses"));
    Some(Operation {
        name: format!("{} {}", method.to_ascii_uppercase(), path.text).into(),
        id,
        node: at,
        parameters,
        body_required,
        body,
        responses,
    })
}

/// Adds the parameters of the path item that the operation does not override.
fn with_inherited(mut own: Vec<Parameter>, shared: &[Parameter]) -> Vec<Parameter> {
    let replaced = |inherited: &Parameter| {
        own.iter()
            .any(|p| p.name == inherited.name && p.location == inherited.location)
    };
    let inherited: Vec<Parameter> = shared.iter().filter(|p| !replaced(p)).cloned().collect();
    own.extend(inherited);
    own
}

/// Checks that each template variable has a path parameter, and each path parameter a variable.
fn check_path_parameters(
    builder: &mut DescriptionBuilder,
    at: &NodeLocation,
    path: &TemplatedPath,
    parameters: &[Parameter],
) {
    let in_path = || {
        parameters
            .iter()
            .filter(|p| p.location == ParameterLocation::Path)
    };
    for name in path.template.variables() {
        if !in_path().any(|p| p.name == name) {
            builder.fault(
                at,
                format!(
                    "undeclared path variable {{{name}}}: expected a path parameter of this name"
                ),
            );
        }
    }
    for parameter in in_path() {
        if !path.template.variables().any(|name| name == parameter.name) {
            builder.fault(
                &parameter.node,
                format!(
                    "the path {} has no variable {{{}}}",
                    path.text, parameter.name
                ),
            );
        }
    }
}

/// Reads a request body. Returns whether the body is required, and its media types.
fn read_request_body(builder: &mut DescriptionBuilder, node: &NodeLocation) -> (bool, Vec<Media>) {
    if builder.sources.get(node).is_none() {
        return (false, Vec::new());
    }
    let Some(body) = builder.sources.resolve(node) else {
        return (false, Vec::new());
    };
    builder.require_keys(&body, &["content"]);
    let required = builder.boolean(&body.at("required"));
    let content = builder.content(&body.at("content"), Direction::Request);
    (required, content)
}

/// Adds a route for the path below each server path, to the operation that the caller appends next.
fn add_routes(builder: &mut DescriptionBuilder, server_paths: &[String], path: &str, method: &str) {
    let index = builder.operations.len();
    for server_path in server_paths {
        if let Ok(template) = Template::parse(&format!("{server_path}{path}")) {
            builder.router.add(&template, method, index);
        }
    }
}

/// Reads the responses of an operation.
fn read_responses(builder: &mut DescriptionBuilder, node: &NodeLocation) -> Vec<Response> {
    let Some(map) = builder.object(node) else {
        return Vec::new();
    };
    if !map.keys().any(|key| !key.starts_with("x-")) {
        builder.fault(node, "expected at least one response");
    }
    let mut responses = Vec::new();
    for key in map.keys().filter(|key| !key.starts_with("x-")) {
        let Some(status) = Status::parse(key) else {
            builder.fault(
                &node.at(key),
                "invalid status: expected three digits, a range such as 2XX, or 'default'",
            );
            continue;
        };
        let Some(at) = builder.sources.resolve(&node.at(key)) else {
            continue;
        };
        if builder.object(&at).is_none() {
            continue;
        }
        builder.require_keys(&at, &["description"]);
        let headers = read_response_headers(builder, &at.at("headers"));
        let content = builder.content(&at.at("content"), Direction::Response);
        responses.push(Response {
            status,
            node: at,
            headers,
            content,
        });
    }
    responses
}

/// Reads the headers of a response.
fn read_response_headers(builder: &mut DescriptionBuilder, node: &NodeLocation) -> Vec<Parameter> {
    let mut headers = Vec::new();
    for name in builder.object(node).unwrap_or_default().keys() {
        // OpenAPI ignores a `Content-Type` header here, since `content` describes the media types.
        if name.eq_ignore_ascii_case("content-type") {
            continue;
        }
        let Some(at) = builder.sources.resolve(&node.at(name)) else {
            continue;
        };
        if builder.object(&at).is_none() {
            continue;
        }
        headers.push(read_header(builder, &at, name));
    }
    headers
}
