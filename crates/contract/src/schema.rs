//! Schemas: found in a description, surveyed for what would make them useless or costly, brought to one dialect
//! and compiled. OpenAPI 3.1 and 3.0 are compiled as JSON Schema 2020-12 (3.0's dialect is translated), AsyncAPI's
//! superset of JSON Schema as draft 7.

use crate::sources::{NodeLocation, Sources};
use jsonschema::error::ValidationErrorKind;
use jsonschema::{Draft, PatternOptions, Registry, Validator};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The most ways in which one value may be looked at, counted over `allOf`, `anyOf`, `oneOf` and the like with their
/// references: a page of schemas that each name two others twice can ask for more looks than there is time.
pub const MAX_VISITS: u64 = 10_000;
/// The most schemas of a description, subschemas included.
pub const MAX_SCHEMAS: usize = 50_000;
/// The longest regular expression, in bytes, and the most memory that a compiled one takes. Expressions run without
/// backtracking, in time linear in the text.
const MAX_PATTERN: usize = 1_000;
const MAX_PATTERN_MEMORY: usize = 256 * 1024;
/// The most expressions of a description: each costs time to compile, up to some milliseconds.
const MAX_PATTERNS: usize = 1_000;
/// Documents are known to the compiler by their numbers under this address, which nothing is ever fetched from.
const BASE: &str = "cairnroad:///";

/// Which words a schema is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// OpenAPI 3.0's own: `nullable`, boolean `exclusiveMinimum`, references without siblings.
    OpenApi30,
    /// JSON Schema 2020-12, as OpenAPI 3.1 has it.
    Json2020,
    /// JSON Schema draft 7, as AsyncAPI has it.
    Json7,
}

/// Which way a value goes: `readOnly` members are not asked for in a request, `writeOnly` ones not in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From who asks to who answers.
    Request,
    /// Back.
    #[serde(rename = "answer")]
    Response,
}

/// How a subschema is applied.
#[derive(Clone, Copy, PartialEq)]
enum Applied {
    /// To the same value: it adds a look at it.
    Here,
    /// To parts of the value.
    ParameterLocation,
}

/// The keywords whose value is one schema, a list of schemas, or schemas by name.
const ONE: [(&str, Applied); 12] = [
    ("not", Applied::Here),
    ("if", Applied::Here),
    ("then", Applied::Here),
    ("else", Applied::Here),
    ("items", Applied::ParameterLocation),
    ("additionalItems", Applied::ParameterLocation),
    ("contains", Applied::ParameterLocation),
    ("additionalProperties", Applied::ParameterLocation),
    ("unevaluatedItems", Applied::ParameterLocation),
    ("unevaluatedProperties", Applied::ParameterLocation),
    ("propertyNames", Applied::ParameterLocation),
    ("contentSchema", Applied::ParameterLocation),
];
const LIST: [(&str, Applied); 5] = [
    ("allOf", Applied::Here),
    ("anyOf", Applied::Here),
    ("oneOf", Applied::Here),
    ("prefixItems", Applied::ParameterLocation),
    ("items", Applied::ParameterLocation),
];
const NAMED: [(&str, Applied); 6] = [
    ("properties", Applied::ParameterLocation),
    ("patternProperties", Applied::ParameterLocation),
    ("$defs", Applied::ParameterLocation),
    ("definitions", Applied::ParameterLocation),
    ("dependentSchemas", Applied::Here),
    ("dependencies", Applied::Here),
];

/// The subschemas of a schema, by place.
fn children(value: &Value, loc: &NodeLocation) -> Vec<(NodeLocation, Applied)> {
    let Some(map) = value.as_object() else {
        return Vec::new();
    };
    let schema = |value: &Value| value.is_object() || value.is_boolean();
    let mut found = Vec::new();
    for (key, how) in ONE {
        if map.get(key).is_some_and(schema) {
            found.push((loc.at(key), how));
        }
    }
    for (key, how) in LIST {
        for (at, item) in map
            .get(key)
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .enumerate()
        {
            if schema(item) {
                found.push((loc.at(key).item(at), how));
            }
        }
    }
    for (key, how) in NAMED {
        for (name, item) in map
            .get(key)
            .and_then(Value::as_object)
            .into_iter()
            .flatten()
        {
            if schema(item) {
                found.push((loc.at(key).at(name), how));
            }
        }
    }
    found
}

/// All schemas of a description while it is read.
pub struct SchemaRegistry {
    dialect: Dialect,
    /// Every schema met, with the subschemas and references it has.
    met: BTreeMap<NodeLocation, Vec<(NodeLocation, Applied)>>,
    /// Where schemas begin that are no subschema of another.
    roots: BTreeSet<NodeLocation>,
    /// Names of members whose values must not be shown.
    pub secrets: BTreeSet<String>,
    /// Whether any member goes one way only.
    one_way: bool,
    patterns: usize,
    full: bool,
}

