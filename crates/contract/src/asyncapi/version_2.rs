//! AsyncAPI 2.6: a channel's `subscribe` is what the described side sends, `publish` what it receives.

use super::{check_address_variables, list_length, read_message, MessageEntry};
use crate::builder::DescriptionBuilder;
use crate::schema::Direction;
use crate::sources::NodeLocation;
use serde_json::Value;
use std::collections::BTreeMap;

/// Reads the messages of all channels.
pub(super) fn read(
    build: &mut DescriptionBuilder,
    root: &NodeLocation,
    default_content_type: Option<&str>,
) {
    build.needs(root, &["channels"]);
    let channels = root.at("channels");
    let mut ids: BTreeMap<String, NodeLocation> = BTreeMap::new();
    for channel in build.object(&channels).unwrap_or_default().keys() {
        let Some(loc) = build.sources.resolve(&channels.at(channel)) else {
            continue;
        };
        let Some(map) = build.object(&loc) else {
            continue;
        };
        check_address_variables(build, &loc, channel);
        for key in map.keys().filter(|key| !key.starts_with("x-")) {
            let at = loc.at(key);
            let Some(direction) = operation_direction(build, &at, key) else {
                continue;
            };
            if build.object(&at).is_none() {
                continue;
            }
            build.operation_id(&at, &mut ids);
            for at in message_locations(build, &at.at("message")) {
                let name = message_name(build, &at);
                let entry = MessageEntry {
                    channel,
                    name: &name,
                    at: &at,
                    direction,
                };
                read_message(build, &entry, default_content_type);
            }
        }
    }
}

/// The direction of the operation under a channel's key; `None` where the key is no operation.
fn operation_direction(
    build: &mut DescriptionBuilder,
    at: &NodeLocation,
    key: &str,
) -> Option<Direction> {
    match key {
        "publish" => Some(Direction::Request),
        "subscribe" => Some(Direction::Response),
        "$ref" | "description" | "servers" | "parameters" | "bindings" => None,
        _ => {
            build.fault(
                at,
                format!("'{key}' is no part of a channel: publish and subscribe are"),
            );
            None
        }
    }
}

/// The places of an operation's messages: one, or those of `oneOf`.
fn message_locations(build: &DescriptionBuilder, message: &NodeLocation) -> Vec<NodeLocation> {
    let alternatives = message.at("oneOf");
    match list_length(build, &alternatives) {
        Some(count) => (0..count).map(|index| alternatives.item(index)).collect(),
        None if build.sources.get(message).is_some() => vec![message.clone()],
        None => Vec::new(),
    }
}

/// The name of a message: its `name`, or the last step of its place.
fn message_name(build: &mut DescriptionBuilder, at: &NodeLocation) -> String {
    let Some(target) = build.sources.resolve(at) else {
        return String::new();
    };
    match build.sources.get(&target.at("name")) {
        Some(Value::String(name)) => name.clone(),
        _ => {
            let last_step = target.pointer.rsplit('/').next();
            last_step.unwrap_or_default().to_string()
        }
    }
}
