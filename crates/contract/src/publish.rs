//! The coordinator's own descriptions, built from what is in force: which fronts are on, the classes, the indices,
//! the limits.

use serde_json::{json, Map, Value};

/// What an instance offers and uses.
#[derive(Clone, Debug)]
pub struct InterfaceSpec {
    /// The program's version.
    pub version: String,
    /// Where the platform's front listens.
    pub listen: String,
    /// Where the query front listens, if it is on.
    pub query: Option<String>,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// How many shards there are.
    pub shards: u32,
    /// The query front's indices.
    pub indices: Vec<Index>,
    /// Whether servers speak frames; else they speak the query API.
    pub frames: bool,
    /// The names of a load report's values.
    pub report: Vec<String>,
    /// The limits of a request.
    pub limits: Limits,
}

/// A class of query.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The time in which an answer is wanted, and the time at which it is given up, in seconds.
    pub aim: f64,
    /// See `aim`.
    pub deadline: f64,
    /// Whether a part may run twice.
    pub repeatable: bool,
    /// The least share of the parts' weight that an answer may be given from.
    pub floor: f64,
}

/// An index: a class over a range of shards.
#[derive(Clone, Debug)]
pub struct Index {
    /// Its name.
    pub name: String,
    /// Its class's name.
    pub class: String,
    /// The first and the last shard.
    pub shards: (u32, u32),
}

/// The limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body: usize,
    /// The largest head, in bytes, and the most fields of one.
    pub head: usize,
    /// See `head`.
    pub fields: usize,
    /// How long a request may take to come in, in seconds.
    pub slow: f64,
    /// The most hits that `from` and `size` may span.
    pub window: usize,
    /// The most searches of one `_msearch`.
    pub searches: usize,
}

fn reference(name: &str) -> Value {
    json!({"$ref": format!("#/components/schemas/{name}")})
}

fn content(kind: &str, schema: Value) -> Value {
    let mut content = Map::new();
    content.insert(kind.into(), json!({"schema": schema}));
    Value::Object(content)
}

fn answer(description: &str, schema: &str) -> Value {
    json!({"description": description, "content": content("application/json", reference(schema))})
}

fn advised(mut answer: Value, whole: bool, required: bool) -> Value {
    let (pattern, words) = match whole {
        true => ("^[0-9]+$", "Whole seconds after which to come back."),
        false => (
            "^[0-9]+(\\.[0-9]+)?$",
            "Seconds after which to come back, whole or decimal.",
        ),
    };
    answer["headers"] = json!({"Retry-After": {
        "required": required, "description": words, "schema": {"type": "string", "pattern": pattern}}});
    answer
}

fn parameter(name: &str, within: &str, required: bool, description: &str, schema: Value) -> Value {
    json!({"name": name, "in": within, "required": required, "description": description, "schema": schema})
}

/// The answers that any request of a front may get before it is understood, and the refusals.
fn common(limits: &Limits, schema: &str, whole: bool) -> Map<String, Value> {
    let error = |words: &str| answer(words, schema);
    let all = [
        (
            "400",
            error("Malformed, not supported, or not as the description in force has it; the text says what."),
        ),
        ("408", error(&format!("The request did not come in within {} s.", limits.slow))),
        ("413", error(&format!("The body is over {} bytes.", limits.body))),
        ("431", error(&format!("The head is over {} bytes or {} fields.", limits.head, limits.fields))),
        (
            "429",
            advised(error("Refused: this instance holds all it may. Trying again is harmless."), whole, true),
        ),
        ("503", advised(error("Refused, or not ready. Trying again is harmless."), whole, true)),
    ];
    all.into_iter()
        .map(|(status, answer)| (status.to_string(), answer))
        .collect()
}

