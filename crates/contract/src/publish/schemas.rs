//! The schemas that the OpenAPI description refers to.

use super::elements::{reference, result_window, TIME_PATTERN};
use super::InterfaceSpec;
use serde_json::{json, Value};

/// Returns all schemas by name. Those of the query API are included only if its front is on.
pub(super) fn schemas(spec: &InterfaceSpec) -> Value {
    let mut schemas = platform_schemas(spec);
    if spec.query_listen.is_none() {
        return schemas;
    }
    if let (Value::Object(all), Value::Object(query)) = (&mut schemas, query_schemas(spec)) {
        all.extend(query);
    }
    schemas
}

fn platform_schemas(spec: &InterfaceSpec) -> Value {
    let last_shard = spec.shard_count.saturating_sub(1);
    let shard = json!({"type": "integer", "minimum": 0, "maximum": last_shard});
    json!({
        "Health": {"type": "object", "required": ["status"], "properties": {"status": {"const": "ready"}}},
        "PlatformRequest": platform_request(&shard, spec.shard_count),
        "PlatformAnswer": platform_answer(&shard),
        "PlatformError": platform_error()
    })
}

fn query_schemas(spec: &InterfaceSpec) -> Value {
    let window = result_window(&spec.limits);
    json!({
        "SearchRequest": search_request(&window),
        "SearchResponse": search_response(),
        "Hits": hits(),
        "MultiResponse": multi_response(),
        "QueryError": query_error(),
        "Drift": drift()
    })
}

/// The body of a query in the platform's protocol.
fn platform_request(shard: &Value, shard_count: u32) -> Value {
    json!({
        "type": "object",
        "required": ["shards", "q"],
        "properties": {
            "shards": {
                "type": "array",
                "description": "Each shard once; the weights add up to 1.",
                "minItems": 1,
                "maxItems": shard_count,
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
    })
}

/// The answer in the platform's protocol.
fn platform_answer(shard: &Value) -> Value {
    json!({
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
    })
}

/// An error in the platform's protocol.
fn platform_error() -> Value {
    json!({
        "type": "object",
        "required": ["error"],
        "additionalProperties": false,
        "properties": {"error": {"type": "string"}}
    })
}

/// The body of a search.
fn search_request(window: &Value) -> Value {
    json!({
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "query": {"type": "object", "minProperties": 1, "maxProperties": 1},
            "from": window,
            "size": window,
            "timeout": {"type": "string", "pattern": TIME_PATTERN},
            "_source": true,
            "track_total_hits": {"type": ["boolean", "integer"]}
        }
    })
}

/// The answer to a search.
fn search_response() -> Value {
    json!({
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
    })
}

/// The hits of a search.
fn hits() -> Value {
    json!({
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
    })
}

/// The answer to many searches.
fn multi_response() -> Value {
    json!({
        "type": "object",
        "required": ["took", "responses"],
        "properties": {
            "took": {"type": "integer"},
            "responses": {"type": "array", "items": {"anyOf": [reference("SearchResponse"), reference("QueryError")]}}
        }
    })
}

/// An error in the query API's form.
fn query_error() -> Value {
    json!({
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
    })
}

/// The drift report; its keys are those of the drift tracker.
fn drift() -> Value {
    json!({
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
    })
}
