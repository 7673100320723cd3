//! A description as it is held against traffic.

use crate::fault::{Fault, Faults};
use crate::routing::Router;
use crate::schema::{Dialect, Direction, SchemaRegistry};
use crate::sources::{NodeLocation, Sources};
use crate::{asyncapi, openapi};
use jsonschema::Validator;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

/// The two formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// HTTP interfaces.
    OpenApi,
    /// Messages on channels.
    AsyncApi,
}

/// A place for a value: where its schema stands, and the schema compiled.
#[derive(Clone, Debug, Default)]
pub struct SchemaSlot {
    pub(crate) loc: Option<NodeLocation>,
    pub(crate) validator: Option<Arc<Validator>>,
    /// The types that the schema names, if it does: a parameter's text is read by them.
    pub(crate) types: Vec<String>,
}

/// A media type or a range of them, such as `application/*`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MediaRange {
    pub(crate) kind: String,
    pub(crate) sub: String,
}

impl MediaRange {
    /// Reads one; parameters such as `charset` are left aside.
    pub fn read(text: &str) -> Option<MediaRange> {
        let essence = text.split(';').next()?.trim().to_ascii_lowercase();
        let (kind, sub) = essence.split_once('/')?;
        let token = |t: &str| {
            !t.is_empty()
                && t.bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b"!#$&^_.+-*".contains(&b))
        };
        (token(kind) && token(sub) && (kind != "*" || sub == "*")).then(|| MediaRange {
            kind: kind.into(),
            sub: sub.into(),
        })
    }

    /// How exactly it covers a type; `None`: not at all.
    pub fn covers(&self, other: &MediaRange) -> Option<u8> {
        match (
            self.kind == other.kind,
            self.sub == other.sub,
            self.kind.as_str(),
            self.sub.as_str(),
        ) {
            (true, true, ..) => Some(0),
            (true, _, _, "*") => Some(1),
            (_, _, "*", "*") => Some(2),
            _ => None,
        }
    }

    /// Whether bodies of it are JSON.
    pub fn is_json(&self) -> bool {
        self.sub == "json" || self.sub.ends_with("+json")
    }
}

impl std::fmt::Display for MediaRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind, self.sub)
    }
}

/// A body in one media type.
#[derive(Clone, Debug)]
pub struct Media {
    pub(crate) range: MediaRange,
    pub(crate) slot: SchemaSlot,
}

/// Where a parameter stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ParameterLocation {
    /// In the path.
    Path,
    /// In the query string.
    Query,
    /// In the head.
    Header,
    /// In the `Cookie` header.
    Cookie,
}

impl ParameterLocation {
    pub(crate) fn read(word: &str) -> Option<ParameterLocation> {
        Some(match word {
            "path" => ParameterLocation::Path,
            "query" => ParameterLocation::Query,
            "header" => ParameterLocation::Header,
            "cookie" => ParameterLocation::Cookie,
            _ => return None,
        })
    }

    /// The word of the format.
    pub fn word(self) -> &'static str {
        match self {
            ParameterLocation::Path => "path",
            ParameterLocation::Query => "query",
            ParameterLocation::Header => "header",
            ParameterLocation::Cookie => "cookie",
        }
    }
}

/// A parameter of a request or a header of an answer.
#[derive(Clone, Debug)]
pub struct Parameter {
    pub(crate) name: String,
    pub(crate) within: ParameterLocation,
    pub(crate) required: bool,
    pub(crate) loc: NodeLocation,
    pub(crate) slot: SchemaSlot,
    /// Its value is JSON text.
    pub(crate) json: bool,
    /// It may stand without a value.
    pub(crate) empty: bool,
    /// Items are parted by this; `None`: each item is a pair of its own.
    pub(crate) parted_by: Option<char>,
}

/// Which statuses an answer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// One.
    Exactly(u16),
    /// A hundred, such as `2XX`.
    Range(u16),
    /// All that no other names.
    Default,
}

impl Status {
    pub(crate) fn read(word: &str) -> Option<Status> {
        if word == "default" {
            return Some(Status::Default);
        }
        let digits = word.as_bytes();
        match digits {
            [first @ b'1'..=b'5', b'X', b'X'] => Some(Status::Range(u16::from(first - b'0'))),
            [b'1'..=b'5', b, c] if b.is_ascii_digit() && c.is_ascii_digit() => {
                word.parse().ok().map(Status::Exactly)
            }
            _ => None,
        }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    pub(crate) status: Status,
    pub(crate) loc: NodeLocation,
    pub(crate) headers: Vec<Parameter>,
    pub(crate) content: Vec<Media>,
}

/// What a client may ask.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Its name: the method and the path template.
    pub name: Arc<str>,
    /// The description's own id for it.
    pub id: Option<String>,
    pub(crate) loc: NodeLocation,
    pub(crate) parameters: Vec<Parameter>,
    pub(crate) body_required: bool,
    pub(crate) body: Vec<Media>,
    pub(crate) responses: Vec<Response>,
}

