//! Writes values as YAML text.

use saphyr::{ScalarOwned, Yaml, YamlEmitter, YamlOwned};
use serde_json::Value;

/// Formats a value as YAML text that ends with a newline.
pub fn to_yaml(value: &Value) -> String {
    let owned = convert(value);
    let mut out = String::new();
    let yaml: Yaml = (&owned).into();
    match YamlEmitter::new(&mut out).dump(&yaml) {
        Ok(()) => out + "\n",
        // Writing to a string cannot fail.
        Err(_) => String::new(),
    }
}

fn convert(value: &Value) -> YamlOwned {
    YamlOwned::Value(match value {
        Value::Null => ScalarOwned::Null,
        Value::Bool(b) => ScalarOwned::Boolean(*b),
        Value::Number(n) => match (n.as_i64(), n.as_f64()) {
            (Some(n), _) => ScalarOwned::Integer(n),
            (None, f) => ScalarOwned::FloatingPoint(f.unwrap_or(0.0).into()),
        },
        Value::String(s) => ScalarOwned::String(s.clone()),
        Value::Array(items) => return YamlOwned::Sequence(items.iter().map(convert).collect()),
        Value::Object(map) => {
            let pair = |(key, value): (&String, &Value)| {
                (
                    YamlOwned::Value(ScalarOwned::String(key.clone())),
                    convert(value),
                )
            };
            return YamlOwned::Mapping(map.iter().map(pair).collect());
        }
    })
}
