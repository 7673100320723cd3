//! OpenAPI 3.0 and 3.1: operations with their parameters, bodies and answers.

use crate::builder::DescriptionBuilder;
use crate::model::{Media, Operation, Parameter, ParameterLocation, Response, SchemaSlot, Status};
use crate::routing::Template;
use crate::schema::{Dialect, Direction};
use crate::sources::NodeLocation;
use std::collections::BTreeMap;

/// The methods that a path item may describe.
const METHODS: [&str; 8] = [
    "get", "put", "post", "delete", "options", "head", "patch", "trace",
];
/// The most operations of a description.
const MAX_OPERATIONS: usize = 5_000;

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
    components(build, &root.at("components"));
    let bases = bases(build, &root.at("servers"));
    let paths = root.at("paths");
    let mut shapes: BTreeMap<String, String> = BTreeMap::new();
    let mut ids: BTreeMap<String, NodeLocation> = BTreeMap::new();
    for path in build.object(&paths).unwrap_or_default().keys() {
        if path.starts_with("x-") {
            continue;
        }
        let loc = paths.at(path);
        let template = match Template::parse(path) {
            Ok(template) => template,
            Err(cause) => {
                build.fault(&loc, cause.to_string());
                continue;
            }
        };
        if let Some(other) = shapes.insert(template.shape(), path.clone()) {
            build.fault(&loc, format!("no path tells this template from {other}"));
            continue;
        }
        item(build, &loc, path, &template, &bases, &mut ids);
    }
}