/// A message on a channel.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its name: the channel's and its own.
    pub name: Arc<str>,
    pub(crate) channel: String,
    pub(crate) word: String,
    pub(crate) loc: NodeLocation,
    pub(crate) headers: SchemaSlot,
    pub(crate) payload: SchemaSlot,
    pub(crate) json: bool,
    /// Who sends it, as far as an operation says.
    pub(crate) direction: Direction,
}

/// A description, read and found sound.
#[derive(Clone, Debug)]
pub struct Description {
    /// Its format.
    pub kind: Kind,
    /// The format's version.
    pub version: String,
    /// `info.title` and `info.version`.
    pub title: String,
    /// The operations of an OpenAPI description.
    pub operations: Vec<Operation>,
    /// The messages of an AsyncAPI description.
    pub messages: Vec<Message>,
    /// Tells whether two descriptions say the same in the same files.
    pub fingerprint: u64,
    pub(crate) router: Router,
    pub(crate) secrets: BTreeSet<String>,
    pub(crate) sources: Sources,
}

impl Description {
    /// Reads a description and all files beside it that it refers to.
    pub fn open(path: &Path) -> Result<Description, Faults> {
        Self::read(Sources::open(path))
    }

    /// Reads a description from text.
    pub fn from_text(name: &str, text: &str) -> Result<Description, Faults> {
        Self::read(Sources::text(name, text))
    }

    fn read(sources: Result<Sources, Fault>) -> Result<Description, Faults> {
        let sources = sources.map_err(|fault| Faults {
            list: vec![fault],
            more: 0,
        })?;
        let mut build = DescriptionBuilder::new(sources)?;
        match build.kind {
            Kind::OpenApi => openapi::read(&mut build),
            Kind::AsyncApi => asyncapi::read(&mut build),
        }
        build.finish()
    }

    /// Lets go of the documents' text, which traffic is not held against. Such a description can't be compared.
    pub fn slim(mut self) -> Description {
        self.sources.slim();
        self
    }

    /// The files that it stands in.
    pub fn files(&self) -> impl Iterator<Item = &str> {
        self.sources.files().iter().map(|file| file.name.as_str())
    }

    /// The number of the operation that a request means, without judging it.
    pub fn find_operation(&self, method: &str, target: &str) -> Option<usize> {
        match self
            .router
            .find(method, target.split('?').next().unwrap_or(target))
        {
            crate::routing::RouteMatch::Operation(number, _) => Some(number),
            _ => None,
        }
    }

    /// A place in words.
    pub fn place(&self, loc: &NodeLocation) -> String {
        self.sources.name(loc)
    }

    /// The message of a channel that goes by this name.
    pub fn message(&self, channel: &str, word: &str) -> Option<&Message> {
        self.messages
            .iter()
            .find(|message| message.channel == channel && message.word == word)
    }
}

/// A description while it is read.
pub(crate) struct DescriptionBuilder {
    pub kind: Kind,
    pub version: String,
    pub sources: Sources,
    pub survey: SchemaRegistry,
    pub dialect: Dialect,
    pub operations: Vec<Operation>,
    pub messages: Vec<Message>,
    pub router: Router,
    wanted: BTreeSet<(NodeLocation, Direction)>,
}

/// What is read, for the sentence that refuses all else.
const READ: &str = "OpenAPI 3.0 and 3.1, AsyncAPI 2.6 and 3.0 are read";

