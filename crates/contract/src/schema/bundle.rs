//! Prepares the description's files for the schema compiler: translates schemas to the compiler's dialect and
//! references to URIs.

use super::{Dialect, Direction, SchemaRegistry};
use crate::sources::{NodeLocation, Sources};
use serde_json::{json, Map, Value};

/// The base URI of the files, which the compiler knows by their index. Nothing is ever fetched from this URI.
pub(super) const BASE: &str = "cairnroad:///";

impl SchemaRegistry {
    /// Returns the files with their schemas in the compiler's dialect, for messages of one direction.
    pub(super) fn bundle(&self, sources: &Sources, direction: Direction) -> Vec<Value> {
        let mut files: Vec<Value> = sources
            .files()
            .iter()
            .map(|file| file.value.clone())
            .collect();
        for (node, subschemas) in &self.schemas {
            let Some(schema) = files[node.file]
                .pointer_mut(&node.pointer)
                .and_then(Value::as_object_mut)
            else {
                continue;
            };
            for keyword in ["$id", "$schema", "$anchor", "$dynamicAnchor"] {
                schema.remove(keyword);
            }
            if schema.contains_key("$ref") {
                if !self.dialect.allows_ref_siblings() {
                    schema.clear();
                }
                // The target of a reference is the first of a schema's subschemas.
                if let Some(target) = subschemas.first() {
                    schema.insert("$ref".into(), json!(address(&target.node)));
                }
            }
            if self.dialect == Dialect::OpenApi30 {
                translate_openapi_30(schema);
            }
            if self.has_one_way_members {
                self.drop_one_way_required(sources, node, schema, direction);
            }
        }
        files
    }

    /// Removes the members that are not sent in this direction from `required`.
    fn drop_one_way_required(
        &self,
        sources: &Sources,
        node: &NodeLocation,
        schema: &mut Map<String, Value>,
        direction: Direction,
    ) {
        let Some(required) = schema.get_mut("required").and_then(Value::as_array_mut) else {
            return;
        };
        let not_sent = match direction {
            Direction::Request => "readOnly",
            Direction::Response => "writeOnly",
        };
        let is_not_sent = |value: &Value| value[not_sent] == json!(true);
        let properties = node.at("properties");
        let members = sources.get(&properties);
        required.retain(|name| {
            let name = name.as_str().unwrap_or("");
            let Some(member) = members.and_then(|members| members.get(name)) else {
                return true;
            };
            let target = || {
                let subschemas = self.schemas.get(&properties.at(name))?;
                sources.get(&subschemas.first()?.node)
            };
            let is_reference = member.get("$ref").is_some();
            !(is_not_sent(member) || is_reference && target().is_some_and(is_not_sent))
        });
    }
}

/// Translates the keywords of OpenAPI 3.0 to JSON Schema 2020-12, in place.
fn translate_openapi_30(schema: &mut Map<String, Value>) {
    if schema.remove("nullable") == Some(json!(true)) {
        if let Some(Value::String(kind)) = schema.get("type") {
            let kinds = json!([kind, "null"]);
            schema.insert("type".into(), kinds);
        }
    }
    for (limit, exclusive) in [
        ("minimum", "exclusiveMinimum"),
        ("maximum", "exclusiveMaximum"),
    ] {
        if let Some(Value::Bool(strict)) = schema.get(exclusive).cloned() {
            schema.remove(exclusive);
            if strict {
                if let Some(value) = schema.remove(limit) {
                    schema.insert(exclusive.into(), value);
                }
            }
        }
    }
}

/// Returns the URI by which the compiler knows a schema.
pub(super) fn address(node: &NodeLocation) -> String {
    let mut out = format!("{BASE}{}#", node.file);
    for byte in node.pointer.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'.' | b'_' | b'~' => {
                out.push(byte as char)
            }
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

/// Returns the node of the schema that the compiler knows by a URI; `None` for a URI of another form.
pub fn location_from_uri(address: &str) -> Option<NodeLocation> {
    let (file, pointer) = address.strip_prefix(BASE)?.split_once('#')?;
    Some(NodeLocation {
        file: file.parse().ok()?,
        pointer: crate::sources::decode(pointer)?,
    })
}
