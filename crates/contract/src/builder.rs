//! A description while its format's parser reads it: typed access to its nodes, and the faults found so far.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use crate::fault::Faults;
use crate::model::{
    Description, DescriptionFormat, Media, MediaRange, Message, Operation, SchemaRef,
};
use crate::routing::Router;
use crate::schema::{clip, Dialect, Direction, SchemaRegistry};
use crate::sources::{NodeLocation, Sources};
use jsonschema::Validator;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A description while it is read.
pub(crate) struct DescriptionBuilder {
    pub format: DescriptionFormat,
    pub version: String,
    pub sources: Sources,
    pub registry: SchemaRegistry,
    pub dialect: Dialect,
    pub operations: Vec<Operation>,
    pub messages: Vec<Message>,
    pub router: Router,
    wanted: BTreeSet<(NodeLocation, Direction)>,
}

/// The supported versions, for the sentence that rejects all others.
const SUPPORTED_VERSIONS: &str = "OpenAPI 3.0 and 3.1, AsyncAPI 2.6 and 3.0 are read";
/// The keys that name a format's version, the first one found counts.
const VERSION_KEYS: [(&str, DescriptionFormat); 3] = [
    ("openapi", DescriptionFormat::OpenApi),
    ("asyncapi", DescriptionFormat::AsyncApi),
    ("swagger", DescriptionFormat::OpenApi),
];

/// Why a description's version is not supported.
#[derive(Debug, thiserror::Error)]
enum VersionError {
    #[error("neither 'openapi' nor 'asyncapi' names a version here: {SUPPORTED_VERSIONS}")]
    Missing,
    #[error("the version must be a string such as \"{major}.{minor}.0\"")]
    Malformed { major: String, minor: String },
    #[error("this is {format} {version}: {SUPPORTED_VERSIONS}")]
    Unsupported {
        format: &'static str,
        version: String,
    },
}

/// Returns the dialect of a format's version.
fn parse_dialect(key: &str, value: &Value, version: &str) -> Result<Dialect, VersionError> {
    let mut numbers = version.split(['.', '-']);
    let major = numbers.next().unwrap_or("");
    let minor = numbers.next().unwrap_or("");
    let has_patch = numbers
        .next()
        .is_some_and(|patch| patch.bytes().all(|byte| byte.is_ascii_digit()));
    let dialect = match (key, major, minor) {
        ("openapi", "3", "0") => Dialect::OpenApi30,
        ("openapi", "3", "1") => Dialect::Json2020,
        ("asyncapi", "2", "6") | ("asyncapi", "3", "0") => Dialect::Json7,
        _ => {
            let format = match key {
                "openapi" => "OpenAPI",
                "asyncapi" => "AsyncAPI",
                _ => "Swagger",
            };
            let version = clip(version);
            return Err(VersionError::Unsupported { format, version });
        }
    };
    if !value.is_string() || !has_patch {
        return Err(VersionError::Malformed {
            major: major.into(),
            minor: minor.into(),
        });
    }
    Ok(dialect)
}

impl DescriptionBuilder {
    /// Starts with the files of a description, if its version is supported.
    pub(crate) fn new(mut sources: Sources) -> Result<DescriptionBuilder, Faults> {
        let root = sources.root();
        let found = VERSION_KEYS
            .into_iter()
            .find_map(|(key, format)| Some((key, format, sources.get(&root.at(key)).cloned()?)));
        let Some((key, format, value)) = found else {
            sources.fault(&root, VersionError::Missing.to_string());
            return Err(sources.faults);
        };
        let version = match &value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let dialect = match parse_dialect(key, &value, &version) {
            Ok(dialect) => dialect,
            Err(error) => {
                sources.fault(&root.at(key), error.to_string());
                return Err(sources.faults);
            }
        };
        Ok(DescriptionBuilder {
            format,
            version,
            sources,
            registry: SchemaRegistry::new(dialect),
            dialect,
            operations: Vec::new(),
            messages: Vec::new(),
            router: Router::default(),
            wanted: BTreeSet::new(),
        })
    }

    /// Registers the schema at a location for values of a direction.
    pub fn register_schema(&mut self, node: &NodeLocation, direction: Direction) -> SchemaRef {
        self.registry.visit(&mut self.sources, node);
        self.wanted.insert((node.clone(), direction));
        SchemaRef {
            node: Some(node.clone()),
            validator: None,
            types: self.types(node),
        }
    }

