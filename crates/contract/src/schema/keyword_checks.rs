//! Checks single keywords for faults that the compiler does not report, or reports without their node.

use super::{clip, Dialect};
use crate::sources::{NodeLocation, Sources};
use serde_json::Value;

/// The longest regular expression, in bytes. Regular expressions are matched without backtracking, in time linear in
/// the text.
const MAX_PATTERN_BYTES: usize = 1_000;
/// The largest number of regular expressions in a description. Each takes up to a few milliseconds to compile.
const MAX_PATTERNS: usize = 1_000;
/// The names of the types of JSON Schema.
const TYPES: [&str; 7] = [
    "array", "boolean", "integer", "null", "number", "object", "string",
];

/// Checks the keywords of one schema. `pattern_count` counts the regular expressions of the whole description.
pub(super) fn check_keywords(
    sources: &mut Sources,
    node: &NodeLocation,
    schema: &Value,
    dialect: Dialect,
    pattern_count: &mut usize,
) {
    for keyword in ["$dynamicRef", "$recursiveRef"] {
        if schema.get(keyword).is_some() {
            sources.fault(
                &node.at(keyword),
                format!("{keyword} is not supported: use $ref"),
            );
        }
    }
    if let Some(pattern) = schema.get("pattern").and_then(Value::as_str) {
        check_pattern(sources, &node.at("pattern"), pattern);
        *pattern_count += 1;
        // Reported once, at the first expression beyond the bound.
        if *pattern_count == MAX_PATTERNS + 1 {
            sources.fault(
                &node.at("pattern"),
                format!("too many regular expressions: expected at most {MAX_PATTERNS}"),
            );
        }
    }
    check_types(sources, &node.at("type"), schema.get("type"));
    if dialect == Dialect::OpenApi30 {
        check_openapi_30(sources, node, schema);
    }
}

fn check_pattern(sources: &mut Sources, node: &NodeLocation, pattern: &str) {
    if pattern.len() > MAX_PATTERN_BYTES {
        let cause = format!(
            "regular expression too long: {} bytes, expected at most {MAX_PATTERN_BYTES}",
            pattern.len()
        );
        sources.fault(node, cause);
    } else if let Err(error) = regex_syntax::Parser::new().parse(pattern) {
        // The last line holds the cause; the lines before it mark the position in the expression.
        let text = error.to_string();
        let last_line = text.lines().last().unwrap_or("");
        let cause = last_line.trim_start_matches("error: ");
        sources.fault(node, format!("invalid regular expression: {cause}"));
    }
}

fn check_types(sources: &mut Sources, node: &NodeLocation, types: Option<&Value>) {
    let types: Vec<&Value> = match types {
        Some(Value::Array(many)) => many.iter().collect(),
        one => one.into_iter().collect(),
    };
    for name in types {
        if name.as_str().is_some_and(|name| TYPES.contains(&name)) {
            continue;
        }
        let cause = format!(
            "unknown type {}: expected one of {}",
            clip(&name.to_string()),
            TYPES.join(", ")
        );
        sources.fault(node, cause);
    }
}

/// Reports keyword forms that OpenAPI 3.1 allows and 3.0 does not.
fn check_openapi_30(sources: &mut Sources, node: &NodeLocation, schema: &Value) {
    if schema.get("type").is_some_and(Value::is_array) {
        sources.fault(
            &node.at("type"),
            "expected a single type in OpenAPI 3.0, with 'nullable': true for null values",
        );
    }
    for keyword in ["exclusiveMinimum", "exclusiveMaximum"] {
        if schema.get(keyword).is_some_and(Value::is_number) {
            sources.fault(
                &node.at(keyword),
                format!("expected true or false for {keyword} in OpenAPI 3.0"),
            );
        }
    }
}
