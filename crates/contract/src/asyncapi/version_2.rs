//! Reads AsyncAPI 2.6, in which the described side sends the messages of a channel's `subscribe` operation and receives
//! those of `publish`.

use super::{check_address_variables, list_length, read_message, MessageEntry};
use crate::builder::DescriptionBuilder;
use crate::schema::Direction;
use crate::sources::NodeLocation;
use serde_json::Value;
use std::collections::BTreeMap;

/// Reads the messages of all channels.
pub(super) fn read(
    builder: &mut DescriptionBuilder,
    root: &NodeLocation,
    default_content_type: Option<&str>,
) {
    builder.require_keys(root, &["channels"]);
    let channels = root.at("channels");
    let mut ids: BTreeMap<String, NodeLocation> = BTreeMap::new();
    for channel in builder.object(&channels).unwrap_or_default().keys() {
        let Some(node) = builder.sources.resolve(&channels.at(channel)) else {
            continue;
        };
        let Some(map) = builder.object(&node) else {
            continue;
        };
        check_address_variables(builder, &node, channel);
        for key in map.keys().filter(|key| !key.starts_with("x-")) {
            let at = node.at(key);
            let Some(direction) = operation_direction(builder, &at, key) else {
                continue;
            };
            if builder.object(&at).is_none() {
                continue;
            }
            builder.operation_id(&at, &mut ids);
            for at in message_locations(builder, &at.at("message")) {
                let name = message_name(builder, &at);
                let entry = MessageEntry {
                    channel,
                    name: &name,
                    at: &at,
                    direction,
                };
                read_message(builder, &entry, default_content_type);
            }
        }
    }
}

/// Returns the direction of the operation under a channel's key; `None` if the key is not an operation.
fn operation_direction(
    builder: &mut DescriptionBuilder,
    at: &NodeLocation,
    key: &str,
) -> Option<Direction> {
    match key {
        "publish" => Some(Direction::Request),
        "subscribe" => Some(Direction::Response),
        "$ref" | "description" | "servers" | "parameters" | "bindings" => None,
        _ => {
            builder.fault(
                at,
                format!("unknown channel key '{key}': expected publish or subscribe"),
            );
            None
        }
    }
}

/// Returns the nodes of an operation's messages: those listed under `oneOf`, or the single message.
fn message_locations(builder: &DescriptionBuilder, message: &NodeLocation) -> Vec<NodeLocation> {
    let alternatives = message.at("oneOf");
    match list_length(builder, &alternatives) {
        Some(count) => (0..count).map(|index| alternatives.item(index)).collect(),
        None if builder.sources.get(message).is_some() => vec![message.clone()],
        None => Vec::new(),
    }
}

/// Returns the `name` of a message, or else the last key of its JSON pointer.
fn message_name(builder: &mut DescriptionBuilder, at: &NodeLocation) -> String {
    let Some(target) = builder.sources.resolve(at) else {
        return String::new();
    };
    match builder.sources.get(&target.at("name")) {
        Some(Value::String(name)) => name.clone(),
        _ => {
            let last_step = target.pointer.rsplit('/').next();
            last_step.unwrap_or_default().to_string()
        }
    }
}
