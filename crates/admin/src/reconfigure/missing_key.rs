//! Detects keys that a reloaded file has lost. A truncated or badly written file may still be valid, because the lost
//! key has a default.

use serde_json::Value;

/// Keys that only matter at a start and may be left out of a reloaded file.
const STARTUP_ONLY_KEYS: [&str; 2] = ["known", "seed"];

/// Returns the path of the first key that the file in force has and the new one lacks, such as
/// `settings.classes[1].aimS`.
pub fn first_missing_key(in_force: &Value, new: &Value) -> Option<String> {
    let Value::Object(keys) = in_force else {
        return missing_path(in_force, new);
    };
    keys.iter()
        .filter(|(key, _)| !STARTUP_ONLY_KEYS.contains(&key.as_str()))
        .find_map(|(key, value)| missing_path_at(key, value, new))
}

/// Returns the path, starting with `key`, of the first key at or below `key` that `new` lacks.
fn missing_path_at(key: &str, value: &Value, new: &Value) -> Option<String> {
    match new.get(key) {
        None => Some(key.to_string()),
        Some(new_value) => missing_path(value, new_value).map(|path| join(key, &path)),
    }
}

fn missing_path(in_force: &Value, new: &Value) -> Option<String> {
    match (in_force, new) {
        (Value::Object(keys), Value::Object(_)) => keys
            .iter()
            .find_map(|(key, value)| missing_path_at(key, value, new)),
        (Value::Array(rows), Value::Array(new_rows)) => missing_in_rows(rows, new_rows),
        _ => None,
    }
}

/// Returns the path of the first key that a new row lacks. Rows may be added and removed, but each needs every key that
/// all rows in force have.
fn missing_in_rows(rows: &[Value], new_rows: &[Value]) -> Option<String> {
    let first = rows.first()?.as_object()?;
    let required_keys: Vec<&String> = first
        .keys()
        .filter(|key| rows.iter().all(|row| row.get(key.as_str()).is_some()))
        .collect();
    new_rows.iter().enumerate().find_map(|(index, row)| {
        let missing = required_keys
            .iter()
            .find(|key| row.get(key.as_str()).is_none())?;
        Some(format!("[{index}].{missing}"))
    })
}

fn join(key: &str, path: &str) -> String {
    match path.starts_with('[') {
        true => format!("{key}{path}"),
        false => format!("{key}.{path}"),
    }
}