impl DescriptionBuilder {
    fn new(mut sources: Sources) -> Result<DescriptionBuilder, Faults> {
        let root = sources.root();
        let version = |sources: &Sources, key: &str| sources.get(&root.at(key)).cloned();
        let words = |value: &Value| {
            value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_string)
        };
        let found = [
            ("openapi", Kind::OpenApi),
            ("asyncapi", Kind::AsyncApi),
            ("swagger", Kind::OpenApi),
        ];
        let found = found
            .into_iter()
            .find_map(|(key, kind)| Some((key, kind, version(&sources, key)?)));
        let (key, kind, value) = match found {
            Some(found) => found,
            None => {
                let cause =
                    format!("neither 'openapi' nor 'asyncapi' names a version here: {READ}");
                sources.fault(&root, cause);
                return Err(sources.faults);
            }
        };
        let text = words(&value);
        let mut numbers = text.split(['.', '-']);
        let minor = (numbers.next().unwrap_or(""), numbers.next().unwrap_or(""));
        let sound = value.is_string()
            && numbers
                .next()
                .is_some_and(|patch| patch.bytes().all(|b| b.is_ascii_digit()));
        let dialect = match (key, minor) {
            ("openapi", ("3", "0")) if sound => Dialect::OpenApi30,
            ("openapi", ("3", "1")) if sound => Dialect::Json2020,
            ("asyncapi", ("2", "6") | ("3", "0")) if sound => Dialect::Json7,
            _ => {
                let name = match key {
                    "openapi" => "OpenAPI",
                    "asyncapi" => "AsyncAPI",
                    _ => "Swagger",
                };
                let known = matches!(
                    (key, minor),
                    ("openapi", ("3", "0" | "1")) | ("asyncapi", ("2", "6") | ("3", "0"))
                );
                let cause = match known {
                    true => format!(
                        "the version must be a string such as \"{}.{}.0\"",
                        minor.0, minor.1
                    ),
                    false => format!("this is {name} {}: {READ}", crate::schema::clip(&text)),
                };
                sources.fault(&root.at(key), cause);
                return Err(sources.faults);
            }
        };
        Ok(DescriptionBuilder {
            kind,
            version: text,
            sources,
            survey: SchemaRegistry::new(dialect),
            dialect,
            operations: Vec::new(),
            messages: Vec::new(),
            router: Router::default(),
            wanted: BTreeSet::new(),
        })
    }

    /// Takes in the schema at a place, for values that go that way.
    pub fn slot(&mut self, loc: &NodeLocation, direction: Direction) -> SchemaSlot {
        self.survey.visit(&mut self.sources, loc);
        self.wanted.insert((loc.clone(), direction));
        SchemaSlot {
            loc: Some(loc.clone()),
            validator: None,
            types: self.types(loc),
        }
    }

    /// The types that a schema names, its references followed.
    fn types(&mut self, loc: &NodeLocation) -> Vec<String> {
        // Faults of the way are noted by the survey.
        let before = self.sources.faults.clone();
        let target = self.sources.resolve(loc);
        self.sources.faults = before;
        let value = target
            .and_then(|loc| self.sources.get(&loc).cloned())
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

    pub fn fault(&mut self, loc: &NodeLocation, cause: impl Into<String>) {
        self.sources.fault(loc, cause);
    }

    /// The object at a place; a fault where there is something else. Nothing there is no fault.
    pub fn object(&mut self, loc: &NodeLocation) -> Option<serde_json::Map<String, Value>> {
        match self.sources.get(loc) {
            Some(Value::Object(map)) => Some(map.clone()),
            Some(_) => {
                self.fault(loc, "this must be an object");
                None
            }
            None => None,
        }
    }

    /// The text at a place; a fault where there is something else. Nothing there is no fault.
    pub fn text(&mut self, loc: &NodeLocation) -> Option<String> {
        match self.sources.get(loc) {
            Some(Value::String(text)) => Some(text.clone()),
            Some(_) => {
                self.fault(loc, "this must be a string");
                None
            }
            None => None,
        }
    }

    /// The flag at a place, false where there is none.
    pub fn flag(&mut self, loc: &NodeLocation) -> bool {
        match self.sources.get(loc) {
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.fault(loc, "this must be true or false");
                false
            }
            None => false,
        }
    }

    /// Notes a fault for each key that is missing.
    pub fn needs(&mut self, loc: &NodeLocation, keys: &[&str]) {
        for key in keys {
            if self.sources.get(&loc.at(key)).is_none() {
                self.fault(loc, format!("'{key}' is missing"));
            }
        }
    }

    /// The body in each media type of a `content` object.
    pub fn content(&mut self, loc: &NodeLocation, direction: Direction) -> Vec<Media> {
        let mut all = Vec::new();
        for key in self.object(loc).unwrap_or_default().keys() {
            let at = loc.at(key);
            let Some(range) = MediaRange::read(key) else {
                self.fault(
                    &at,
                    "this is no media type, such as application/json, nor a range, such as text/*",
                );
                continue;
            };
            self.object(&at);
            let schema = at.at("schema");
            let slot = match self.sources.get(&schema).is_some() {
                true => self.slot(&schema, direction),
                false => SchemaSlot::default(),
            };
            all.push(Media { range, slot });
        }
        all
    }

    fn finish(mut self) -> Result<Description, Faults> {
        self.survey.weigh(&mut self.sources);
        if !self.sources.faults.is_empty() {
            return Err(self.sources.faults);
        }
        let compiled = self.survey.compile(&mut self.sources, &self.wanted);
        if !self.sources.faults.is_empty() {
            return Err(self.sources.faults);
        }
        let fill = |slot: &mut SchemaSlot, direction: Direction| {
            if let Some(loc) = &slot.loc {
                slot.validator = compiled.get(&(loc.clone(), direction)).cloned();
            }
        };
        for operation in &mut self.operations {
            let asked = operation.parameters.iter_mut().map(|p| &mut p.slot);
            asked
                .chain(operation.body.iter_mut().map(|m| &mut m.slot))
                .for_each(|s| fill(s, Direction::Request));
            for response in &mut operation.responses {
                let told = response.headers.iter_mut().map(|p| &mut p.slot);
                told.chain(response.content.iter_mut().map(|m| &mut m.slot))
                    .for_each(|s| fill(s, Direction::Response));
            }
        }
        for message in &mut self.messages {
            fill(&mut message.headers, message.direction);
            fill(&mut message.payload, message.direction);
        }
        let root = self.sources.root();
        let info = self
            .sources
            .get(&root.at("info"))
            .cloned()
            .unwrap_or_default();
        let word = |key: &str| info[key].as_str().unwrap_or("").to_string();
        Ok(Description {
            kind: self.kind,
            version: self.version,
            title: format!("{} {}", word("title"), word("version")),
            operations: self.operations,
            messages: self.messages,
            fingerprint: self.sources.fingerprint(),
            router: self.router,
            secrets: self.survey.secrets,
            sources: self.sources,
        })
    }
}
