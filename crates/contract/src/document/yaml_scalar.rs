//! Scalars and tags of YAML 1.2's core schema.

use super::syntax::SyntaxError;
use saphyr_parser::{ScalarStyle, Tag};
use serde_json::{Number, Value};

/// The handle of the core schema's tags.
const CORE_HANDLE: &str = "tag:yaml.org,2002:";

/// Checks that a collection has no tag but the core schema's own: others ask for a program's own objects.
pub(super) fn check_tag(tag: Option<&Tag>, core_suffix: &str) -> Result<(), SyntaxError> {
    match tag {
        Some(tag) if tag.handle != CORE_HANDLE || tag.suffix != core_suffix => {
            Err(unsupported_tag(tag))
        }
        _ => Ok(()),
    }
}

fn unsupported_tag(tag: &Tag) -> SyntaxError {
    SyntaxError::UnsupportedTag {
        handle: tag.handle.clone(),
        suffix: tag.suffix.clone(),
    }
}

/// The value of a scalar.
pub(super) fn scalar_value(
    text: &str,
    style: ScalarStyle,
    tag: Option<&Tag>,
) -> Result<Value, SyntaxError> {
    if let Some(tag) = tag {
        match (tag.handle.as_str(), tag.suffix.as_str()) {
            (CORE_HANDLE, "str") => return Ok(Value::String(text.into())),
            (CORE_HANDLE, "int" | "float" | "bool" | "null") => {}
            _ => return Err(unsupported_tag(tag)),
        }
    }
    if style != ScalarStyle::Plain {
        return Ok(Value::String(text.into()));
    }
    plain_value(text)
}

/// The value of a scalar without quotes, whose type follows from its text.
fn plain_value(text: &str) -> Result<Value, SyntaxError> {
    let number = |value: Option<i64>| value.map(|v| Value::Number(v.into()));
    let digits = text.strip_prefix(['-', '+']).unwrap_or(text);
    let value = match text {
        "" | "~" | "null" | "Null" | "NULL" => Some(Value::Null),
        "true" | "True" | "TRUE" => Some(Value::Bool(true)),
        "false" | "False" | "FALSE" => Some(Value::Bool(false)),
        _ if text.starts_with("0x") => number(i64::from_str_radix(&text[2..], 16).ok()),
        _ if text.starts_with("0o") => number(i64::from_str_radix(&text[2..], 8).ok()),
        _ if !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()) => {
            let whole = text.strip_prefix('+').unwrap_or(text);
            number(whole.parse().ok())
                .or_else(|| Some(Value::Number(Number::from_f64(whole.parse().ok()?)?)))
        }
        _ if matches!(digits, ".inf" | ".Inf" | ".INF" | ".nan" | ".NaN" | ".NAN") => {
            return Err(SyntaxError::NotInJson { text: text.into() });
        }
        _ if digits
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_digit() || b == b'.')
            && digits.bytes().any(|b| b.is_ascii_digit())
            && digits
                .bytes()
                .all(|b| b.is_ascii_digit() || b".eE+-".contains(&b)) =>
        {
            text.parse::<f64>()
                .ok()
                .and_then(Number::from_f64)
                .map(Value::Number)
        }
        _ => None,
    };
    Ok(value.unwrap_or_else(|| Value::String(text.into())))
}
