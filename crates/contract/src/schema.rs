//! Schemas: found in a description, checked for what would make them useless or costly, brought to one dialect and
//! compiled. OpenAPI 3.1 and 3.0 are compiled as JSON Schema 2020-12 (3.0's dialect is translated), AsyncAPI's
//! superset of JSON Schema as draft 7.

mod bundle;
mod compilation;
mod keyword_checks;
mod subschemas;
mod visits;

use crate::sources::{NodeLocation, Sources};
use keyword_checks::check_keywords;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use subschemas::{subschemas, Applicator, Subschema};

pub use bundle::location_from_uri;
pub use visits::MAX_VISITS;

/// The most schemas of a description, subschemas included.
pub const MAX_SCHEMAS: usize = 50_000;
/// The most characters that [`clip`] keeps.
const MAX_CLIPPED: usize = 80;

/// The dialect that a schema is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// OpenAPI 3.0's own: `nullable`, boolean `exclusiveMinimum`, references without siblings.
    OpenApi30,
    /// JSON Schema 2020-12, as OpenAPI 3.1 has it.
    Json2020,
    /// JSON Schema draft 7, as AsyncAPI has it.
    Json7,
}

impl Dialect {
    /// Whether keywords beside a `$ref` count.
    fn allows_ref_siblings(self) -> bool {
        self == Dialect::Json2020
    }

    /// Whether a schema may be `true` or `false` everywhere. OpenAPI 3.0 has that in `additionalProperties` only.
    fn allows_boolean_schemas(self) -> bool {
        self != Dialect::OpenApi30
    }
}

/// The direction of a value: `readOnly` members are not required in a request, `writeOnly` ones not in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    #[serde(rename = "answer")]
    Response,
}

/// All schemas of a description while it is read.
pub struct SchemaRegistry {
    dialect: Dialect,
    /// Every registered schema, with its subschemas. A reference's target comes first among them.
    schemas: BTreeMap<NodeLocation, Vec<Subschema>>,
    /// Where schemas begin that are no subschema of another.
    roots: BTreeSet<NodeLocation>,
    /// Names of members whose values must not be shown.
    pub secrets: BTreeSet<String>,
    /// Whether any member is `readOnly` or `writeOnly`.
    has_one_way_members: bool,
    pattern_count: usize,
    /// Whether [`MAX_SCHEMAS`] was passed.
    is_full: bool,
}

impl SchemaRegistry {
    /// A registry without schemas.
    pub fn new(dialect: Dialect) -> SchemaRegistry {
        SchemaRegistry {
            dialect,
            schemas: BTreeMap::new(),
            roots: BTreeSet::new(),
            secrets: BTreeSet::new(),
            has_one_way_members: false,
            pattern_count: 0,
            is_full: false,
        }
    }

    /// Registers the schema at a place with all that it refers to. Faults are added to the sources.
    pub fn visit(&mut self, sources: &mut Sources, root: &NodeLocation) {
        if self.schemas.contains_key(root) {
            return;
        }
        self.roots.insert(root.clone());
        let mut pending = vec![root.clone()];
        while let Some(node) = pending.pop() {
            if self.schemas.contains_key(&node) || self.is_full {
                continue;
            }
            if self.schemas.len() >= MAX_SCHEMAS {
                self.is_full = true;
                sources.fault(
                    &node,
                    format!("too many schemas: expected at most {MAX_SCHEMAS}"),
                );
                return;
            }
            let Some(schema) = sources.get(&node).cloned() else {
                continue;
            };
            if !self.is_schema(&node, &schema) {
                sources.fault(&node, "invalid schema: expected an object");
                continue;
            }
            let found = self.follow(sources, &node, &schema);
            check_keywords(
                sources,
                &node,
                &schema,
                self.dialect,
                &mut self.pattern_count,
            );
            self.note_members(&schema);
            pending.extend(found.iter().map(|subschema| subschema.node.clone()));
            self.schemas.insert(node, found);
        }
    }

    fn is_schema(&self, node: &NodeLocation, value: &Value) -> bool {
        let may_be_boolean = self.dialect.allows_boolean_schemas()
            || node.pointer.ends_with("/additionalProperties");
        value.is_object() || value.is_boolean() && may_be_boolean
    }

    /// The subschemas of a schema, the target of its reference first.
    fn follow(
        &mut self,
        sources: &mut Sources,
        node: &NodeLocation,
        schema: &Value,
    ) -> Vec<Subschema> {
        let reference = match schema.get("$ref") {
            Some(Value::String(reference)) => reference,
            Some(_) => {
                sources.fault(&node.at("$ref"), "$ref must be a string");
                return Vec::new();
            }
            None => return subschemas(schema, node),
        };
        let mut found = Vec::new();
        if let Some(target) = sources.follow(node, reference) {
            if !self.schemas.contains_key(&target) {
                self.roots.insert(target.clone());
            }
            found.push(Subschema {
                node: target,
                applicator: Applicator::InPlace,
            });
        }
        if self.dialect.allows_ref_siblings() {
            found.extend(subschemas(schema, node));
        }
        found
    }

    /// Records whether members are sent in one direction only, and which are secret.
    fn note_members(&mut self, schema: &Value) {
        self.has_one_way_members |=
            schema["readOnly"] == json!(true) || schema["writeOnly"] == json!(true);
        let members = schema.get("properties").and_then(Value::as_object);
        for (name, member) in members.into_iter().flatten() {
            if member["writeOnly"] == json!(true) || member["format"] == json!("password") {
                self.secrets.insert(name.clone());
            }
        }
    }
}

/// Cuts a text to the length that a line of a report can hold.
pub fn clip(text: &str) -> String {
    match text.char_indices().nth(MAX_CLIPPED) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text.into(),
    }
}
