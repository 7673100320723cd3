//! Formats an endpoint set as the text of one file.

use crate::endpoint_set::{Endpoint, EndpointSet, Phase};
use crate::file_format::END_MARKER;
use crate::timestamp::format_timestamp;
use toml::Value;

/// Formats a set as one TOML file, which parses to the same set.
pub fn to_toml(endpoint_set: &EndpointSet) -> String {
    let mut text = format!("generation = {}\n", endpoint_set.generation);
    if endpoint_set.allow_shrink {
        text.push_str("allow_shrink = true\n");
    }
    for (id, endpoint) in &endpoint_set.endpoints {
        push_endpoint(&mut text, id, endpoint);
    }
    text.push_str(&format!("\n{END_MARKER}\n"));
    text
}

fn push_endpoint(text: &mut String, id: &str, endpoint: &Endpoint) {
    text.push_str(&format!(
        "\n[[server]]\nid = {}\naddress = \"{}\"\n",
        quoted(id),
        endpoint.address
    ));
    text.push_str(&format!(
        "cell = {}\nweight = {:?}\n",
        endpoint.cell, endpoint.weight
    ));
    let labels = [("locality", &endpoint.locality), ("kind", &endpoint.kind)];
    for (key, label) in labels.iter().filter(|(_, label)| !label.is_empty()) {
        text.push_str(&format!("{key} = {}\n", quoted(label)));
    }
    if endpoint.phase == Phase::Draining {
        text.push_str("phase = \"leaving\"\n");
    }
    let timestamps = [
        ("started", endpoint.started),
        ("not_before", endpoint.not_before),
        ("not_after", endpoint.not_after),
    ];
    for (key, at) in timestamps {
        if let Some(at) = at {
            text.push_str(&format!("{key} = {}\n", format_timestamp(at)));
        }
    }
}

fn quoted(text: &str) -> String {
    Value::String(text.into()).to_string()
}
