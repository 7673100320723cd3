//! Reads AsyncAPI 2.6 and 3.0: the messages of channels and their directions.
//!
//! A message is identified on the wire by the type letter that `x-frame` gives, or else by its own name.

mod version_2;
mod version_3;

use crate::builder::DescriptionBuilder;
use crate::model::{MediaRange, Message, SchemaRef};
use crate::schema::Direction;
use crate::sources::NodeLocation;
use std::collections::BTreeSet;

/// The largest number of messages in a description.
const MAX_MESSAGES: usize = 5_000;
/// The prefixes of the supported schema formats: AsyncAPI's own and JSON Schema's.
const SCHEMA_FORMATS: [&str; 3] = [
    "application/vnd.aai.asyncapi",
    "application/schema+json",
    "application/schema+yaml",
];

/// Reads the whole description into the builder, which collects messages and faults.
pub(crate) fn read(builder: &mut DescriptionBuilder) {
    let root = builder.sources.root();
    builder.require_keys(&root, &["info"]);
    if builder.object(&root.at("info")).is_some() {
        builder.require_keys(&root.at("info"), &["title", "version"]);
    }
    let schemas = root.at("components").at("schemas");
    for name in builder.object(&schemas).unwrap_or_default().keys() {
        builder.register_schema(&schemas.at(name), Direction::Request);
    }
    let default_content_type = builder.string(&root.at("defaultContentType"));
    match builder.version.starts_with("2.") {
        true => version_2::read(builder, &root, default_content_type.as_deref()),
        false => version_3::read(builder, &root, default_content_type.as_deref()),
    }
}

/// Returns the length of the list at a node; `None` if the node is not a list.
fn list_length(builder: &DescriptionBuilder, node: &NodeLocation) -> Option<usize> {
    builder.sources.get(node)?.as_array().map(Vec::len)
}

/// Checks that each variable of a channel's address is a declared parameter, and each parameter a variable.
fn check_address_variables(builder: &mut DescriptionBuilder, node: &NodeLocation, address: &str) {
    let declared = builder.object(&node.at("parameters")).unwrap_or_default();
    let mut rest = address;
    let mut named = BTreeSet::new();
    while let Some((_, after)) = rest.split_once('{') {
        let Some((name, after)) = after.split_once('}') else {
            return builder.fault(node, "unmatched '{' in the address without a closing '}'");
        };
        if !declared.contains_key(name) {
            builder.fault(
                node,
                format!("undeclared address variable {{{name}}}: expected it among the channel's parameters"),
            );
        }
        named.insert(name);
        rest = after;
    }
    for name in declared
        .keys()
        .filter(|name| !named.contains(name.as_str()))
    {
        builder.fault(
            &node.at("parameters").at(name),
            format!("the address has no variable {{{name}}}"),
        );
    }
}

/// A message as its channel lists it.
struct MessageEntry<'c> {
    channel: &'c str,
    name: &'c str,
    at: &'c NodeLocation,
    direction: Direction,
}

/// Reads a message. A second message with the same wire name in a channel is a fault.
fn read_message(
    builder: &mut DescriptionBuilder,
    entry: &MessageEntry,
    default_content_type: Option<&str>,
) {
    let Some(node) = builder.sources.resolve(entry.at) else {
        return;
    };
    if builder.object(&node).is_none() {
        return;
    }
    if builder.messages.len() >= MAX_MESSAGES {
        return builder.fault(
            &node,
            format!("too many messages: expected at most {MAX_MESSAGES}"),
        );
    }
    let channel = entry.channel;
    let frame = builder.string(&node.at("x-frame"));
    let wire_name = frame.unwrap_or_else(|| entry.name.to_string());
    if builder
        .messages
        .iter()
        .any(|known| known.channel == channel && known.wire_name == wire_name)
    {
        return builder.fault(
            entry.at,
            format!("duplicate message '{wire_name}' in the channel '{channel}'"),
        );
    }
    let is_json = read_is_json(builder, &node.at("contentType"), default_content_type);
    let headers = read_schema(builder, &node.at("headers"), entry.direction);
    let payload = read_schema(builder, &node.at("payload"), entry.direction);
    builder.messages.push(Message {
        name: format!("{channel} {}", entry.name).into(),
        channel: channel.to_string(),
        wire_name,
        node,
        headers,
        payload,
        is_json,
        direction: entry.direction,
    });
}

/// Returns whether a content type, or else the description's default content type, is JSON. Without either, JSON is
/// assumed.
fn read_is_json(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    default_content_type: Option<&str>,
) -> bool {
    let content_type = builder
        .string(node)
        .or_else(|| default_content_type.map(str::to_string));
    let Some(content_type) = content_type else {
        return true;
    };
    match MediaRange::parse(&content_type) {
        Some(range) => range.is_json(),
        None => {
            builder.fault(
                node,
                "invalid media type: expected a type such as application/json",
            );
            true
        }
    }
}

/// Reads a schema, which is given directly or in a multi-format schema object.
fn read_schema(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    direction: Direction,
) -> SchemaRef {
    let Some(value) = builder.sources.get(node) else {
        return SchemaRef::default();
    };
    let is_multi_format = value.get("schemaFormat").is_some();
    let format = if is_multi_format {
        builder.string(&node.at("schemaFormat"))
    } else {
        sibling_schema_format(node).and_then(|at| builder.string(&at))
    };
    if let Some(format) = format {
        if !SCHEMA_FORMATS.iter().any(|known| format.starts_with(known)) {
            builder.fault(
                node,
                format!(
                    "unsupported schema format '{format}': expected JSON Schema or AsyncAPI's format"
                ),
            );
            return SchemaRef::default();
        }
    }
    match is_multi_format {
        true => builder.register_schema(&node.at("schema"), direction),
        false => builder.register_schema(node, direction),
    }
}

/// Returns the node of a message's `schemaFormat`, which AsyncAPI 2.6 puts beside the payload; `None` if `node` is not
/// a payload.
fn sibling_schema_format(node: &NodeLocation) -> Option<NodeLocation> {
    node.pointer.ends_with("/payload").then(|| {
        let message = NodeLocation {
            file: node.file,
            pointer: node.pointer.trim_end_matches("/payload").into(),
        };
        message.at("schemaFormat")
    })
}
