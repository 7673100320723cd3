//! Builds elements that the OpenAPI description uses in several places.

use super::Limits;
use serde_json::{json, Map, Value};

/// The media type of most bodies.
pub(super) const JSON: &str = "application/json";
/// The pattern of a time in the query API: a number with its unit, or -1 for none.
pub(super) const TIME_PATTERN: &str = "^(-1|[0-9]+(nanos|micros|ms|s|m|h|d))$";

/// The pattern of an idempotency key.
pub(super) const KEY_PATTERN: &str = "^[0-9A-Fa-f]{32}$";

/// The format of a `Retry-After` header.
#[derive(Clone, Copy)]
pub(super) enum RetryAfter {
    /// Whole seconds.
    Whole,
    /// Seconds, with an optional fraction.
    Decimal,
}

/// A reference to a schema of the components.
pub(super) fn reference(name: &str) -> Value {
    json!({"$ref": format!("#/components/schemas/{name}")})
}

/// Content of one media type.
pub(super) fn content(media_type: &str, schema: Value) -> Value {
    let mut content = Map::new();
    content.insert(media_type.into(), json!({"schema": schema}));
    Value::Object(content)
}

/// A response whose JSON body has the named schema.
pub(super) fn response(description: &str, schema: &str) -> Value {
    json!({"description": description, "content": content(JSON, reference(schema))})
}

/// Adds a `Retry-After` header to a response.
pub(super) fn with_retry_after(mut response: Value, form: RetryAfter, required: bool) -> Value {
    let (pattern, description) = match form {
        RetryAfter::Whole => ("^[0-9]+$", "Whole seconds after which to come back."),
        RetryAfter::Decimal => (
            "^[0-9]+(\\.[0-9]+)?$",
            "Seconds after which to come back, whole or decimal.",
        ),
    };
    response["headers"] = json!({"Retry-After": {
        "required": required,
        "description": description,
        "schema": {"type": "string", "pattern": pattern}
    }});
    response
}

/// A parameter; `location` is `query`, `header` or `path`.
pub(super) fn parameter(
    name: &str,
    location: &str,
    required: bool,
    description: &str,
    schema: Value,
) -> Value {
    json!({
        "name": name,
        "in": location,
        "required": required,
        "description": description,
        "schema": schema
    })
}

/// The schema of a number of hits.
pub(super) fn result_window(limits: &Limits) -> Value {
    json!({"type": "integer", "minimum": 0, "maximum": limits.max_result_window})
}

/// Returns the responses that a front may send before it has parsed a request, and the rejections under load, by
/// status. `error_schema` is the schema of the front's errors.
pub(super) fn common_responses(
    limits: &Limits,
    error_schema: &str,
    retry_after: RetryAfter,
) -> Map<String, Value> {
    let error = |description: &str| response(description, error_schema);
    let rejection = |description: &str| with_retry_after(error(description), retry_after, true);
    let malformed =
        "Malformed, not supported, or not as the description in force has it; the text says what.";
    let too_slow = format!(
        "The request did not come in within {} s.",
        limits.read_timeout_seconds
    );
    let body_too_large = format!("The body is over {} bytes.", limits.max_body_bytes);
    let head_too_large = format!(
        "The head is over {} bytes or {} fields.",
        limits.max_head_bytes, limits.max_head_fields
    );
    let at_capacity = "Refused: this instance holds all it may. Trying again is harmless.";
    let unavailable = "Refused, or not ready. Trying again is harmless.";
    [
        ("400", error(malformed)),
        ("408", error(&too_slow)),
        ("413", error(&body_too_large)),
        ("431", error(&head_too_large)),
        ("429", rejection(at_capacity)),
        ("503", rejection(unavailable)),
    ]
    .into_iter()
    .map(|(status, response)| (status.to_string(), response))
    .collect()
}