    /// The types that a schema names, after following references.
    fn types(&mut self, node: &NodeLocation) -> Vec<String> {
        // The registry reports faults of the references.
        let before = self.sources.faults.clone();
        let target = self.sources.resolve(node);
        self.sources.faults = before;
        let value = target
            .and_then(|node| self.sources.get(&node).cloned())
            .unwrap_or_default();
        match &value["type"] {
            Value::String(one) => vec![one.clone()],
            Value::Array(many) => many
                .iter()
                .filter_map(|v| v.as_str().map(str::to_string))
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Adds a fault at a node.
    pub fn fault(&mut self, node: &NodeLocation, cause: impl Into<String>) {
        self.sources.fault(node, cause);
    }

    /// The object at a location; another value is a fault, an absent one is not.
    pub fn object(&mut self, node: &NodeLocation) -> Option<serde_json::Map<String, Value>> {
        match self.sources.get(node) {
            Some(Value::Object(map)) => Some(map.clone()),
            Some(_) => {
                self.fault(node, "this must be an object");
                None
            }
            None => None,
        }
    }

    /// The string at a location; another value is a fault, an absent one is not.
    pub fn string(&mut self, node: &NodeLocation) -> Option<String> {
        match self.sources.get(node) {
            Some(Value::String(text)) => Some(text.clone()),
            Some(_) => {
                self.fault(node, "this must be a string");
                None
            }
            None => None,
        }
    }

    /// The `operationId` of an operation, if it has one; an id that another operation has is a fault.
    pub(crate) fn operation_id(
        &mut self,
        operation: &NodeLocation,
        ids: &mut BTreeMap<String, NodeLocation>,
    ) -> Option<String> {
        let node = operation.at("operationId");
        let id = self.string(&node)?;
        if let Some(other) = ids.insert(id.clone(), operation.clone()) {
            let other = self.sources.display_location(&other);
            self.fault(
                &node,
                format!("'{id}' is the operation's id at {other}, too"),
            );
        }
        Some(id)
    }

    /// The boolean at a location, false if absent; another value is a fault.
    pub fn boolean(&mut self, node: &NodeLocation) -> bool {
        match self.sources.get(node) {
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.fault(node, "this must be true or false");
                false
            }
            None => false,
        }
    }

    /// Adds a fault for each missing key.
    pub fn require_keys(&mut self, node: &NodeLocation, keys: &[&str]) {
        for key in keys {
            if self.sources.get(&node.at(key)).is_none() {
                self.fault(node, format!("'{key}' is missing"));
            }
        }
    }

    /// The media types of a `content` object with their schemas.
    pub fn content(&mut self, node: &NodeLocation, direction: Direction) -> Vec<Media> {
        let mut all = Vec::new();
        for key in self.object(node).unwrap_or_default().keys() {
            let at = node.at(key);
            let Some(range) = MediaRange::parse(key) else {
                self.fault(
                    &at,
                    "this is no media type, such as application/json, nor a range, such as text/*",
                );
                continue;
            };
            self.object(&at);
            let schema = at.at("schema");
            let slot = match self.sources.get(&schema).is_some() {
                true => self.register_schema(&schema, direction),
                false => SchemaRef::default(),
            };
            all.push(Media {
                range,
                schema: slot,
            });
        }
        all
    }

    /// Compiles the schemas and returns the description, or all faults.
    pub(crate) fn finish(mut self) -> Result<Description, Faults> {
        self.registry.check_visits(&mut self.sources);
        if !self.sources.faults.is_empty() {
            return Err(self.sources.faults);
        }
        let compiled = self.registry.compile(&mut self.sources, &self.wanted);
        if !self.sources.faults.is_empty() {
            return Err(self.sources.faults);
        }
        self.attach_validators(&compiled);
        let root = self.sources.root();
        let info = self
            .sources
            .get(&root.at("info"))
            .cloned()
            .unwrap_or_default();
        let word = |key: &str| info[key].as_str().unwrap_or("").to_string();
        Ok(Description {
            format: self.format,
            version: self.version,
            title: format!("{} {}", word("title"), word("version")),
            operations: self.operations,
            messages: self.messages,
            fingerprint: self.sources.fingerprint(),
            router: self.router,
            secrets: self.registry.secrets,
            sources: self.sources,
        })
    }

    /// Stores each compiled schema in the slots that refer to it.
    fn attach_validators(
        &mut self,
        compiled: &BTreeMap<(NodeLocation, Direction), Arc<Validator>>,
    ) {
        let attach = |slot: &mut SchemaRef, direction: Direction| {
            if let Some(location) = &slot.node {
                slot.validator = compiled.get(&(location.clone(), direction)).cloned();
            }
        };
        for operation in &mut self.operations {
            for parameter in &mut operation.parameters {
                attach(&mut parameter.schema, Direction::Request);
            }
            for media in &mut operation.body {
                attach(&mut media.schema, Direction::Request);
            }
            for response in &mut operation.responses {
                for header in &mut response.headers {
                    attach(&mut header.schema, Direction::Response);
                }
                for media in &mut response.content {
                    attach(&mut media.schema, Direction::Response);
                }
            }
        }
        for message in &mut self.messages {
            attach(&mut message.headers, message.direction);
            attach(&mut message.payload, message.direction);
        }
    }
}
