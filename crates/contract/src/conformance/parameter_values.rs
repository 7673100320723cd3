//! Parses the texts of a parameter into the JSON values that they may represent.

use crate::model::Parameter;
use serde_json::Value;

/// Returns the values that a parameter's texts may represent, the most likely one first.
pub(super) fn candidates(parameter: &Parameter, texts: &[String]) -> Vec<Value> {
    let has_type = |name: &str| parameter.schema.types.iter().any(|known| known == name);
    if parameter.is_json {
        return vec![json_value(texts)];
    }
    if has_type("array") {
        return array_candidates(parameter.list_separator, texts);
    }
    if has_type("object") {
        return vec![object_value(texts)];
    }
    match texts.first() {
        Some(text) => scalar_candidates(text, has_type("string")),
        None => Vec::new(),
    }
}

/// Parses the first text as JSON; if that fails, returns all texts as one string.
fn json_value(texts: &[String]) -> Value {
    texts
        .first()
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_else(|| Value::String(texts.concat()))
}

fn array_candidates(separator: Option<char>, texts: &[String]) -> Vec<Value> {
    let items: Vec<&str> = match separator {
        Some(separator) => texts
            .iter()
            .flat_map(|text| text.split(separator))
            .collect(),
        None => texts.iter().map(String::as_str).collect(),
    };
    let typed = items.iter().map(|item| typed_value(item)).collect();
    let plain = items.iter().map(|item| string_value(item)).collect();
    vec![Value::Array(typed), Value::Array(plain)]
}

/// Parses an object whose keys and values are alternating items, such as `a,1,b,2`.
fn object_value(texts: &[String]) -> Value {
    let items: Vec<&str> = texts.iter().flat_map(|text| text.split(',')).collect();
    let members = items.chunks(2).map(|pair| {
        let value = typed_value(pair.get(1).unwrap_or(&""));
        (pair[0].to_string(), value)
    });
    Value::Object(members.collect())
}

fn scalar_candidates(text: &str, string_expected: bool) -> Vec<Value> {
    let typed = typed_value(text);
    let plain = string_value(text);
    if string_expected || typed == plain {
        vec![plain, typed]
    } else {
        vec![typed, plain]
    }
}

/// Parses a number or boolean; returns any other text as a string.
fn typed_value(text: &str) -> Value {
    match serde_json::from_str::<Value>(text) {
        Ok(value @ (Value::Number(_) | Value::Bool(_))) => value,
        _ => string_value(text),
    }
}

fn string_value(text: &str) -> Value {
    Value::String(text.to_string())
}