impl SchemaRegistry {
    /// None met yet.
    pub fn new(dialect: Dialect) -> SchemaRegistry {
        SchemaRegistry {
            dialect,
            met: BTreeMap::new(),
            roots: BTreeSet::new(),
            secrets: BTreeSet::new(),
            one_way: false,
            patterns: 0,
            full: false,
        }
    }

    /// Takes in the schema at a place with all that it refers to; faults are noted.
    pub fn visit(&mut self, sources: &mut Sources, root: &NodeLocation) {
        if self.met.contains_key(root) {
            return;
        }
        self.roots.insert(root.clone());
        let mut waiting = vec![root.clone()];
        while let Some(loc) = waiting.pop() {
            if self.met.contains_key(&loc) || self.full {
                continue;
            }
            if self.met.len() >= MAX_SCHEMAS {
                self.full = true;
                sources.fault(&loc, format!("there are more than {MAX_SCHEMAS} schemas"));
                return;
            }
            let Some(value) = sources.get(&loc).cloned() else {
                continue;
            };
            let flag = self.dialect != Dialect::OpenApi30
                || loc.pointer.ends_with("/additionalProperties");
            if !(value.is_object() || value.is_boolean() && flag) {
                sources.fault(&loc, "a schema must be an object");
                continue;
            }
            let mut next = Vec::new();
            let alone = self.dialect != Dialect::Json2020;
            match value.get("$ref") {
                Some(Value::String(reference)) => {
                    if let Some(target) = sources.follow(&loc, reference) {
                        if !self.met.contains_key(&target) {
                            self.roots.insert(target.clone());
                        }
                        next.push((target, Applied::Here));
                    }
                    if !alone {
                        next.extend(children(&value, &loc));
                    }
                }
                Some(_) => sources.fault(&loc.at("$ref"), "$ref must be a string"),
                None => next.extend(children(&value, &loc)),
            }
            self.look_over(sources, &loc, &value);
            waiting.extend(next.iter().map(|(loc, _)| loc.clone()));
            self.met.insert(loc, next);
        }
    }

    /// What the compiler would not say, or not with its place.
    fn look_over(&mut self, sources: &mut Sources, loc: &NodeLocation, value: &Value) {
        for word in ["$dynamicRef", "$recursiveRef"] {
            if value.get(word).is_some() {
                sources.fault(&loc.at(word), format!("{word} is not read: use $ref"));
            }
        }
        if let Some(pattern) = value.get("pattern").and_then(Value::as_str) {
            if pattern.len() > MAX_PATTERN {
                let cause = format!(
                    "the expression has {} bytes: {MAX_PATTERN} at most",
                    pattern.len()
                );
                sources.fault(&loc.at("pattern"), cause);
            } else if let Err(e) = regex_syntax::Parser::new().parse(pattern) {
                // The last line says what is wrong, those before it draw where.
                let cause = e
                    .to_string()
                    .lines()
                    .last()
                    .unwrap_or("")
                    .trim_start_matches("error: ")
                    .to_string();
                sources.fault(
                    &loc.at("pattern"),
                    format!("this expression can't be used: {cause}"),
                );
            }
            self.patterns += 1;
            if self.patterns == MAX_PATTERNS + 1 {
                sources.fault(
                    &loc.at("pattern"),
                    format!("there are more than {MAX_PATTERNS} expressions"),
                );
            }
        }
        let kinds = match value.get("type") {
            Some(Value::Array(many)) => many.iter().collect(),
            one => one.into_iter().collect::<Vec<_>>(),
        };
        const KINDS: [&str; 7] = [
            "array", "boolean", "integer", "null", "number", "object", "string",
        ];
        for kind in kinds
            .into_iter()
            .filter(|kind| !kind.as_str().is_some_and(|kind| KINDS.contains(&kind)))
        {
            sources.fault(
                &loc.at("type"),
                format!(
                    "{} is no type: {} are",
                    clip(&kind.to_string()),
                    KINDS.join(", ")
                ),
            );
        }
        if self.dialect == Dialect::OpenApi30 {
            if value.get("type").is_some_and(Value::is_array) {
                sources.fault(
                    &loc.at("type"),
                    "OpenAPI 3.0 has one type, or 'nullable': true beside it",
                );
            }
            for word in ["exclusiveMinimum", "exclusiveMaximum"] {
                if value.get(word).is_some_and(Value::is_number) {
                    sources.fault(
                        &loc.at(word),
                        format!("in OpenAPI 3.0 {word} is true or false"),
                    );
                }
            }
        }
        self.one_way |= ["readOnly", "writeOnly"]
            .iter()
            .any(|word| value[*word] == json!(true));
        for (name, member) in value
            .get("properties")
            .and_then(Value::as_object)
            .into_iter()
            .flatten()
        {
            if member["writeOnly"] == json!(true) || member["format"] == json!("password") {
                self.secrets.insert(name.clone());
            }
        }
    }

