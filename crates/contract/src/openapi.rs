//! OpenAPI 3.0 and 3.1: operations with their parameters, bodies and responses.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

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
/// The members of a path item that are no methods.
const PATH_ITEM_KEYS: [&str; 5] = ["$ref", "summary", "description", "servers", "parameters"];
/// The most operations of a description.
const MAX_OPERATIONS: usize = 5_000;

/// A path as it is written, with its template.
struct TemplatedPath<'t> {
    text: &'t str,
    template: Template,
}

/// Reads the whole description into the builder, which collects operations and faults.
pub(crate) fn read(build: &mut DescriptionBuilder) {
    let root = build.sources.root();
    build.needs(&root, &["info"]);
    if build.object(&root.at("info")).is_some() {
        build.needs(&root.at("info"), &["title", "version"]);
    }
    if build.dialect == Dialect::OpenApi30 {
        build.needs(&root, &["paths"]);
    } else if ["paths", "webhooks", "components"]
        .iter()
        .all(|key| build.sources.get(&root.at(key)).is_none())
    {
        build.fault(
            &root,
            "one of 'paths', 'webhooks' and 'components' must be there",
        );
    }
    read_component_schemas(build, &root.at("components"));
    let server_paths = read_server_paths(build, &root.at("servers"));
    read_paths(build, &root.at("paths"), &server_paths);
}

/// Reads all path items. Two templates that match the same paths are a fault.
fn read_paths(build: &mut DescriptionBuilder, paths: &NodeLocation, server_paths: &[String]) {
    let mut shapes: BTreeMap<String, String> = BTreeMap::new();
    let mut ids: BTreeMap<String, NodeLocation> = BTreeMap::new();
    for text in build.object(paths).unwrap_or_default().keys() {
        if text.starts_with("x-") {
            continue;
        }
        let loc = paths.at(text);
        let template = match Template::parse(text) {
            Ok(template) => template,
            Err(cause) => {
                build.fault(&loc, cause.to_string());
                continue;
            }
        };
        if let Some(other) = shapes.insert(template.shape(), text.clone()) {
            build.fault(&loc, format!("no path tells this template from {other}"));
            continue;
        }
        let path = TemplatedPath { text, template };
        path_item(build, &loc, &path, server_paths, &mut ids);
    }
}

/// Reads the schemas among the components, also those without a reference to them: a client's author may copy them.
fn read_component_schemas(build: &mut DescriptionBuilder, loc: &NodeLocation) {
    if build.object(loc).is_none() {
        return;
    }
    for name in build.object(&loc.at("schemas")).unwrap_or_default().keys() {
        let at = loc.at("schemas").at(name);
        if !name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
            || name.is_empty()
        {
            build.fault(
                &at,
                "a component's name has letters, digits, '.', '_' and '-' only",
            );
        }
        build.slot(&at, Direction::Request);
    }
}

/// Reads the paths of the servers' addresses, which precede every template.
fn read_server_paths(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<String> {
    let Some(value) = build.sources.get(loc).cloned() else {
        return vec![String::new()];
    };
    let Some(servers) = value.as_array() else {
        build.fault(loc, "this must be a list of servers");
        return vec![String::new()];
    };
    let mut server_paths = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        let at = loc.item(index);
        build.needs(&at, &["url"]);
        let Some(url) = build.text(&at.at("url")) else {
            continue;
        };
        let url = expand_server_variables(build, &at, url, server);
        server_paths.push(server_path(&url));
    }
    server_paths.sort();
    server_paths.dedup();
    if server_paths.is_empty() {
        server_paths.push(String::new());
    }
    server_paths
}

/// Puts the defaults of a server's variables into its address.
fn expand_server_variables(
    build: &mut DescriptionBuilder,
    at: &NodeLocation,
    mut url: String,
    server: &Value,
) -> String {
    for (name, variable) in server["variables"].as_object().into_iter().flatten() {
        let default = variable["default"].as_str();
        if default.is_none() {
            build.fault(&at.at("variables").at(name), "'default' is missing");
        }
        url = url.replace(&format!("{{{name}}}"), default.unwrap_or(""));
    }
    if let Some((_, rest)) = url.split_once('{') {
        let name = rest.split('}').next().unwrap_or("");
        build.fault(
            &at.at("url"),
            format!("the variable {{{name}}} is not declared in 'variables'"),
        );
    }
    url
}

/// The path of a server's address, without a slash at its end: empty or beginning with a slash.
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
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    path: &TemplatedPath,
    server_paths: &[String],
    ids: &mut BTreeMap<String, NodeLocation>,
) {
    let Some(loc) = build.sources.resolve(loc) else {
        return;
    };
    let Some(map) = build.object(&loc) else {
        return;
    };
    let server_paths = match map.contains_key("servers") {
        true => read_server_paths(build, &loc.at("servers")),
        false => server_paths.to_vec(),
    };
    let shared = read_parameters(build, &loc.at("parameters"));
    for key in map.keys() {
        if key.starts_with("x-") || PATH_ITEM_KEYS.contains(&key.as_str()) {
            continue;
        }
        let at = loc.at(key);
        if !METHODS.contains(&key.as_str()) {
            build.fault(
                &at,
                format!("'{key}' is no method: {} are", METHODS.join(", ")),
            );
            continue;
        }
        if build.operations.len() >= MAX_OPERATIONS {
            return build.fault(
                &at,
                format!("there are more than {MAX_OPERATIONS} operations"),
            );
        }
        let Some(operation) = read_operation(build, at, key, path, &shared, ids) else {
            continue;
        };
        add_routes(build, &server_paths, path.text, key);
        build.operations.push(operation);
    }
}