/// The description of the HTTP interfaces, in OpenAPI 3.1.
pub fn openapi(surface: &InterfaceSpec) -> Value {
    let server = |address: &str, words: &str| json!([{"url": "http://{address}", "description": words, "variables": {"address": {"default": address}}}]);
    let mut paths = Map::new();
    paths.insert("/_health".into(), health());
    paths.insert("/api".into(), platform(surface));
    if let Some(address) = &surface.query {
        let servers = server(address, "The query front.");
        for (path, mut item) in query(surface) {
            item["servers"] = servers.clone();
            paths.insert(path.into(), item);
        }
    }
    let classes: Vec<Value> = surface
        .classes
        .iter()
        .map(|class| {
            json!({"name": class.name, "aim_s": class.aim, "deadline_s": class.deadline,
                "may_run_twice": class.repeatable, "least_share": class.floor})
        })
        .collect();
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "cairnroad",
            "version": surface.version,
            "description": "The HTTP interfaces of the cairnroad coordinator as this instance is configured. All fronts \
                go through the same decisions and keep the same rules: one final answer before the deadline, a partial \
                one only from the class's least share or more, no part of a class that may not run twice sent again \
                once it may have run."
        },
        "servers": server(&surface.listen, "The platform's front."),
        "x-classes": classes,
        "paths": paths,
        "components": {"schemas": schemas(surface)}
    })
}

fn health() -> Value {
    json!({"get": {
        "operationId": "health",
        "summary": "Whether the coordinator is ready to serve (all fronts).",
        "responses": {
            "200": answer("Ready.", "Health"),
            "503": advised(json!({"description": "Not ready, or told to stop."}), false, true)
        }
    }})
}

fn platform(surface: &InterfaceSpec) -> Value {
    let error = |words: &str| answer(words, "PlatformError");
    let mut responses = common(&surface.limits, "PlatformError", false);
    responses.extend([
        (
            "200".to_string(),
            answer("Served, in whole or in part.", "PlatformAnswer"),
        ),
        ("409".to_string(), error("X-Request-Id was used before.")),
        ("500".to_string(), error("Failed: nothing is promised.")),
        (
            "502".to_string(),
            error("A server's value can't be carried."),
        ),
        ("504".to_string(), error("Failed: no answer in time.")),
    ]);
    let names: Vec<&str> = surface
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let deadlines: Vec<String> = surface
        .classes
        .iter()
        .map(|class| format!("{} {} s", class.name, class.deadline))
        .collect();
    let deadline = format!(
        "Seconds that the client waits, from when it sent the request. Classes are planned for: {}.",
        deadlines.join(", ")
    );
    let bounds = json!({"type": "number", "exclusiveMinimum": 0, "exclusiveMaximum": 1_000_000});
    let id = json!({"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$"});
    json!({"post": {
        "operationId": "query",
        "summary": "One query of the platform's protocol.",
        "parameters": [
            parameter("X-Request-Id", "header", true, "Fresh for each request.", id),
            parameter("X-Class", "header", true, "The query's class.", json!({"type": "string", "enum": names})),
            parameter("X-Deadline", "header", true, &deadline, bounds),
            parameter("X-Retry", "header", false, "1 on a client's repeat.", json!({"type": "string"})),
        ],
        "requestBody": {"required": true, "content": content("application/json", reference("PlatformRequest"))},
        "responses": responses
    }})
}