/// Schemas that nothing refers to are still read: an integrator would copy them.
fn components(build: &mut DescriptionBuilder, loc: &NodeLocation) {
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

/// The paths that servers' addresses put before all templates.
fn bases(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<String> {
    let Some(value) = build.sources.get(loc).cloned() else {
        return vec![String::new()];
    };
    let Some(servers) = value.as_array() else {
        build.fault(loc, "this must be a list of servers");
        return vec![String::new()];
    };
    let mut bases = Vec::new();
    for (at, server) in servers.iter().enumerate() {
        let at = loc.item(at);
        build.needs(&at, &["url"]);
        let Some(mut url) = build.text(&at.at("url")) else {
            continue;
        };
        for (name, variable) in server["variables"].as_object().into_iter().flatten() {
            if variable["default"].as_str().is_none() {
                build.fault(&at.at("variables").at(name), "'default' is missing");
            }
            url = url.replace(
                &format!("{{{name}}}"),
                variable["default"].as_str().unwrap_or(""),
            );
        }
        if let Some((_, rest)) = url.split_once('{') {
            let name = rest.split('}').next().unwrap_or("");
            build.fault(
                &at.at("url"),
                format!("the variable {{{name}}} is not declared in 'variables'"),
            );
        }
        let path = match url.split_once("://") {
            Some((_, rest)) => rest.split_once('/').map_or("", |(_, path)| path),
            None => url.trim_start_matches('/'),
        };
        let path = path.trim_end_matches('/');
        bases.push(if path.is_empty() {
            String::new()
        } else {
            format!("/{path}")
        });
    }
    bases.sort();
    bases.dedup();
    match bases.is_empty() {
        true => vec![String::new()],
        false => bases,
    }
}

fn item(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    path: &str,
    template: &Template,
    bases: &[String],
    ids: &mut BTreeMap<String, NodeLocation>,
) {
    let Some(loc) = build.sources.resolve(loc) else {
        return;
    };
    let Some(map) = build.object(&loc) else {
        return;
    };
    let own = match map.contains_key("servers") {
        true => self::bases(build, &loc.at("servers")),
        false => bases.to_vec(),
    };
    let shared = parameters(build, &loc.at("parameters"));
    for key in map.keys() {
        let known = ["$ref", "summary", "description", "servers", "parameters"];
        if key.starts_with("x-") || known.contains(&key.as_str()) {
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
        let Some(operation) = build.object(&at) else {
            continue;
        };
        let id = build.text(&at.at("operationId"));
        if let Some(id) = &id {
            if let Some(other) = ids.insert(id.clone(), at.clone()) {
                let other = build.sources.name(&other);
                build.fault(
                    &at.at("operationId"),
                    format!("'{id}' is the operation's id at {other}, too"),
                );
            }
        }
        let mut all = parameters(build, &at.at("parameters"));
        let inherited: Vec<Parameter> = shared
            .iter()
            .filter(|s| {
                !all.iter()
                    .any(|own| own.name == s.name && own.within == s.within)
            })
            .cloned()
            .collect();
        all.extend(inherited);
        for name in template.variables() {
            if !all
                .iter()
                .any(|p| p.within == ParameterLocation::Path && p.name == name)
            {
                build.fault(
                    &at,
                    format!("the path's variable {{{name}}} is not declared among the parameters"),
                );
            }
        }
        for parameter in all.iter().filter(|p| p.within == ParameterLocation::Path) {
            if !template.variables().any(|name| name == parameter.name) {
                let loc = parameter.loc.clone();
                build.fault(
                    &loc,
                    format!("the path {path} has no variable {{{}}}", parameter.name),
                );
            }
        }
        let body = at.at("requestBody");
        let (body_required, body) = match build.sources.get(&body).is_some() {
            true => match build.sources.resolve(&body) {
                Some(body) => {
                    build.needs(&body, &["content"]);
                    (
                        build.flag(&body.at("required")),
                        build.content(&body.at("content"), Direction::Request),
                    )
                }
                None => (false, Vec::new()),
            },
            false => (false, Vec::new()),
        };
        if !operation.contains_key("responses") && build.dialect == Dialect::OpenApi30 {
            build.fault(&at, "'responses' is missing");
        }
        let responses = responses(build, &at.at("responses"));
        let number = build.operations.len();
        for base in &own {
            if let Ok(template) = Template::parse(&format!("{base}{path}")) {
                build.router.add(&template, key, number);
            }
        }
        let name = format!("{} {path}", key.to_ascii_uppercase()).into();
        build.operations.push(Operation {
            name,
            id,
            loc: at,
            parameters: all,
            body_required,
            body,
            responses,
        });
    }
}

fn parameters(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<Parameter> {
    let Some(value) = build.sources.get(loc) else {
        return Vec::new();
    };
    let Some(count) = value.as_array().map(Vec::len) else {
        build.fault(loc, "this must be a list of parameters");
        return Vec::new();
    };
    let mut all: Vec<Parameter> = Vec::new();
    for at in 0..count {
        let named = loc.item(at);
        let Some(at) = build.sources.resolve(&named) else {
            continue;
        };
        if build.object(&at).is_none() {
            continue;
        }
        build.needs(&at, &["name", "in"]);
        let (Some(name), Some(word)) = (build.text(&at.at("name")), build.text(&at.at("in")))
        else {
            continue;
        };
        let Some(within) = ParameterLocation::read(&word) else {
            build.fault(
                &at.at("in"),
                format!("'{word}' is none of path, query, header and cookie"),
            );
            continue;
        };
        if all
            .iter()
            .any(|known| known.name == name && known.within == within)
        {
            build.fault(
                &named,
                format!("the {word} parameter '{name}' is there twice"),
            );
            continue;
        }
        let required = build.flag(&at.at("required"));
        if within == ParameterLocation::Path && !required {
            build.fault(
                &at,
                format!("the path parameter '{name}' must have 'required': true"),
            );
        }
        all.push(parameter(
            build,
            &at,
            name,
            within,
            required,
            Direction::Request,
        ));
    }
    all
}

/// What a parameter and a header have in common.
fn parameter(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    name: String,
    within: ParameterLocation,
    required: bool,
    direction: Direction,
) -> Parameter {
    let has = |build: &DescriptionBuilder, key: &str| build.sources.get(&loc.at(key)).is_some();
    let (schema, content) = (has(build, "schema"), has(build, "content"));
    if schema == content {
        let cause = if schema {
            "'schema' and 'content' exclude each other"
        } else {
            "'schema' or 'content' is missing"
        };
        build.fault(loc, cause);
    }
    let style = build.text(&loc.at("style"));
    let explode = build
        .sources
        .get(&loc.at("explode"))
        .is_some()
        .then(|| build.flag(&loc.at("explode")));
    let usual = if matches!(within, ParameterLocation::Query | ParameterLocation::Cookie) {
        "form"
    } else {
        "simple"
    };
    let style = style.unwrap_or_else(|| usual.into());
    let styles: &[&str] = match within {
        ParameterLocation::Path => &["simple", "label", "matrix"],
        ParameterLocation::Query => &["form", "spaceDelimited", "pipeDelimited", "deepObject"],
        ParameterLocation::Header => &["simple"],
        ParameterLocation::Cookie => &["form"],
    };
    if !styles.contains(&style.as_str()) {
        let cause = format!(
            "'{style}' is no style of a {} parameter: {}",
            within.word(),
            styles.join(", ")
        );
        build.fault(&loc.at("style"), cause);
    }
    let parted_by = match style.as_str() {
        "form" if explode.unwrap_or(true) => None,
        "spaceDelimited" => Some(' '),
        "pipeDelimited" => Some('|'),
        _ => Some(','),
    };
    let mut slot = SchemaSlot::default();
    let mut json = false;
    if schema {
        slot = build.slot(&loc.at("schema"), direction);
    } else if content {
        let all = build.content(&loc.at("content"), direction);
        if all.len() != 1 {
            build.fault(&loc.at("content"), "a parameter has exactly one media type");
        }
        if let Some(Media { range, slot: found }) = all.into_iter().next() {
            json = range.is_json();
            slot = found;
        }
    }
    // Forms whose text this program does not take apart are there or not there, and no more is said of them.
    if matches!(style.as_str(), "label" | "matrix" | "deepObject") {
        slot = SchemaSlot::default();
    }
    let empty = within == ParameterLocation::Query && build.flag(&loc.at("allowEmptyValue"));
    Parameter {
        name,
        within,
        required,
        loc: loc.clone(),
        slot,
        json,
        empty,
        parted_by,
    }
}

fn responses(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<Response> {
    let Some(map) = build.object(loc) else {
        return Vec::new();
    };
    if !map.keys().any(|key| !key.starts_with("x-")) {
        build.fault(loc, "at least one answer must be described");
    }
    let mut all = Vec::new();
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
        let mut headers = Vec::new();
        for name in build.object(&at.at("headers")).unwrap_or_default().keys() {
            // The format gives `Content-Type` to `content` alone.
            if name.eq_ignore_ascii_case("content-type") {
                continue;
            }
            let Some(header) = build.sources.resolve(&at.at("headers").at(name)) else {
                continue;
            };
            if build.object(&header).is_none() {
                continue;
            }
            let required = build.flag(&header.at("required"));
            headers.push(parameter(
                build,
                &header,
                name.clone(),
                ParameterLocation::Header,
                required,
                Direction::Response,
            ));
        }
        let content = build.content(&at.at("content"), Direction::Response);
        all.push(Response {
            status,
            loc: at,
            headers,
            content,
        });
    }
    all
}
