//! Collects the schemas of a description, checks them for faults and excessive cost, translates them to one dialect and
//! compiles them. OpenAPI 3.1 and 3.0 are compiled as JSON Schema 2020-12 (the dialect of 3.0 is translated),
//! AsyncAPI's superset of JSON Schema as draft 7.

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

/// The largest number of schemas in a description, subschemas included.
pub const MAX_SCHEMAS: usize = 50_000;
/// The number of characters that [`clip`] keeps.
const MAX_CLIPPED: usize = 80;

/// The dialect that a schema is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// The dialect of OpenAPI 3.0, with `nullable`, a boolean `exclusiveMinimum`, and references without siblings.
    OpenApi30,
    /// JSON Schema 2020-12, which OpenAPI 3.1 uses.
    Json2020,
    /// JSON Schema draft 7, which AsyncAPI uses.
    Json7,
}

impl Dialect {
    /// Returns whether keywords beside a `$ref` take effect.
    fn allows_ref_siblings(self) -> bool {
        self == Dialect::Json2020
    }

    /// Returns whether `true` and `false` are schemas everywhere. OpenAPI 3.0 allows them only in
    /// `additionalProperties`.
    fn allows_boolean_schemas(self) -> bool {
        self != Dialect::OpenApi30
    }
}

/// The direction of a message. `readOnly` members are not required in a request, `writeOnly` members not in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    #[serde(rename = "answer")]
    Response,
}

/// The schemas of a description that is being read.
pub struct SchemaRegistry {
    dialect: Dialect,
    /// Every registered schema with its subschemas. For a reference, the target is the first of them.
    schemas: BTreeMap<NodeLocation, Vec<Subschema>>,
    /// The nodes of the schemas that are not subschemas of another schema.
    roots: BTreeSet<NodeLocation>,
    /// The names of members whose values must not appear in reports.
    pub secrets: BTreeSet<String>,
    /// Whether any member is `readOnly` or `writeOnly`.
    has_one_way_members: bool,
    pattern_count: usize,
    /// Whether [`MAX_SCHEMAS`] was exceeded.
    is_full: bool,
}

impl SchemaRegistry {
    /// Creates an empty registry.
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

    /// Registers the schema at a node with all schemas that it contains or refers to. Faults are added to the sources.
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

    /// Returns the subschemas of a schema, preceded by the target of its reference.
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

    /// Records whether any member is sent in one direction only, and the names of secret members.
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

/// Truncates a text to a length that fits on a line of a report.
pub fn clip(text: &str) -> String {
    match text.char_indices().nth(MAX_CLIPPED) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text.into(),
    }
}