fn query(surface: &InterfaceSpec) -> Vec<(&'static str, Value)> {
    let time = json!({"type": "string", "pattern": "^(-1|[0-9]+(nanos|micros|ms|s|m|h|d))$"});
    let longest = surface
        .classes
        .iter()
        .map(|class| class.deadline)
        .fold(0.0, f64::max);
    let limit = format!("The client's limit; capped by the class's deadline, {longest} s at most.");
    let count = |words: &str| {
        let schema = json!({"type": "integer", "minimum": 0, "maximum": surface.limits.window});
        (words.to_string(), schema)
    };
    let optional =
        |name: &str, words: &str, schema: Value| parameter(name, "query", false, words, schema);
    let shared = vec![
        optional(
            "preference",
            "`_shards:1,3` asks only these shards. Words without a leading underscore are taken and change nothing.",
            json!({"type": "string"}),
        ),
        optional("timeout", &limit, time.clone()),
        optional("cancel_after_time_interval", "As `timeout`; the shorter counts.", time),
        json!({"name": "allow_partial_search_results", "in": "query", "required": false, "allowEmptyValue": true,
            "description": "Whether an answer from the class's least share or more may be given. Default true.",
            "schema": {"type": "boolean"}}),
    ];
    let (from, size) = (
        count("First hit."),
        count(&format!(
            "Most hits; from + size is {} at most.",
            surface.limits.window
        )),
    );
    let mut own = shared.clone();
    own.extend([
        optional("from", &from.0, from.1),
        optional("size", &size.0, size.1),
        optional("q", "A query string.", json!({"type": "string"})),
        optional(
            "track_total_hits",
            "Passed on to the servers.",
            json!({"type": ["boolean", "integer"]}),
        ),
    ]);
    let names: Vec<&str> = surface
        .indices
        .iter()
        .map(|index| index.name.as_str())
        .collect();
    let about: Vec<String> = surface
        .indices
        .iter()
        .map(|index| {
            format!(
                "{} ({}, shards {} to {})",
                index.name, index.class, index.shards.0, index.shards.1
            )
        })
        .collect();
    let about = format!(
        "A class of query over a range of shards: {}.",
        about.join("; ")
    );
    // Any name is a path; which are known is told by 404.
    let index = json!([parameter(
        "index",
        "path",
        true,
        &about,
        json!({"type": "string", "examples": names})
    )]);
    let error = |words: &str| answer(words, "QueryError");
    let mut found = common(&surface.limits, "QueryError", true);
    found.extend([
        (
            "200".to_string(),
            answer(
                "Answered. `timed_out` and `_shards.failed` tell one that is not whole.",
                "SearchResponse",
            ),
        ),
        ("404".to_string(), error("No such index.")),
        (
            "409".to_string(),
            error("The search's name was used before."),
        ),
        (
            "500".to_string(),
            error("Failed: a part failed and may have run."),
        ),
        ("502".to_string(), error("A server's hits can't be read.")),
        (
            "504".to_string(),
            error("No answer in time, or a partial one that was not allowed."),
        ),
    ]);
    let mut many = common(&surface.limits, "QueryError", true);
    let answers = answer(
        "Each search's own answer or error, in order.",
        "MultiResponse",
    );
    many.insert("200".into(), advised(answers, true, false));
    let search = |id: &str, method: &str| {
        json!({
            "operationId": id,
            "summary": format!("One search, by {method}: one part for each shard."),
            "parameters": own,
            "requestBody": {"required": false, "content": content("application/json", reference("SearchRequest"))},
            "responses": found
        })
    };
    let words = format!(
        "Pairs of lines: a header, then a search; at most {} pairs, a newline at the end.",
        surface.limits.searches
    );
    let lines = json!({"type": "string", "description": words, "pattern": "\\n$"});
    let body = content("application/x-ndjson", lines);
    let searches = |id: &str, method: &str| {
        json!({
            "operationId": id,
            "summary": format!("Many searches at once, by {method}, each with its own final answer."),
            "parameters": shared,
            "requestBody": {"required": true, "content": body},
            "responses": many
        })
    };
    let told = |id: &str, summary: &str, words: &str, schema: Value| {
        json!({"get": {"operationId": id, "summary": summary, "responses": {
            "200": {"description": words, "content": content("application/json", schema)}}}})
    };
    let document = |key: &str| json!({"type": "object", "required": [key, "info"]});
    vec![
        (
            "/{index}/_search",
            json!({"parameters": index, "get": search("searchByGet", "GET"), "post": search("search", "POST")}),
        ),
        (
            "/{index}/_msearch",
            json!({"parameters": index, "get": searches("msearchOfIndexByGet", "GET"),
                "post": searches("msearchOfIndex", "POST")}),
        ),
        (
            "/_msearch",
            json!({"get": searches("msearchByGet", "GET"), "post": searches("msearch", "POST")}),
        ),
        (
            "/openapi.json",
            told(
                "openapi",
                "This description.",
                "OpenAPI 3.1.",
                document("openapi"),
            ),
        ),
        (
            "/asyncapi.json",
            told(
                "asyncapi",
                "The wires to servers and discovery.",
                "AsyncAPI 3.0.",
                document("asyncapi"),
            ),
        ),
        (
            "/_contract",
            told(
                "contract",
                "What departs from the descriptions in force.",
                "The drift ledger.",
                reference("Drift"),
            ),
        ),
    ]
}

