//! Extracts the constraints of a schema into a form in which two schemas can be compared.

use crate::schema::Direction;
use crate::sources::{NodeLocation, Sources};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The largest depth to which references and `allOf` are followed.
const MAX_ALL_OF_DEPTH: usize = 32;
const LOWER_BOUNDS: [&str; 4] = ["minLength", "minItems", "minProperties", "minContains"];
const UPPER_BOUNDS: [&str; 4] = ["maxLength", "maxItems", "maxProperties", "maxContains"];
const TEXTS: [&str; 4] = ["pattern", "format", "contentEncoding", "contentMediaType"];
const ANNOTATIONS: [&str; 6] = [
    "description",
    "title",
    "example",
    "examples",
    "summary",
    "$comment",
];
const UNINTERPRETED: [&str; 15] = [
    "not",
    "if",
    "then",
    "else",
    "multipleOf",
    "uniqueItems",
    "contains",
    "patternProperties",
    "propertyNames",
    "dependentRequired",
    "dependentSchemas",
    "dependencies",
    "unevaluatedProperties",
    "unevaluatedItems",
    "additionalItems",
];

/// The constraints of a schema with `allOf` and references merged in. Keywords of OpenAPI 3.0 are translated to 3.1.
#[derive(Default)]
pub(super) struct SchemaView {
    /// The allowed types; `None` if any type is allowed.
    pub(super) types: Option<BTreeSet<String>>,
    /// The values of `enum` or `const` as JSON text; `None` if any value is allowed.
    pub(super) values: Option<BTreeSet<String>>,
    pub(super) required: BTreeSet<String>,
    pub(super) properties: BTreeMap<String, NodeLocation>,
    /// Whether members that are not listed are invalid.
    pub(super) closed: bool,
    /// The schema of members that are not listed.
    pub(super) others: Option<NodeLocation>,
    pub(super) items: Option<NodeLocation>,
    /// The schemas of the first items, by position.
    pub(super) first_items: Vec<NodeLocation>,
    pub(super) one_of: Vec<NodeLocation>,
    pub(super) any_of: Vec<NodeLocation>,
    pub(super) lower_bounds: BTreeMap<&'static str, f64>,
    pub(super) upper_bounds: BTreeMap<&'static str, f64>,
    pub(super) texts: BTreeMap<&'static str, String>,
    /// Keywords that are compared only for equality, since their effect on the valid values is not evaluated.
    pub(super) uninterpreted: BTreeMap<&'static str, Value>,
    /// Keywords that only document the schema.
    pub(super) annotations: BTreeMap<&'static str, Value>,
}

impl SchemaView {
    /// Reads the schema at a location for messages of a direction. `readOnly` members are not required in requests,
    /// `writeOnly` members not in responses.
    pub(super) fn new(
        sources: &Sources,
        location: &NodeLocation,
        direction: Direction,
    ) -> SchemaView {
        let mut view = SchemaView::default();
        view.merge(sources, location, direction, 0);
        view
    }

    fn merge(
        &mut self,
        sources: &Sources,
        location: &NodeLocation,
        direction: Direction,
        depth: usize,
    ) {
        let Some(map) = sources.get(location).and_then(Value::as_object) else {
            return;
        };
        if depth > MAX_ALL_OF_DEPTH {
            return;
        }
        // A reference with siblings is merged with its siblings.
        if sources.reference(location).is_some() {
            if let Some(target) = sources.target(location) {
                self.merge(sources, &target, direction, depth + 1);
            }
        }
        self.merge_types(map);
        self.merge_values(map);
        self.merge_bounds(map);
        self.merge_keywords(map);
        self.merge_members(location, map, direction);
        self.merge_items(location, map);
        self.one_of.extend(list_locations(location, map, "oneOf"));
        self.any_of.extend(list_locations(location, map, "anyOf"));
        for part in list_locations(location, map, "allOf") {
            self.merge(sources, &part, direction, depth + 1);
        }
    }

    fn merge_types(&mut self, map: &Map<String, Value>) {
        let mut types: BTreeSet<String> = match map.get("type") {
            Some(Value::String(one)) => [one.clone()].into(),
            Some(Value::Array(many)) => many
                .iter()
                .filter_map(|kind| Some(kind.as_str()?.to_string()))
                .collect(),
            _ => return,
        };
        if is_true(map, "nullable") {
            types.insert("null".into());
        }
        intersect(&mut self.types, types);
    }