/// Reads the operation of one method.
fn read_operation(
    build: &mut DescriptionBuilder,
    at: NodeLocation,
    method: &str,
    path: &TemplatedPath,
    shared: &[Parameter],
    ids: &mut BTreeMap<String, NodeLocation>,
) -> Option<Operation> {
    let operation = build.object(&at)?;
    let id = build.operation_id(&at, ids);
    let own = read_parameters(build, &at.at("parameters"));
    let parameters = with_inherited(own, shared);
    check_path_parameters(build, &at, path, &parameters);
    let (body_required, body) = read_request_body(build, &at.at("requestBody"));
    if !operation.contains_key("responses") && build.dialect == Dialect::OpenApi30 {
        build.fault(&at, "'responses' is missing");
    }
    let responses = read_responses(build, &at.at("responses"));
    Some(Operation {
        name: format!("{} {}", method.to_ascii_uppercase(), path.text).into(),
        id,
        loc: at,
        parameters,
        body_required,
        body,
        responses,
    })
}

/// Adds the path item's parameters that the operation does not replace by its own.
fn with_inherited(mut own: Vec<Parameter>, shared: &[Parameter]) -> Vec<Parameter> {
    let replaced = |inherited: &Parameter| {
        own.iter()
            .any(|p| p.name == inherited.name && p.within == inherited.within)
    };
    let inherited: Vec<Parameter> = shared.iter().filter(|p| !replaced(p)).cloned().collect();
    own.extend(inherited);
    own
}

/// Checks that the template's variables and the path parameters are the same.
fn check_path_parameters(
    build: &mut DescriptionBuilder,
    at: &NodeLocation,
    path: &TemplatedPath,
    parameters: &[Parameter],
) {
    let in_path = || {
        parameters
            .iter()
            .filter(|p| p.within == ParameterLocation::Path)
    };
    for name in path.template.variables() {
        if !in_path().any(|p| p.name == name) {
            build.fault(
                at,
                format!("the path's variable {{{name}}} is not declared among the parameters"),
            );
        }
    }
    for parameter in in_path() {
        if !path.template.variables().any(|name| name == parameter.name) {
            build.fault(
                &parameter.loc,
                format!(
                    "the path {} has no variable {{{}}}",
                    path.text, parameter.name
                ),
            );
        }
    }
}

/// Reads a request body: whether it is required, and its media types.
fn read_request_body(build: &mut DescriptionBuilder, loc: &NodeLocation) -> (bool, Vec<Media>) {
    if build.sources.get(loc).is_none() {
        return (false, Vec::new());
    }
    let Some(body) = build.sources.resolve(loc) else {
        return (false, Vec::new());
    };
    build.needs(&body, &["content"]);
    let required = build.flag(&body.at("required"));
    let content = build.content(&body.at("content"), Direction::Request);
    (required, content)
}

/// Routes the path below each server path to the operation that is pushed next.
fn add_routes(build: &mut DescriptionBuilder, server_paths: &[String], path: &str, method: &str) {
    let number = build.operations.len();
    for server_path in server_paths {
        if let Ok(template) = Template::parse(&format!("{server_path}{path}")) {
            build.router.add(&template, method, number);
        }
    }
}

/// Reads an operation's responses by status.
fn read_responses(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<Response> {
    let Some(map) = build.object(loc) else {
        return Vec::new();
    };
    if !map.keys().any(|key| !key.starts_with("x-")) {
        build.fault(loc, "at least one answer must be described");
    }
    let mut responses = Vec::new();
    for key in map.keys().filter(|key| !key.starts_with("x-")) {
        let Some(status) = Status::read(key) else {
            build.fault(
                &loc.at(key),
                "a status is three digits, a range such as 2XX, or 'default'",
            );
            continue;
        };
        let Some(at) = build.sources.resolve(&loc.at(key)) else {
            continue;
        };
        if build.object(&at).is_none() {
            continue;
        }
        build.needs(&at, &["description"]);
        let headers = read_response_headers(build, &at.at("headers"));
        let content = build.content(&at.at("content"), Direction::Response);
        responses.push(Response {
            status,
            loc: at,
            headers,
            content,
        });
    }
    responses
}

/// Reads the headers of a response.
fn read_response_headers(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<Parameter> {
    let mut headers = Vec::new();
    for name in build.object(loc).unwrap_or_default().keys() {
        // The format reserves `Content-Type` for `content`.
        if name.eq_ignore_ascii_case("content-type") {
            continue;
        }
        let Some(at) = build.sources.resolve(&loc.at(name)) else {
            continue;
        };
        if build.object(&at).is_none() {
            continue;
        }
        headers.push(read_header(build, &at, name));
    }
    headers
}