fn schemas(surface: &InterfaceSpec) -> Value {
    let last = surface.shards.saturating_sub(1);
    let shard = json!({"type": "integer", "minimum": 0, "maximum": last});
    let mut all = json!({
        "Health": {"type": "object", "required": ["status"], "properties": {"status": {"const": "ready"}}},
        "PlatformRequest": {
            "type": "object",
            "required": ["shards", "q"],
            "properties": {
                "shards": {
                    "type": "array",
                    "description": "Each shard once; the weights add up to 1.",
                    "minItems": 1,
                    "maxItems": surface.shards,
                    "items": {
                        "type": "object",
                        "required": ["shard", "weight"],
                        "properties": {
                            "shard": shard,
                            "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1.001},
                            "cost": {"type": ["number", "null"], "description": "A guess at the work in microseconds."},
                            "key": {"description": "Taken and not looked at."}
                        }
                    }
                },
                "q": {"type": "string", "description": "What every part carries, unchanged."}
            }
        },
        "PlatformAnswer": {
            "type": "object",
            "required": ["complete", "hits"],
            "additionalProperties": false,
            "properties": {
                "complete": {"type": "boolean", "description": "Whether the answer is whole."},
                "hits": {"type": "array", "items": {
                    "type": "object",
                    "required": ["shard", "doc"],
                    "additionalProperties": false,
                    "properties": {"shard": shard, "doc": {"type": "string", "description": "As the server gave it."}}
                }}
            }
        },
        "PlatformError": {
            "type": "object",
            "required": ["error"],
            "additionalProperties": false,
            "properties": {"error": {"type": "string"}}
        }
    });
    if surface.query.is_none() {
        return all;
    }
    let window = json!({"type": "integer", "minimum": 0, "maximum": surface.limits.window});
    let query = json!({
        "SearchRequest": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
                "query": {"type": "object", "minProperties": 1, "maxProperties": 1},
                "from": window,
                "size": window,
                "timeout": {"type": "string", "pattern": "^(-1|[0-9]+(nanos|micros|ms|s|m|h|d))$"},
                "_source": true,
                "track_total_hits": {"type": ["boolean", "integer"]}
            }
        },
        "SearchResponse": {
            "type": "object",
            "required": ["took", "timed_out", "_shards", "hits"],
            "properties": {
                "took": {"type": "integer", "description": "Milliseconds."},
                "timed_out": {"type": "boolean", "description": "Whether parts are missing."},
                "status": {"const": 200, "description": "In an msearch only."},
                "_shards": {
                    "type": "object",
                    "required": ["total", "successful", "skipped", "failed"],
                    "properties": {
                        "total": {"type": "integer"},
                        "successful": {"type": "integer"},
                        "skipped": {"const": 0},
                        "failed": {"type": "integer"},
                        "failures": {"type": "array", "items": {
                            "type": "object",
                            "required": ["shard", "index", "reason"],
                            "properties": {
                                "shard": {"type": "integer"},
                                "index": {"type": "string"},
                                "reason": {"type": "object", "required": ["type", "reason"]}
                            }
                        }}
                    }
                },
                "hits": reference("Hits")
            }
        },
        "Hits": {
            "type": "object",
            "required": ["max_score", "hits"],
            "properties": {
                "total": {
                    "type": "object",
                    "required": ["value", "relation"],
                    "properties": {"value": {"type": "integer"}, "relation": {"enum": ["eq", "gte"]}}
                },
                "max_score": {"type": ["number", "null"]},
                "hits": {"type": "array", "items": {"type": "object"}}
            }
        },
        "MultiResponse": {
            "type": "object",
            "required": ["took", "responses"],
            "properties": {
                "took": {"type": "integer"},
                "responses": {"type": "array", "items": {"anyOf": [reference("SearchResponse"), reference("QueryError")]}}
            }
        },
        "QueryError": {
            "type": "object",
            "required": ["error", "status"],
            "additionalProperties": false,
            "properties": {
                "error": {
                    "type": "object",
                    "required": ["root_cause", "type", "reason"],
                    "properties": {
                        "root_cause": {"type": "array", "minItems": 1},
                        "type": {"type": "string"},
                        "reason": {"type": "string"}
                    }
                },
                "status": {"type": "integer"}
            }
        },
        "Drift": {
            "type": "object",
            "required": ["generation", "interfaces", "messages", "departing", "missed", "entries"],
            "properties": {
                "generation": {"type": "integer", "description": "Counts up with each change of the descriptions in force."},
                "interfaces": {"type": "object", "description": "By interface: its mode, share and description."},
                "messages": {"type": "integer", "description": "Messages looked at."},
                "departing": {"type": "integer"},
                "missed": {"type": "integer", "description": "Messages that found no room to wait in."},
                "entries": {"type": "array", "items": {
                    "type": "object",
                    "required": ["interface", "operation", "direction", "place", "kind", "first", "last", "count", "share",
                        "example", "parties", "of", "summary"]
                }}
            }
        }
    });
    if let (Value::Object(all), Value::Object(query)) = (&mut all, query) {
        all.extend(query);
    }
    all
}

