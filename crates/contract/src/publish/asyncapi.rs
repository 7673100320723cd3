//! The description of the protocols to servers and discovery, in AsyncAPI 3.0.

use super::elements::KEY_PATTERN;
use super::InterfaceSpec;
use serde_json::{json, Map, Value};

/// Builds the AsyncAPI description. The coordinator is the described side, so it sends calls and receives answers.
pub fn asyncapi(spec: &InterfaceSpec) -> Value {
    let server = |protocol: &str, description: &str| {
        json!({"host": "{address}", "protocol": protocol, "description": description,
            "variables": {"address": {"description": "As discovery or the configuration gives it."}}})
    };
    let mut servers = json!({"agent": server("http", "Discovery's agent.")});
    let mut channels = json!({"watch": watch_channel()});
    let mut operations = json!({
        "askList": operation("send", "watch", &["ask"]),
        "hearList": operation("receive", "watch", &["list"])
    });
    if spec.uses_frames {
        servers["dataNode"] = server("tcp", "A data node, at the address that discovery gives.");
        channels["frames"] = frames_channel(spec);
        operations["sendFrames"] = operation("send", "frames", &["call", "giveUp", "askLoad"]);
        operations["receiveFrames"] =
            operation("receive", "frames", &["answer", "load", "complaint"]);
    }
    json!({
        "asyncapi": "3.0.0",
        "info": {
            "title": "cairnroad's wires to servers and discovery",
            "version": spec.version,
            "description": "Frames: four bytes of length (most significant first, covering letter and rest), one letter \
                (`x-frame`), the rest. A message's headers are the fields of its line, its payload what stands behind. \
                The watch: a long-polling GET whose answers are list changes."
        },
        "servers": servers,
        "channels": channels,
        "operations": operations
    })
}

fn operation(action: &str, channel: &str, messages: &[&str]) -> Value {
    let message_reference =
        |message: &&str| json!({"$ref": format!("#/channels/{channel}/messages/{message}")});
    json!({"action": action, "channel": {"$ref": format!("#/channels/{channel}")},
        "messages": messages.iter().map(message_reference).collect::<Vec<_>>()})
}

/// The channel of frames. The headers of a message are the fields of its first line; the payload is the rest.
fn frames_channel(spec: &InterfaceSpec) -> Value {
    json!({
        "address": null,
        "servers": [{"$ref": "#/servers/dataNode"}],
        "messages": {
            "call": call_frame(spec),
            "giveUp": frame(
                "X",
                "The id of a part that is given up.",
                headers(&["id"], json!({"id": part_id()})),
                json!({"const": ""})
            ),
            "askLoad": frame("L?", "A probe for load.", no_headers(), json!({"const": ""})),
            "load": frame("L", "The report, `-` or `err`.", no_headers(), text("")),
            "answer": answer_frame(spec),
            "complaint": frame(
                "E",
                "The frame before could not be used; the connection is closed.",
                no_headers(),
                text("")
            )
        }
    })
}

fn call_frame(spec: &InterfaceSpec) -> Value {
    let last_shard = spec.shard_count.saturating_sub(1);
    let mut properties = json!({
        "id": part_id(),
        "shard": {"type": "integer", "minimum": 0, "maximum": last_shard},
        "d": {"type": "integer", "minimum": 1, "description": "Milliseconds that the coordinator waits."},
        "length": {"type": "integer", "minimum": 0}
    });
    if spec.classes.iter().any(|class| class.needs_key) {
        properties["k"] = json!({"type": "string", "pattern": KEY_PATTERN,
            "description": "The query's idempotency key; in keyed classes only."});
    }
    frame(
        "Q",
        "One part of a call: a line `ID SHARD LIST LENGTH`, then the query's text. A frame holds one part or more.",
        headers(&["id", "shard", "d", "length"], properties),
        text("The query's text, unchanged."),
    )
}

fn answer_frame(spec: &InterfaceSpec) -> Value {
    let properties = json!({
        "id": part_id(),
        "end": {"enum": ["ok", "err", "busy"]},
        "score": {"type": "string", "minLength": 1},
        "report": load_report(&spec.load_report_fields)
    });
    frame(
        "A",
        "A line `ID END SCORE REPORT`, then the value.",
        headers(&["id", "end", "score", "report"], properties),
        text("The part's value."),
    )
}

fn load_report(fields: &[String]) -> Value {
    let properties: Map<String, Value> = fields
        .iter()
        .map(|name| (name.clone(), json!({"type": "number"})))
        .collect();
    json!({
        "type": "object",
        "properties": properties,
        "description": "The load report; without members where the line has '-'."
    })
}

fn frame(letter: &str, summary: &str, headers: Value, payload: Value) -> Value {
    json!({
        "x-frame": letter,
        "summary": summary,
        "contentType": "text/plain",
        "headers": headers,
        "payload": payload
    })
}

fn headers(required: &[&str], properties: Value) -> Value {
    json!({
        "type": "object",
        "required": required,
        "additionalProperties": false,
        "properties": properties
    })
}

fn no_headers() -> Value {
    headers(&[], json!({}))
}

fn part_id() -> Value {
    json!({
        "type": "string",
        "pattern": "^[A-Za-z0-9._-]{1,128}\\.[0-9]+$",
        "description": "The query's id, a dot, the shard."
    })
}

fn text(description: &str) -> Value {
    json!({"type": "string", "description": description})
}

/// The channel of the discovery watch.
fn watch_channel() -> Value {
    let member = json!({
        "type": "object",
        "required": ["id", "host_port", "phase"],
        "properties": {
            "id": {"type": "string"},
            "host_port": {"type": "string"},
            "cell": {"type": "integer", "minimum": 0},
            "phase": {"enum": ["active", "leaving", "left"]},
            "size": {"type": "number"},
            "up_since_ms": {"type": "integer"}
        }
    });
    json!({
        "address": "/catalog/members",
        "servers": [{"$ref": "#/servers/agent"}],
        "messages": {
            "ask": {
                "summary": "GET: the whole list, or what is newer than a revision once there is any.",
                "headers": {
                    "type": "object",
                    "additionalProperties": false,
                    "properties": {
                        "from": {"type": "integer", "minimum": 0},
                        "hold_ms": {"type": "integer", "minimum": 0, "maximum": 60_000}
                    }
                }
            },
            "list": {
                "summary": "The whole list or the entries that changed.",
                "contentType": "application/json",
                "payload": {
                    "type": "object",
                    "required": ["revision", "complete", "members"],
                    "properties": {
                        "revision": {"type": "integer", "minimum": 0},
                        "complete": {"type": "boolean"},
                        "members": {"type": "array", "items": member}
                    }
                }
            }
        }
    })
}