    /// Looks for schemas that apply themselves to the value they are applied to, and for those that look at one
    /// value too often. Call it once all are met.
    pub fn weigh(&self, sources: &mut Sources) {
        type Step<'s> = (
            &'s NodeLocation,
            std::slice::Iter<'s, (NodeLocation, Applied)>,
            u64,
        );
        #[derive(Clone, Copy)]
        enum Mark {
            Open,
            Done(u64),
        }
        let mut marks: BTreeMap<&NodeLocation, Mark> = BTreeMap::new();
        for start in self.met.keys() {
            // Each step: a schema, its subschemas left to weigh, and the looks so far.
            let mut way: Vec<Step> = Vec::new();
            if !marks.contains_key(start) {
                marks.insert(start, Mark::Open);
                way.push((start, self.met[start].iter(), 1));
            }
            while let Some((loc, left, looks)) = way.last_mut() {
                let here = left.find(|(_, how)| *how == Applied::Here);
                match here.and_then(|(child, _)| self.met.get_key_value(child)) {
                    None if here.is_some() => {}
                    None => {
                        let (loc, looks) = (*loc, *looks);
                        marks.insert(loc, Mark::Done(looks));
                        way.pop();
                        if let Some((_, _, sum)) = way.last_mut() {
                            *sum = sum.saturating_add(looks);
                        }
                    }
                    Some((child, next)) => match marks.get(child) {
                        Some(Mark::Done(more)) => *looks = looks.saturating_add(*more),
                        Some(Mark::Open) => {
                            let loc = (*loc).clone();
                            let cause = format!(
                                "this schema only leads to itself, by {}",
                                sources.name(child)
                            );
                            sources.fault(&loc, cause);
                        }
                        None => {
                            marks.insert(child, Mark::Open);
                            way.push((child, next.iter(), 1));
                        }
                    },
                }
            }
        }
        let looks = |loc: &NodeLocation| match marks.get(loc) {
            Some(Mark::Done(looks)) => *looks,
            _ => 0,
        };
        for (loc, next) in &self.met {
            let within = next
                .iter()
                .filter(|(_, how)| *how == Applied::Here)
                .map(|(loc, _)| looks(loc))
                .max();
            // Told where it begins, not at all that lie around it.
            if looks(loc) > MAX_VISITS && within.unwrap_or(0) <= MAX_VISITS {
                let cause = format!(
                    "one value would be looked at {} times: {MAX_VISITS} at most",
                    looks(loc)
                );
                sources.fault(loc, cause);
            }
        }
    }

    /// Compiles the schemas that are wanted, each for its direction. Faults are noted.
    pub fn compile(
        &self,
        sources: &mut Sources,
        wanted: &BTreeSet<(NodeLocation, Direction)>,
    ) -> BTreeMap<(NodeLocation, Direction), Arc<Validator>> {
        let mut compiled = BTreeMap::new();
        let draft = match self.dialect {
            Dialect::Json7 => Draft::Draft7,
            _ => Draft::Draft202012,
        };
        let mut bundles: BTreeMap<Direction, Vec<Value>> = BTreeMap::new();
        for direction in [Direction::Request, Direction::Response] {
            bundles.insert(direction, self.bundle(sources, direction));
        }
        for root in &self.roots {
            let Some(schema) = bundles[&Direction::Request][root.file].pointer(&root.pointer)
            else {
                continue;
            };
            let checked = match draft {
                Draft::Draft7 => jsonschema::draft7::meta::validate(schema),
                _ => jsonschema::draft202012::meta::validate(schema),
            };
            if let Err(e) = checked {
                if sources
                    .faults
                    .list
                    .iter()
                    .any(|fault| fault.pointer.starts_with(&root.pointer))
                {
                    continue; // told before, in plainer words
                }
                let at = NodeLocation {
                    file: root.file,
                    pointer: format!("{}{}", root.pointer, e.instance_path()),
                };
                sources.fault(&at, format!("this is no schema: {}", clip(&e.to_string())));
            }
        }
        if !sources.faults.is_empty() {
            return compiled;
        }
        for (direction, files) in &bundles {
            let mut registry = Registry::new().draft(draft);
            for (number, file) in files.iter().enumerate() {
                // The address is this module's own form: it can be parsed.
                let Ok(with) = registry.add(
                    format!("{BASE}{number}"),
                    draft.create_resource(file.clone()),
                ) else {
                    return compiled;
                };
                registry = with;
            }
            let registry = match registry.prepare() {
                Ok(registry) => registry,
                Err(e) => {
                    sources.fault(
                        &sources.root(),
                        format!("the schemas can't be compiled: {e}"),
                    );
                    return compiled;
                }
            };
            for (loc, _) in wanted.iter().filter(|(_, wanted)| wanted == direction) {
                let schema = json!({"$ref": address(loc)});
                let patterns = PatternOptions::regex()
                    .size_limit(MAX_PATTERN_MEMORY)
                    .dfa_size_limit(MAX_PATTERN_MEMORY);
                let validator = jsonschema::options()
                    .with_draft(draft)
                    .with_base_uri(format!("{BASE}start"))
                    .with_registry(&registry)
                    .with_pattern_options(patterns)
                    .should_validate_formats(true)
                    .should_ignore_unknown_formats(true)
                    .build(&schema);
                match validator {
                    Ok(validator) => {
                        compiled.insert((loc.clone(), *direction), Arc::new(validator));
                    }
                    Err(e) => {
                        // The compiler names a faulty expression, but not its place.
                        let pattern = e.instance().as_ref();
                        let holds =
                            |at: &&NodeLocation| sources.get(&at.at("pattern")) == Some(pattern);
                        let regex = matches!(e.kind(), ValidationErrorKind::Format { format } if format == "regex");
                        match self.met.keys().find(holds).cloned().filter(|_| regex) {
                            Some(at) => {
                                let most = MAX_PATTERN_MEMORY;
                                let cause =
                                    format!("this expression takes more than {most} bytes, or can't be used");
                                sources.fault(&at.at("pattern"), cause);
                            }
                            None => {
                                let cause = format!(
                                    "this schema can't be compiled: {}",
                                    clip(&e.to_string())
                                );
                                sources.fault(loc, cause);
                            }
                        }
                    }
                }
            }
        }
        compiled
    }

    /// The files with their schemas in the compiler's dialect, references written out as addresses.
    fn bundle(&self, sources: &Sources, direction: Direction) -> Vec<Value> {
        let mut files: Vec<Value> = sources
            .files()
            .iter()
            .map(|file| file.value.clone())
            .collect();
        for (loc, next) in &self.met {
            let Some(schema) = files[loc.file]
                .pointer_mut(&loc.pointer)
                .and_then(Value::as_object_mut)
            else {
                continue;
            };
            for word in ["$id", "$schema", "$anchor", "$dynamicAnchor"] {
                schema.remove(word);
            }
            if schema.contains_key("$ref") {
                if self.dialect != Dialect::Json2020 {
                    schema.clear();
                }
                if let Some((target, _)) = next.first() {
                    schema.insert("$ref".into(), json!(address(target)));
                }
            }
            if self.dialect == Dialect::OpenApi30 {
                translate(schema);
            }
            if self.one_way {
                let skipped = match direction {
                    Direction::Request => "readOnly",
                    Direction::Response => "writeOnly",
                };
                let properties = sources
                    .get(&loc.at("properties"))
                    .cloned()
                    .unwrap_or_default();
                if let Some(required) = schema.get_mut("required").and_then(Value::as_array_mut) {
                    let goes = |name: &Value| {
                        let member = &properties[name.as_str().unwrap_or("")];
                        let target = self
                            .met
                            .get(&loc.at("properties").at(name.as_str().unwrap_or("")));
                        let target = target.and_then(|next| sources.get(&next.first()?.0));
                        let marked = |value: &Value| value[skipped] == json!(true);
                        !(marked(member)
                            || member.get("$ref").is_some() && target.is_some_and(marked))
                    };
                    required.retain(goes);
                }
            }
        }
        files
    }
}

/// OpenAPI 3.0's words in those of JSON Schema 2020-12, in place.
fn translate(schema: &mut serde_json::Map<String, Value>) {
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

fn address(loc: &NodeLocation) -> String {
    let mut out = format!("{BASE}{}#", loc.file);
    for byte in loc.pointer.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'.' | b'_' | b'~' => {
                out.push(byte as char)
            }
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

/// The place that an address of the compiler's means: the file's number and the pointer.
pub fn place_of(address: &str) -> Option<NodeLocation> {
    let (file, pointer) = address.strip_prefix(BASE)?.split_once('#')?;
    Some(NodeLocation {
        file: file.parse().ok()?,
        pointer: crate::sources::decode(pointer)?,
    })
}

/// A text cut to what a line of a report can hold.
pub fn clip(text: &str) -> String {
    const MOST: usize = 80;
    match text.char_indices().nth(MOST) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text.into(),
    }
}