/// The description of the wires to servers and discovery, in AsyncAPI 3.0. The coordinator is the described side.
pub fn asyncapi(surface: &InterfaceSpec) -> Value {
    let server = |protocol: &str, words: &str| {
        json!({"host": "{address}", "protocol": protocol, "description": words,
            "variables": {"address": {"description": "As discovery or the configuration gives it."}}})
    };
    let mut servers = json!({"agent": server("http", "Discovery's agent.")});
    let mut channels = json!({"watch": watch()});
    let mut operations = json!({
        "askList": operation("send", "watch", &["ask"]),
        "hearList": operation("receive", "watch", &["list"])
    });
    if surface.frames {
        servers["dataNode"] = server("tcp", "A data node, at the address that discovery gives.");
        channels["frames"] = frames(surface);
        operations["sendFrames"] = operation("send", "frames", &["call", "giveUp", "askLoad"]);
        operations["receiveFrames"] =
            operation("receive", "frames", &["answer", "load", "complaint"]);
    }
    json!({
        "asyncapi": "3.0.0",
        "info": {
            "title": "cairnroad's wires to servers and discovery",
            "version": surface.version,
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
    let named = |word: &&str| json!({"$ref": format!("#/channels/{channel}/messages/{word}")});
    json!({"action": action, "channel": {"$ref": format!("#/channels/{channel}")},
        "messages": messages.iter().map(named).collect::<Vec<_>>()})
}

fn frames(surface: &InterfaceSpec) -> Value {
    let id = json!({"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}\\.[0-9]+$",
        "description": "The query's id, a dot, the shard."});
    let text = |words: &str| json!({"type": "string", "description": words});
    let numbers: Map<String, Value> = surface
        .report
        .iter()
        .map(|name| (name.clone(), json!({"type": "number"})))
        .collect();
    let report = json!({"type": "object", "properties": numbers,
        "description": "The load report; without members where the line has '-'."});
    let message = |letter: &str, summary: &str, headers: Value, payload: Value| json!({"x-frame": letter, "summary": summary, "contentType": "text/plain", "headers": headers, "payload": payload});
    let head = |required: &[&str], properties: Value| json!({"type": "object", "required": required, "additionalProperties": false, "properties": properties});
    json!({
        "address": null,
        "servers": [{"$ref": "#/servers/dataNode"}],
        "messages": {
            "call": message(
                "Q",
                "One part of a call: a line `ID SHARD LIST LENGTH`, then the query's text. A frame holds one part or more.",
                head(&["id", "shard", "d", "length"], json!({
                    "id": id,
                    "shard": {"type": "integer", "minimum": 0, "maximum": surface.shards.saturating_sub(1)},
                    "d": {"type": "integer", "minimum": 1, "description": "Milliseconds that the coordinator waits."},
                    "length": {"type": "integer", "minimum": 0}
                })),
                text("The query's text, unchanged.")
            ),
            "giveUp": message("X", "The id of a part that is given up.", head(&["id"], json!({"id": id})), json!({"const": ""})),
            "askLoad": message("L?", "A probe for load.", head(&[], json!({})), json!({"const": ""})),
            "load": message("L", "The report, `-` or `err`.", head(&[], json!({})), text("")),
            "answer": message(
                "A",
                "A line `ID END SCORE REPORT`, then the value.",
                head(&["id", "end", "score", "report"], json!({
                    "id": id,
                    "end": {"enum": ["ok", "err", "busy"]},
                    "score": {"type": "string", "minLength": 1},
                    "report": report
                })),
                text("The part's value.")
            ),
            "complaint": message("E", "The frame before could not be used; the connection is closed.", head(&[], json!({})), text(""))
        }
    })
}

fn watch() -> Value {
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
