//! Builds a description while the parser of its format reads the files: typed access to nodes, and the faults found so
//! far.

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

/// The state of reading a description.
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

/// The supported versions, as error messages list them.
const SUPPORTED_VERSIONS: &str = "supported are OpenAPI 3.0 and 3.1, AsyncAPI 2.6 and 3.0";
/// The keys that hold the version of a format. The first key found decides the format.
const VERSION_KEYS: [(&str, DescriptionFormat); 3] = [
    ("openapi", DescriptionFormat::OpenApi),
    ("asyncapi", DescriptionFormat::AsyncApi),
    ("swagger", DescriptionFormat::OpenApi),
];

/// The error of a description whose version is not supported.
#[derive(Debug, thiserror::Error)]
enum VersionError {
    #[error("missing version: expected 'openapi' or 'asyncapi': {SUPPORTED_VERSIONS}")]
    Missing,
    #[error("expected a version string such as \"{major}.{minor}.0\"")]
    Malformed { major: String, minor: String },
    #[error("unsupported version {format} {version}: {SUPPORTED_VERSIONS}")]
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
    /// Creates a builder for a description whose version is supported.
    ///
    /// # Errors
    /// The faults of a missing, malformed or unsupported version.
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

    /// Returns the types listed in a schema, after following references.
    fn types(&mut self, node: &NodeLocation) -> Vec<String> {
        // Faults of references are dropped here, since the registry reports them.
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

    /// Returns the object at a node; `None` if the node is absent. Any other value is reported as a fault.
    pub fn object(&mut self, node: &NodeLocation) -> Option<serde_json::Map<String, Value>> {
        match self.sources.get(node) {
            Some(Value::Object(map)) => Some(map.clone()),
            Some(_) => {
                self.fault(node, "expected an object");
                None
            }
            None => None,
        }
    }

    /// Returns the string at a node; `None` if the node is absent. Any other value is reported as a fault.
    pub fn string(&mut self, node: &NodeLocation) -> Option<String> {
        match self.sources.get(node) {
            Some(Value::String(text)) => Some(text.clone()),
            Some(_) => {
                self.fault(node, "expected a string");
                None
            }
            None => None,
        }
    }

    /// Returns the `operationId` of an operation; `None` if it is absent. An id that another operation uses is reported
    /// as a fault.
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
                format!("duplicate operationId '{id}': also used at {other}"),
            );
        }
        Some(id)
    }

    /// Returns the boolean at a node; false if the node is absent. Any other value is reported as a fault.
    pub fn boolean(&mut self, node: &NodeLocation) -> bool {
        match self.sources.get(node) {
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.fault(node, "expected true or false");
                false
            }
            None => false,
        }
    }

    /// Adds a fault for each of the keys that is missing.
    pub fn require_keys(&mut self, node: &NodeLocation, keys: &[&str]) {
        for key in keys {
            if self.sources.get(&node.at(key)).is_none() {
                self.fault(node, format!("'{key}' is missing"));
            }
        }
    }

    /// Returns the media types of a `content` object with their schemas.
    pub fn content(&mut self, node: &NodeLocation, direction: Direction) -> Vec<Media> {
        let mut all = Vec::new();
        for key in self.object(node).unwrap_or_default().keys() {
            let at = node.at(key);
            let Some(range) = MediaRange::parse(key) else {
                self.fault(
                    &at,
                    "invalid media type: expected a type such as application/json or a range such as text/*",
                );
                continue;
            };
            self.object(&at);
            let schema = at.at("schema");
            let schema_ref = match self.sources.get(&schema).is_some() {
                true => self.register_schema(&schema, direction),
                false => SchemaRef::default(),
            };
            all.push(Media {
                range,
                schema: schema_ref,
            });
        }
        all
    }

    /// Compiles the schemas and returns the description.
    ///
    /// # Errors
    /// All faults found while reading and compiling.
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
        let info_text = |key: &str| info[key].as_str().unwrap_or("").to_string();
        Ok(Description {
            format: self.format,
            version: self.version,
            title: format!("{} {}", info_text("title"), info_text("version")),
            operations: self.operations,
            messages: self.messages,
            fingerprint: self.sources.fingerprint(),
            router: self.router,
            secrets: self.registry.secrets,
            sources: self.sources,
        })
    }

    /// Stores each compiled schema in the references to it.
    fn attach_validators(
        &mut self,
        compiled: &BTreeMap<(NodeLocation, Direction), Arc<Validator>>,
    ) {
        let attach = |schema: &mut SchemaRef, direction: Direction| {
            if let Some(location) = &schema.node {
                schema.validator = compiled.get(&(location.clone(), direction)).cloned();
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
