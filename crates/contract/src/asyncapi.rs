//! AsyncAPI 2.6 and 3.0: messages on channels, and who sends them.
//!
//! A message goes by its own name or, where `x-frame` gives one, by the letter that it has on a binary wire.

use crate::builder::DescriptionBuilder;
use crate::model::{MediaRange, Message, SchemaSlot};
use crate::schema::Direction;
use crate::sources::NodeLocation;
use std::collections::{BTreeMap, BTreeSet};

/// The most messages of a description.
const MAX_MESSAGES: usize = 5_000;

pub(crate) fn read(build: &mut DescriptionBuilder) {
    let root = build.sources.root();
    build.needs(&root, &["info"]);
    if build.object(&root.at("info")).is_some() {
        build.needs(&root.at("info"), &["title", "version"]);
    }
    for name in build
        .object(&root.at("components").at("schemas"))
        .unwrap_or_default()
        .keys()
    {
        build.slot(
            &root.at("components").at("schemas").at(name),
            Direction::Request,
        );
    }
    let usual = build.text(&root.at("defaultContentType"));
    match build.version.starts_with("2.") {
        true => two(build, &root, usual.as_deref()),
        false => three(build, &root, usual.as_deref()),
    }
}

/// 2.6: a channel's `subscribe` is what the described side sends, `publish` what it takes.
fn two(build: &mut DescriptionBuilder, root: &NodeLocation, usual: Option<&str>) {
    build.needs(root, &["channels"]);
    let channels = root.at("channels");
    let mut ids: BTreeMap<String, NodeLocation> = BTreeMap::new();
    for name in build.object(&channels).unwrap_or_default().keys() {
        let Some(loc) = build.sources.resolve(&channels.at(name)) else {
            continue;
        };
        let Some(map) = build.object(&loc) else {
            continue;
        };
        variables(build, &loc, name);
        for key in map.keys().filter(|key| !key.starts_with("x-")) {
            let direction = match key.as_str() {
                "publish" => Direction::Request,
                "subscribe" => Direction::Response,
                "$ref" | "description" | "servers" | "parameters" | "bindings" => continue,
                _ => {
                    build.fault(
                        &loc.at(key),
                        format!("'{key}' is no part of a channel: publish and subscribe are"),
                    );
                    continue;
                }
            };
            let at = loc.at(key);
            if build.object(&at).is_none() {
                continue;
            }
            if let Some(id) = build.text(&at.at("operationId")) {
                if let Some(other) = ids.insert(id.clone(), at.clone()) {
                    let other = build.sources.name(&other);
                    build.fault(
                        &at.at("operationId"),
                        format!("'{id}' is the operation's id at {other}, too"),
                    );
                }
            }
            let one = at.at("message");
            let all = match build
                .sources
                .get(&one.at("oneOf"))
                .and_then(|v| v.as_array())
                .map(Vec::len)
            {
                Some(count) => (0..count)
                    .map(|number| one.at("oneOf").item(number))
                    .collect(),
                None if build.sources.get(&one).is_some() => vec![one],
                None => Vec::new(),
            };
            for at in all {
                let target = build.sources.resolve(&at);
                let named = target
                    .as_ref()
                    .and_then(|loc| build.sources.get(&loc.at("name")).cloned());
                let last = target
                    .as_ref()
                    .and_then(|loc| Some(loc.pointer.rsplit('/').next()?.to_string()));
                let word = named
                    .and_then(|name| name.as_str().map(str::to_string))
                    .or(last)
                    .unwrap_or_default();
                message(build, name, &word, &at, direction, usual);
            }
        }
    }
}