    fn merge_values(&mut self, map: &Map<String, Value>) {
        if let Some(list) = map.get("enum").and_then(Value::as_array) {
            let values = list.iter().map(Value::to_string).collect();
            intersect(&mut self.values, values);
        } else if let Some(value) = map.get("const") {
            intersect(&mut self.values, [value.to_string()].into());
        }
    }

    fn merge_bounds(&mut self, map: &Map<String, Value>) {
        merge_limit(&mut self.lower_bounds, map, "minimum", "exclusiveMinimum");
        merge_limit(&mut self.upper_bounds, map, "maximum", "exclusiveMaximum");
        for key in LOWER_BOUNDS {
            self.lower_bounds.extend(number(map, key));
        }
        for key in UPPER_BOUNDS {
            self.upper_bounds.extend(number(map, key));
        }
    }

    fn merge_keywords(&mut self, map: &Map<String, Value>) {
        for key in TEXTS {
            let text = map.get(key).and_then(Value::as_str);
            self.texts.extend(text.map(|text| (key, text.to_string())));
        }
        for key in ANNOTATIONS {
            let value = map.get(key);
            self.annotations
                .extend(value.map(|value| (key, value.clone())));
        }
        for key in UNINTERPRETED {
            let value = map.get(key);
            self.uninterpreted
                .extend(value.map(|value| (key, value.clone())));
        }
    }

    fn merge_members(
        &mut self,
        location: &NodeLocation,
        map: &Map<String, Value>,
        direction: Direction,
    ) {
        let skipped = match direction {
            Direction::Request => "readOnly",
            Direction::Response => "writeOnly",
        };
        let properties = map.get("properties").and_then(Value::as_object);
        let is_sent = |name: &str| {
            properties
                .and_then(|properties| properties.get(name))
                .is_none_or(|member| member[skipped] != Value::Bool(true))
        };
        let required = map.get("required").and_then(Value::as_array);
        for name in required.into_iter().flatten().filter_map(Value::as_str) {
            if is_sent(name) {
                self.required.insert(name.to_string());
            }
        }
        for (name, _) in properties.into_iter().flatten() {
            let member = location.at("properties").at(name);
            self.properties.insert(name.clone(), member);
        }
        match map.get("additionalProperties") {
            Some(Value::Bool(false)) => self.closed = true,
            Some(Value::Object(_)) => self.others = Some(location.at("additionalProperties")),
            _ => {}
        }
    }

    fn merge_items(&mut self, location: &NodeLocation, map: &Map<String, Value>) {
        match map.get("items") {
            Some(Value::Array(_)) => {
                self.first_items
                    .extend(list_locations(location, map, "items"));
            }
            Some(_) => self.items = Some(location.at("items")),
            None => {}
        }
        self.first_items
            .extend(list_locations(location, map, "prefixItems"));
    }
}

/// Returns the locations of a list's items; empty if there is no list.
fn list_locations(
    location: &NodeLocation,
    map: &Map<String, Value>,
    key: &str,
) -> Vec<NodeLocation> {
    let length = map.get(key).and_then(Value::as_array).map_or(0, Vec::len);
    let list = location.at(key);
    (0..length).map(|number| list.item(number)).collect()
}

fn intersect(known: &mut Option<BTreeSet<String>>, more: BTreeSet<String>) {
    *known = Some(match known.take() {
        Some(before) => before.intersection(&more).cloned().collect(),
        None => more,
    });
}

fn is_true(map: &Map<String, Value>, key: &str) -> bool {
    map.get(key) == Some(&Value::Bool(true))
}

fn number(map: &Map<String, Value>, key: &'static str) -> Option<(&'static str, f64)> {
    Some((key, map.get(key)?.as_f64()?))
}

/// Merges a limit and its exclusive form, which OpenAPI 3.0 writes as a boolean beside the limit.
fn merge_limit(
    bounds: &mut BTreeMap<&'static str, f64>,
    map: &Map<String, Value>,
    inclusive: &'static str,
    exclusive: &'static str,
) {
    let name = if is_true(map, exclusive) {
        exclusive
    } else {
        inclusive
    };
    bounds.extend(number(map, inclusive).map(|(_, limit)| (name, limit)));
    bounds.extend(number(map, exclusive));
}
