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

/// Returns the value of a scalar, taking its style and tag into account.
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

/// Returns the value of a scalar without quotes, whose type follows from its text. A number that JSON cannot represent
/// becomes a string.
fn plain_value(text: &str) -> Result<Value, SyntaxError> {
    let unsigned = text.strip_prefix(['-', '+']).unwrap_or(text);
    let value = match text {
        "" | "~" | "null" | "Null" | "NULL" => Some(Value::Null),
        "true" | "True" | "TRUE" => Some(Value::Bool(true)),
        "false" | "False" | "FALSE" => Some(Value::Bool(false)),
        _ if text.starts_with("0x") => integer(&text[2..], 16),
        _ if text.starts_with("0o") => integer(&text[2..], 8),
        _ if is_decimal(unsigned) => {
            let signed = text.strip_prefix('+').unwrap_or(text);
            // A number that does not fit into 64 bits becomes the nearest float.
            integer(signed, 10).or_else(|| float(signed))
        }
        _ if matches!(
            unsigned,
            ".inf" | ".Inf" | ".INF" | ".nan" | ".NaN" | ".NAN"
        ) =>
        {
            return Err(SyntaxError::NotInJson { text: text.into() });
        }
        _ if is_float(unsigned) => float(text),
        _ => None,
    };
    Ok(value.unwrap_or_else(|| Value::String(text.into())))
}

fn integer(digits: &str, radix: u32) -> Option<Value> {
    let value = i64::from_str_radix(digits, radix).ok()?;
    Some(Value::Number(value.into()))
}

fn float(text: &str) -> Option<Value> {
    let value = text.parse::<f64>().ok()?;
    Number::from_f64(value).map(Value::Number)
}

fn is_decimal(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Returns whether a text consists of the characters of a float. It may still fail to parse as one.
fn is_float(text: &str) -> bool {
    let starts_like_one = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_digit() || byte == b'.');
    let has_digit = text.bytes().any(|byte| byte.is_ascii_digit());
    let has_only_known = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || b".eE+-".contains(&byte));
    starts_like_one && has_digit && has_only_known
}
