//! A description as data: what traffic is checked against.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use crate::routing::Router;
use crate::schema::Direction;
use crate::sources::{NodeLocation, Sources};
use jsonschema::Validator;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The format of a description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DescriptionFormat {
    /// HTTP interfaces.
    OpenApi,
    /// Messages on channels.
    AsyncApi,
}

/// The schema of a value: its location, and its compiled form. Without a location any value is valid.
#[derive(Clone, Debug, Default)]
pub struct SchemaRef {
    pub(crate) node: Option<NodeLocation>,
    pub(crate) validator: Option<Arc<Validator>>,
    /// The types that the schema names, by which a parameter's text is parsed; empty if it names none.
    pub(crate) types: Vec<String>,
}

/// A media type or a range of them, such as `application/*`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MediaRange {
    pub(crate) type_name: String,
    pub(crate) subtype: String,
}

impl MediaRange {
    /// Parses a media type or range, without its parameters such as `charset`; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<MediaRange> {
        let essence = text.split(';').next()?.trim().to_ascii_lowercase();
        let (type_name, subtype) = essence.split_once('/')?;
        let token = |t: &str| {
            !t.is_empty()
                && t.bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b"!#$&^_.+-*".contains(&b))
        };
        (token(type_name) && token(subtype) && (type_name != "*" || subtype == "*")).then(|| {
            MediaRange {
                type_name: type_name.into(),
                subtype: subtype.into(),
            }
        })
    }

    /// How exactly it covers a type: 0 for the same type, 1 for a range of subtypes, 2 for `*/*`; `None` if it does not.
    pub fn match_rank(&self, other: &MediaRange) -> Option<u8> {
        match (
            self.type_name == other.type_name,
            self.subtype == other.subtype,
            self.type_name.as_str(),
            self.subtype.as_str(),
        ) {
            (true, true, ..) => Some(0),
            (true, _, _, "*") => Some(1),
            (_, _, "*", "*") => Some(2),
            _ => None,
        }
    }

    /// Whether bodies of this type are JSON.
    pub fn is_json(&self) -> bool {
        self.subtype == "json" || self.subtype.ends_with("+json")
    }
}

impl std::fmt::Display for MediaRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.type_name, self.subtype)
    }
}

/// A body in one media type.
#[derive(Clone, Debug)]
pub struct Media {
    pub(crate) range: MediaRange,
    pub(crate) schema: SchemaRef,
}

/// The part of a request that holds a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ParameterLocation {
    /// In the path.
    Path,
    /// In the query string.
    Query,
    /// In a header field.
    Header,
    /// In the `Cookie` header.
    Cookie,
}

impl ParameterLocation {
    pub(crate) fn parse(word: &str) -> Option<ParameterLocation> {
        Some(match word {
            "path" => ParameterLocation::Path,
            "query" => ParameterLocation::Query,
            "header" => ParameterLocation::Header,
            "cookie" => ParameterLocation::Cookie,
            _ => return None,
        })
    }

    /// The value of `in` for it.
    pub fn as_str(self) -> &'static str {
        match self {
            ParameterLocation::Path => "path",
            ParameterLocation::Query => "query",
            ParameterLocation::Header => "header",
            ParameterLocation::Cookie => "cookie",
        }
    }
}

/// A parameter of a request or a header of a response.
#[derive(Clone, Debug)]
pub struct Parameter {
    pub(crate) name: String,
    pub(crate) location: ParameterLocation,
    pub(crate) required: bool,
    pub(crate) node: NodeLocation,
    pub(crate) schema: SchemaRef,
    /// Whether its value is JSON text.
    pub(crate) is_json: bool,
    /// Whether its value may be empty (`allowEmptyValue`).
    pub(crate) allow_empty: bool,
    /// The separator of a list's items; `None`: each item is a pair of its own.
    pub(crate) list_separator: Option<char>,
}

/// The statuses that a described response is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// One status.
    Exactly(u16),
    /// A range such as `2XX`, by its first digit.
    Range(u16),
    /// All statuses that no other response names.
    Default,
}

impl Status {
    pub(crate) fn parse(word: &str) -> Option<Status> {
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

/// A described response.
#[derive(Clone, Debug)]
pub struct Response {
    pub(crate) status: Status,
    pub(crate) node: NodeLocation,
    pub(crate) headers: Vec<Parameter>,
    pub(crate) content: Vec<Media>,
}

/// An operation of an OpenAPI description: a method of a path.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The method and the path template.
    pub name: Arc<str>,
    /// The description's `operationId`.
    pub id: Option<String>,
    pub(crate) node: NodeLocation,
    pub(crate) parameters: Vec<Parameter>,
    pub(crate) body_required: bool,
    pub(crate) body: Vec<Media>,
    pub(crate) responses: Vec<Response>,
}

/// A message on a channel of an AsyncAPI description.
#[derive(Clone, Debug)]
pub struct Message {
    /// The channel's name and its own, as reports show it.
    pub name: Arc<str>,
    pub(crate) channel: String,
    /// The name that it goes by on the wire: its own, or `x-frame`.
    pub(crate) wire_name: String,
    pub(crate) node: NodeLocation,
    pub(crate) headers: SchemaRef,
    pub(crate) payload: SchemaRef,
    pub(crate) is_json: bool,
    /// Who sends it; to the described side where no operation says so.
    pub(crate) direction: Direction,
}

/// A description without faults, as it was read.
#[derive(Clone, Debug)]
pub struct Description {
    /// The format.
    pub format: DescriptionFormat,
    /// The format's version.
    pub version: String,
    /// `info.title` and `info.version`.
    pub title: String,
    /// The operations of an OpenAPI description.
    pub operations: Vec<Operation>,
    /// The messages of an AsyncAPI description.
    pub messages: Vec<Message>,
    /// A hash of the files' names and contents: equal for equal descriptions.
    pub fingerprint: u64,
    pub(crate) router: Router,
    pub(crate) secrets: BTreeSet<String>,
    pub(crate) sources: Sources,
}

impl Description {
    /// Drops the documents, which checking traffic does not need. Such a description can't be compared.
    pub fn without_documents(mut self) -> Description {
        self.sources.drop_documents();
        self
    }

    /// The names of the files, the first one first.
    pub fn files(&self) -> impl Iterator<Item = &str> {
        self.sources.files().iter().map(|file| file.name.as_str())
    }

    /// The index of the operation that a request is for, without checking the request.
    pub fn find_operation(&self, method: &str, target: &str) -> Option<usize> {
        match self
            .router
            .find(method, target.split('?').next().unwrap_or(target))
        {
            crate::routing::RouteMatch::Operation(number, _) => Some(number),
            _ => None,
        }
    }

    /// A location as reports show it.
    pub fn display_location(&self, location: &NodeLocation) -> String {
        self.sources.display_location(location)
    }

    /// The message of a channel by its name on the wire.
    pub fn message(&self, channel: &str, word: &str) -> Option<&Message> {
        self.messages
            .iter()
            .find(|message| message.channel == channel && message.wire_name == word)
    }
}

/// The described media type that covers a type most exactly.
pub(crate) fn best_media<'m>(content: &'m [Media], range: &MediaRange) -> Option<&'m Media> {
    let covering = content
        .iter()
        .filter_map(|media| Some((media.range.match_rank(range)?, media)));
    covering
        .min_by_key(|(rank, _)| *rank)
        .map(|(_, media)| media)
}