/// A channel's address names variables; each must be declared.
fn variables(build: &mut DescriptionBuilder, loc: &NodeLocation, address: &str) {
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

/// 3.0: channels hold messages; operations say who sends which.
fn three(build: &mut DescriptionBuilder, root: &NodeLocation, usual: Option<&str>) {
    // By channel: its name, and its messages' places with their names.
    let mut channels: BTreeMap<NodeLocation, (String, Vec<(NodeLocation, String)>)> =
        BTreeMap::new();
    let mut addresses: BTreeMap<String, String> = BTreeMap::new();
    for name in build
        .object(&root.at("channels"))
        .unwrap_or_default()
        .keys()
    {
        let Some(loc) = build.sources.resolve(&root.at("channels").at(name)) else {
            continue;
        };
        if build.object(&loc).is_none() {
            continue;
        }
        let address = match build.sources.get(&loc.at("address")) {
            Some(serde_json::Value::Null) | None => None,
            Some(_) => build.text(&loc.at("address")),
        };
        variables(build, &loc, address.as_deref().unwrap_or(""));
        if let Some(address) = address {
            if let Some(other) = addresses.insert(address, name.clone()) {
                build.fault(
                    &loc.at("address"),
                    format!("this is the address of the channel '{other}', too"),
                );
            }
        }
        let messages = build.object(&loc.at("messages")).unwrap_or_default();
        let messages = messages
            .keys()
            .map(|word| (loc.at("messages").at(word), word.clone()))
            .collect();
        channels.insert(loc, (name.clone(), messages));
    }
    let mut sent: BTreeMap<(NodeLocation, String), Direction> = BTreeMap::new();
    for name in build
        .object(&root.at("operations"))
        .unwrap_or_default()
        .keys()
    {
        let Some(loc) = build.sources.resolve(&root.at("operations").at(name)) else {
            continue;
        };
        if build.object(&loc).is_none() {
            continue;
        }
        build.needs(&loc, &["action", "channel"]);
        let direction = match build.text(&loc.at("action")).as_deref() {
            Some("receive") => Direction::Request,
            Some("send") => Direction::Response,
            Some(other) => {
                build.fault(
                    &loc.at("action"),
                    format!("'{other}' is neither send nor receive"),
                );
                continue;
            }
            None => continue,
        };
        let Some(reference) = build.sources.reference(&loc.at("channel")) else {
            if build.sources.get(&loc.at("channel")).is_some() {
                build.fault(&loc.at("channel"), "this must be a reference to a channel");
            }
            continue;
        };
        let Some(target) = build.sources.follow(&loc.at("channel"), &reference) else {
            continue;
        };
        let Some((_, messages)) = channels.get(&target).cloned() else {
            build.fault(&loc.at("channel"), format!("'{reference}' is no channel"));
            continue;
        };
        let own = match build
            .sources
            .get(&loc.at("messages"))
            .and_then(|v| v.as_array())
            .map(Vec::len)
        {
            None => messages,
            Some(count) => {
                let mut own = Vec::new();
                for number in 0..count {
                    let at = loc.at("messages").item(number);
                    let Some(reference) = build.sources.reference(&at) else {
                        build.fault(&at, "this must be a reference to a message of the channel");
                        continue;
                    };
                    let Some(found) = build.sources.follow(&at, &reference) else {
                        continue;
                    };
                    match messages.iter().find(|(loc, _)| *loc == found) {
                        Some(message) => own.push(message.clone()),
                        None => build.fault(
                            &at,
                            format!("'{reference}' is no message of the operation's channel"),
                        ),
                    }
                }
                own
            }
        };
        for (_, word) in own {
            sent.insert((target.clone(), word), direction);
        }
    }
    for (loc, (name, messages)) in channels {
        for (at, word) in messages {
            let direction = sent
                .get(&(loc.clone(), word.clone()))
                .copied()
                .unwrap_or(Direction::Request);
            message(build, &name, &word, &at, direction, usual);
        }
    }
}

fn message(
    build: &mut DescriptionBuilder,
    channel: &str,
    word: &str,
    at: &NodeLocation,
    direction: Direction,
    usual: Option<&str>,
) {
    let Some(loc) = build.sources.resolve(at) else {
        return;
    };
    if build.object(&loc).is_none() {
        return;
    }
    if build.messages.len() >= MAX_MESSAGES {
        return build.fault(&loc, format!("there are more than {MAX_MESSAGES} messages"));
    }
    let frame = build.text(&loc.at("x-frame"));
    let name = format!("{channel} {word}").into();
    let word = frame.unwrap_or_else(|| word.to_string());
    if build
        .messages
        .iter()
        .any(|known| known.channel == channel && known.word == word)
    {
        return build.fault(
            at,
            format!("the channel '{channel}' has two messages '{word}'"),
        );
    }
    let kind = build
        .text(&loc.at("contentType"))
        .or(usual.map(str::to_string));
    let range = kind.as_deref().map(MediaRange::read);
    if range == Some(None) {
        build.fault(
            &loc.at("contentType"),
            "this is no media type, such as application/json",
        );
    }
    let json = range.flatten().is_none_or(|range| range.is_json());
    let slots = ["headers", "payload"].map(|key| schema(build, &loc.at(key), direction));
    let [headers, payload] = slots;
    let channel = channel.to_string();
    build.messages.push(Message {
        name,
        channel,
        word,
        loc,
        headers,
        payload,
        json,
        direction,
    });
}

/// A schema, plain or in a multi-format object; of the formats, only JSON Schema's and AsyncAPI's own are read.
fn schema(build: &mut DescriptionBuilder, loc: &NodeLocation, direction: Direction) -> SchemaSlot {
    let Some(value) = build.sources.get(loc) else {
        return SchemaSlot::default();
    };
    let wrapped = value.get("schemaFormat").is_some();
    let beside = loc.pointer.ends_with("/payload").then(|| {
        let message = NodeLocation {
            file: loc.file,
            pointer: loc.pointer.trim_end_matches("/payload").into(),
        };
        message.at("schemaFormat")
    });
    let format = match (wrapped, beside) {
        (true, _) => build.text(&loc.at("schemaFormat")),
        (false, Some(beside)) => build.text(&beside),
        _ => None,
    };
    if let Some(format) = format {
        let known = [
            "application/vnd.aai.asyncapi",
            "application/schema+json",
            "application/schema+yaml",
        ];
        if !known.iter().any(|known| format.starts_with(known)) {
            build.fault(
                loc,
                format!(
                    "schemas in the format '{format}' are not read: JSON Schema and AsyncAPI's are"
                ),
            );
            return SchemaSlot::default();
        }
    }
    build.slot(
        &if wrapped {
            loc.at("schema")
        } else {
            loc.clone()
        },
        direction,
    )
}
