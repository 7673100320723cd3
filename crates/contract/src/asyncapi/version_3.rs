//! AsyncAPI 3.0: channels hold messages; operations say who sends which.

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

/// The channels by place.
type Channels = BTreeMap<NodeLocation, Channel>;
/// The direction of each message that an operation names, by its channel's place and its name.
type Directions = BTreeMap<(NodeLocation, String), Direction>;

/// Reads the messages of all channels. A message that no operation names goes to the described side.
pub(super) fn read(
    build: &mut DescriptionBuilder,
    root: &NodeLocation,
    default_content_type: Option<&str>,
) {
    let channels = read_channels(build, &root.at("channels"));
    let directions = read_operations(build, &root.at("operations"), &channels);
    for (loc, channel) in channels {
        for message in channel.messages {
            let direction = directions
                .get(&(loc.clone(), message.name.clone()))
                .copied()
                .unwrap_or(Direction::Request);
            let entry = MessageEntry {
                channel: &channel.name,
                name: &message.name,
                at: &message.at,
                direction,
            };
            read_message(build, &entry, default_content_type);
        }
    }
}

/// Reads the channels. Two can't have the same address.
fn read_channels(build: &mut DescriptionBuilder, all: &NodeLocation) -> Channels {
    let mut channels = Channels::new();
    let mut addresses: BTreeMap<String, String> = BTreeMap::new();
    for name in build.object(all).unwrap_or_default().keys() {
        let Some(loc) = build.sources.resolve(&all.at(name)) else {
            continue;
        };
        if build.object(&loc).is_none() {
            continue;
        }
        let address = match build.sources.get(&loc.at("address")) {
            Some(Value::Null) | None => None,
            Some(_) => build.text(&loc.at("address")),
        };
        check_address_variables(build, &loc, address.as_deref().unwrap_or(""));
        if let Some(address) = address {
            if let Some(other) = addresses.insert(address, name.clone()) {
                build.fault(
                    &loc.at("address"),
                    format!("this is the address of the channel '{other}', too"),
                );
            }
        }
        let channel = Channel {
            name: name.clone(),
            messages: channel_messages(build, &loc.at("messages")),
        };
        channels.insert(loc, channel);
    }
    channels
}

fn channel_messages(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Vec<ChannelMessage> {
    build
        .object(loc)
        .unwrap_or_default()
        .keys()
        .map(|name| ChannelMessage {
            at: loc.at(name),
            name: name.clone(),
        })
        .collect()
}

/// Reads the operations: the direction of each message that they name.
fn read_operations(
    build: &mut DescriptionBuilder,
    all: &NodeLocation,
    channels: &Channels,
) -> Directions {
    let mut directions = Directions::new();
    for name in build.object(all).unwrap_or_default().keys() {
        let Some(loc) = build.sources.resolve(&all.at(name)) else {
            continue;
        };
        if build.object(&loc).is_none() {
            continue;
        }
        build.needs(&loc, &["action", "channel"]);
        let Some(direction) = read_action(build, &loc.at("action")) else {
            continue;
        };
        let Some((target, channel)) = operation_channel(build, &loc.at("channel"), channels) else {
            continue;
        };
        for message in operation_messages(build, &loc.at("messages"), channel) {
            directions.insert((target.clone(), message.name), direction);
        }
    }
    directions
}

fn read_action(build: &mut DescriptionBuilder, loc: &NodeLocation) -> Option<Direction> {
    match build.text(loc)?.as_str() {
        "receive" => Some(Direction::Request),
        "send" => Some(Direction::Response),
        other => {
            build.fault(loc, format!("'{other}' is neither send nor receive"));
            None
        }
    }
}

/// The channel that an operation refers to, with its place.
fn operation_channel<'c>(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    channels: &'c Channels,
) -> Option<(NodeLocation, &'c Channel)> {
    let Some(reference) = build.sources.reference(loc) else {
        if build.sources.get(loc).is_some() {
            build.fault(loc, "this must be a reference to a channel");
        }
        return None;
    };
    let target = build.sources.follow(loc, &reference)?;
    let Some(channel) = channels.get(&target) else {
        build.fault(loc, format!("'{reference}' is no channel"));
        return None;
    };
    Some((target, channel))
}

/// The messages of an operation: those that it lists, or all of its channel.
fn operation_messages(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    channel: &Channel,
) -> Vec<ChannelMessage> {
    let Some(count) = list_length(build, loc) else {
        return channel.messages.clone();
    };
    let mut messages = Vec::new();
    for index in 0..count {
        let at = loc.item(index);
        let Some(reference) = build.sources.reference(&at) else {
            build.fault(&at, "this must be a reference to a message of the channel");
            continue;
        };
        let Some(found) = build.sources.follow(&at, &reference) else {
            continue;
        };
        match channel.messages.iter().find(|known| known.at == found) {
            Some(message) => messages.push(message.clone()),
            None => build.fault(
                &at,
                format!("'{reference}' is no message of the operation's channel"),
            ),
        }
    }
    messages
}
