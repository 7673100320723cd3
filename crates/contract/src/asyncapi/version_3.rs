//! Reads AsyncAPI 3.0, in which channels list messages and operations give their directions.

use super::{check_address_variables, list_length, read_message, MessageEntry};
use crate::builder::DescriptionBuilder;
use crate::schema::Direction;
use crate::sources::NodeLocation;
use serde_json::Value;
use std::collections::BTreeMap;

/// A message of a channel.
#[derive(Clone)]
struct ChannelMessage {
    at: NodeLocation,
    name: String,
}

/// A channel with its messages.
struct Channel {
    name: String,
    messages: Vec<ChannelMessage>,
}

/// The channels by node.
type Channels = BTreeMap<NodeLocation, Channel>;
/// The direction of each message that an operation refers to, by the channel's node and the message's name.
type Directions = BTreeMap<(NodeLocation, String), Direction>;

/// Reads the messages of all channels. A message that no operation refers to is sent to the described side.
pub(super) fn read(
    builder: &mut DescriptionBuilder,
    root: &NodeLocation,
    default_content_type: Option<&str>,
) {
    let channels = read_channels(builder, &root.at("channels"));
    let directions = read_operations(builder, &root.at("operations"), &channels);
    for (node, channel) in channels {
        for message in channel.messages {
            let direction = directions
                .get(&(node.clone(), message.name.clone()))
                .copied()
                .unwrap_or(Direction::Request);
            let entry = MessageEntry {
                channel: &channel.name,
                name: &message.name,
                at: &message.at,
                direction,
            };
            read_message(builder, &entry, default_content_type);
        }
    }
}

/// Reads the channels. A second channel with the same address is a fault.
fn read_channels(builder: &mut DescriptionBuilder, all: &NodeLocation) -> Channels {
    let mut channels = Channels::new();
    let mut addresses: BTreeMap<String, String> = BTreeMap::new();
    for name in builder.object(all).unwrap_or_default().keys() {
        let Some(node) = builder.sources.resolve(&all.at(name)) else {
            continue;
        };
        if builder.object(&node).is_none() {
            continue;
        }
        let address = match builder.sources.get(&node.at("address")) {
            Some(Value::Null) | None => None,
            Some(_) => builder.string(&node.at("address")),
        };
        check_address_variables(builder, &node, address.as_deref().unwrap_or(""));
        if let Some(address) = address {
            if let Some(other) = addresses.insert(address, name.clone()) {
                builder.fault(
                    &node.at("address"),
                    format!("duplicate address: also used by the channel '{other}'"),
                );
            }
        }
        let channel = Channel {
            name: name.clone(),
            messages: channel_messages(builder, &node.at("messages")),
        };
        channels.insert(node, channel);
    }
    channels
}

fn channel_messages(builder: &mut DescriptionBuilder, node: &NodeLocation) -> Vec<ChannelMessage> {
    builder
        .object(node)
        .unwrap_or_default()
        .keys()
        .map(|name| ChannelMessage {
            at: node.at(name),
            name: name.clone(),
        })
        .collect()
}

/// Reads the operations and returns the direction of each message that they refer to.
fn read_operations(
    builder: &mut DescriptionBuilder,
    all: &NodeLocation,
    channels: &Channels,
) -> Directions {
    let mut directions = Directions::new();
    for name in builder.object(all).unwrap_or_default().keys() {
        let Some(node) = builder.sources.resolve(&all.at(name)) else {
            continue;
        };
        if builder.object(&node).is_none() {
            continue;
        }
        builder.require_keys(&node, &["action", "channel"]);
        let Some(direction) = read_action(builder, &node.at("action")) else {
            continue;
        };
        let Some((target, channel)) = operation_channel(builder, &node.at("channel"), channels)
        else {
            continue;
        };
        for message in operation_messages(builder, &node.at("messages"), channel) {
            directions.insert((target.clone(), message.name), direction);
        }
    }
    directions
}

fn read_action(builder: &mut DescriptionBuilder, node: &NodeLocation) -> Option<Direction> {
    match builder.string(node)?.as_str() {
        "receive" => Some(Direction::Request),
        "send" => Some(Direction::Response),
        other => {
            builder.fault(
                node,
                format!("unknown action '{other}': expected send or receive"),
            );
            None
        }
    }
}

/// Returns the channel that an operation refers to, with its node.
fn operation_channel<'c>(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    channels: &'c Channels,
) -> Option<(NodeLocation, &'c Channel)> {
    let Some(reference) = builder.sources.reference(node) else {
        if builder.sources.get(node).is_some() {
            builder.fault(node, "expected a reference to a channel");
        }
        return None;
    };
    let target = builder.sources.follow(node, &reference)?;
    let Some(channel) = channels.get(&target) else {
        builder.fault(node, format!("'{reference}' is not a channel"));
        return None;
    };
    Some((target, channel))
}

/// Returns the messages that an operation lists, or all messages of its channel if the operation has no list.
fn operation_messages(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    channel: &Channel,
) -> Vec<ChannelMessage> {
    let Some(count) = list_length(builder, node) else {
        return channel.messages.clone();
    };
    let mut messages = Vec::new();
    for index in 0..count {
        let at = node.item(index);
        let Some(reference) = builder.sources.reference(&at) else {
            builder.fault(&at, "expected a reference to a message of the channel");
            continue;
        };
        let Some(found) = builder.sources.follow(&at, &reference) else {
            continue;
        };
        match channel.messages.iter().find(|known| known.at == found) {
            Some(message) => messages.push(message.clone()),
            None => builder.fault(
                &at,
                format!("'{reference}' is not a message of the operation's channel"),
            ),
        }
    }
    messages
}
