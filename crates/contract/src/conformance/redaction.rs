//! Formats values of messages for reports: truncated, and without secrets.

use crate::schema::clip;
use serde_json::Value;
use std::collections::BTreeSet;

/// The text that replaces a secret value.
const REDACTED: &str = "(left out)";
/// The longest list that is formatted item by item. Of a longer list only the beginning would fit into a report, so
/// only its length is shown.
const MAX_LIST_ITEMS_SHOWN: usize = 40;

/// Formats a value as truncated text. The value is replaced if a key of its JSON pointer is secret, and so are secret
/// members in it.
pub(super) fn redacted(pointer: &str, value: &Value, secrets: &BTreeSet<String>) -> String {
    let is_secret = pointer
        .split('/')
        .any(|step| secrets.contains(&pointer_key(step)));
    if is_secret {
        REDACTED.to_string()
    } else {
        clip(&to_text(value, secrets))
    }
}

/// Unescapes a key of a JSON pointer.
fn pointer_key(step: &str) -> String {
    step.replace("~1", "/").replace("~0", "~")
}

fn to_text(value: &Value, secrets: &BTreeSet<String>) -> String {
    match value {
        Value::Array(items) if items.len() > MAX_LIST_ITEMS_SHOWN => {
            format!("a list of {} values", items.len())
        }
        Value::Object(_) | Value::Array(_) if !secrets.is_empty() => {
            let mut value = value.clone();
            blank_secrets(&mut value, secrets);
            value.to_string()
        }
        other => other.to_string(),
    }
}

fn blank_secrets(value: &mut Value, secrets: &BTreeSet<String>) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                if secrets.contains(key) {
                    *member = Value::String(REDACTED.into());
                } else {
                    blank_secrets(member, secrets);
                }
            }
        }
        Value::Array(items) => items
            .iter_mut()
            .for_each(|item| blank_secrets(item, secrets)),
        _ => {}
    }
}
