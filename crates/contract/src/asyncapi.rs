//! AsyncAPI 2.6 and 3.0: messages on channels, and who sends them.
//!
//! A message is known by its own name or, where `x-frame` gives one, by its type letter on a binary wire.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod version_2;
mod version_3;

use crate::builder::DescriptionBuilder;
use crate::model::{MediaRange, Message, SchemaSlot};
use crate::schema::Direction;
use crate::sources::NodeLocation;
use std::collections::BTreeSet;

/// The most messages of a description.
const MAX_MESSAGES: usize = 5_000;
/// The beginnings of the schema formats that are read: JSON Schema's and AsyncAPI's own.
const SCHEMA_FORMATS: [&str; 3] = [
    "application/vnd.aai.asyncapi",
    "application/schema+json",
    "application/schema+yaml",
];

/// Reads the whole description into the builder, which collects messages and faults.
pub(crate) fn read(build: &mut DescriptionBuilder) {
    let root = build.sources.root();
    build.needs(&root, &["info"]);
    if build.object(&root.at("info")).is_some() {
        build.needs(&root.at("info"), &["title", "version"]);
    }
    let schemas = root.at("components").at("schemas");
    for name in build.object(&schemas).unwrap_or_default().keys() {
        build.slot(&schemas.at(name), Direction::Request);
    }
    let default_content_type = build.text(&root.at("defaultContentType"));
    match build.version.starts_with("2.") {
        true => version_2::read(build, &root, default_content_type.as_deref()),
        false => version_3::read(build, &root, default_content_type.as_deref()),
    }
}

/// The number of items of the list at a place; `None` where there is no list.
fn list_length(build: &DescriptionBuilder, loc: &NodeLocation) -> Option<usize> {
    build.sources.get(loc)?.as_array().map(Vec::len)
}

/// Checks that the variables of a channel's address and the declared parameters are the same.
fn check_address_variables(build: &mut DescriptionBuilder, loc: &NodeLocation, address: &str) {
    let declared = build.object(&loc.at("parameters")).unwrap_or_default();
    let mut rest = address;
    let mut named = BTreeSet::new();
    while let Some((_, after)) = rest.split_once('{') {
        let Some((name, after)) = after.split_once('}') else {
            return build.fault(loc, "a '{' of the address stands without its '}'");
        };
        if !declared.contains_key(name) {
            build.fault(
                loc,
                format!("the address's variable {{{name}}} is not declared among the parameters"),
            );
        }
        named.insert(name);
        rest = after;
    }
    for name in declared
        .keys()
        .filter(|name| !named.contains(name.as_str()))
    {
        build.fault(
            &loc.at("parameters").at(name),
            format!("the address has no variable {{{name}}}"),
        );
    }
}

/// A message where its channel names it.
struct MessageEntry<'c> {
    channel: &'c str,
    name: &'c str,
    at: &'c NodeLocation,
    direction: Direction,
}

/// Reads a message. Two messages of one channel can't have the same name.
fn read_message(
    build: &mut DescriptionBuilder,
    entry: &MessageEntry,
    default_content_type: Option<&str>,
) {
    let Some(loc) = build.sources.resolve(entry.at) else {
        return;
    };
    if build.object(&loc).is_none() {
        return;
    }
    if build.messages.len() >= MAX_MESSAGES {
        return build.fault(&loc, format!("there are more than {MAX_MESSAGES} messages"));
    }
    let channel = entry.channel;
    let frame = build.text(&loc.at("x-frame"));
    let word = frame.unwrap_or_else(|| entry.name.to_string());
    if build
        .messages
        .iter()
        .any(|known| known.channel == channel && known.word == word)
    {
        return build.fault(
            entry.at,
            format!("the channel '{channel}' has two messages '{word}'"),
        );
    }
    let json = read_is_json(build, &loc.at("contentType"), default_content_type);
    let headers = read_schema(build, &loc.at("headers"), entry.direction);
    let payload = read_schema(build, &loc.at("payload"), entry.direction);
    build.messages.push(Message {
        name: format!("{channel} {}", entry.name).into(),
        channel: channel.to_string(),
        word,
        loc,
        headers,
        payload,
        json,
        direction: entry.direction,
    });
}

/// Whether a content type, or the description's default one, is JSON. Without either it is.
fn read_is_json(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    default_content_type: Option<&str>,
) -> bool {
    let content_type = build
        .text(loc)
        .or_else(|| default_content_type.map(str::to_string));
    let Some(content_type) = content_type else {
        return true;
    };
    match MediaRange::read(&content_type) {
        Some(range) => range.is_json(),
        None => {
            build.fault(loc, "this is no media type, such as application/json");
            true
        }
    }
}

/// Reads a schema, plain or in a multi-format object.
fn read_schema(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    direction: Direction,
) -> SchemaSlot {
    let Some(value) = build.sources.get(loc) else {
        return SchemaSlot::default();
    };
    let is_multi_format = value.get("schemaFormat").is_some();
    let format = if is_multi_format {
        build.text(&loc.at("schemaFormat"))
    } else {
        sibling_schema_format(loc).and_then(|at| build.text(&at))
    };
    if let Some(format) = format {
        if !SCHEMA_FORMATS.iter().any(|known| format.starts_with(known)) {
            build.fault(
                loc,
                format!(
                    "schemas in the format '{format}' are not read: JSON Schema and AsyncAPI's are"
                ),
            );
            return SchemaSlot::default();
        }
    }
    match is_multi_format {
        true => build.slot(&loc.at("schema"), direction),
        false => build.slot(loc, direction),
    }
}

/// Where a message names the format of its payload (AsyncAPI 2.6): beside it.
fn sibling_schema_format(loc: &NodeLocation) -> Option<NodeLocation> {
    loc.pointer.ends_with("/payload").then(|| {
        let message = NodeLocation {
            file: loc.file,
            pointer: loc.pointer.trim_end_matches("/payload").into(),
        };
        message.at("schemaFormat")
    })
}
