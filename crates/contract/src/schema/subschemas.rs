//! The keywords of JSON Schema that hold subschemas, and how each is applied.

use crate::sources::NodeLocation;
use serde_json::Value;

/// How a subschema is applied, in the terms of JSON Schema.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Applicator {
    /// To the same value, which adds a visit of that value.
    InPlace,
    /// To parts of the value.
    Child,
}

/// A subschema, or the target of a reference.
pub(super) struct Subschema {
    pub(super) node: NodeLocation,
    pub(super) applicator: Applicator,
}

impl Subschema {
    /// Returns whether the subschema is applied to the same value as the schema that contains it.
    pub(super) fn is_in_place(&self) -> bool {
        self.applicator == Applicator::InPlace
    }
}

/// The keywords whose value is one schema.
const SINGLE: [(&str, Applicator); 12] = [
    ("not", Applicator::InPlace),
    ("if", Applicator::InPlace),
    ("then", Applicator::InPlace),
    ("else", Applicator::InPlace),
    ("items", Applicator::Child),
    ("additionalItems", Applicator::Child),
    ("contains", Applicator::Child),
    ("additionalProperties", Applicator::Child),
    ("unevaluatedItems", Applicator::Child),
    ("unevaluatedProperties", Applicator::Child),
    ("propertyNames", Applicator::Child),
    ("contentSchema", Applicator::Child),
];
/// The keywords whose value is a list of schemas.
const LISTS: [(&str, Applicator); 5] = [
    ("allOf", Applicator::InPlace),
    ("anyOf", Applicator::InPlace),
    ("oneOf", Applicator::InPlace),
    ("prefixItems", Applicator::Child),
    ("items", Applicator::Child),
];
/// The keywords whose value is an object of schemas.
const MAPS: [(&str, Applicator); 6] = [
    ("properties", Applicator::Child),
    ("patternProperties", Applicator::Child),
    ("$defs", Applicator::Child),
    ("definitions", Applicator::Child),
    ("dependentSchemas", Applicator::InPlace),
    ("dependencies", Applicator::InPlace),
];

/// Returns the direct subschemas of a schema, without following references.
pub(super) fn subschemas(schema: &Value, node: &NodeLocation) -> Vec<Subschema> {
    let Some(map) = schema.as_object() else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for (key, applicator) in SINGLE {
        if map.get(key).is_some_and(is_schema) {
            let node = node.at(key);
            found.push(Subschema { node, applicator });
        }
    }
    for (key, applicator) in LISTS {
        let items = map.get(key).and_then(Value::as_array);
        for (index, item) in items.into_iter().flatten().enumerate() {
            if is_schema(item) {
                let node = node.at(key).item(index);
                found.push(Subschema { node, applicator });
            }
        }
    }
    for (key, applicator) in MAPS {
        let members = map.get(key).and_then(Value::as_object);
        for (name, member) in members.into_iter().flatten() {
            if is_schema(member) {
                let node = node.at(key).at(name);
                found.push(Subschema { node, applicator });
            }
        }
    }
    found
}

fn is_schema(value: &Value) -> bool {
    value.is_object() || value.is_boolean()
}
