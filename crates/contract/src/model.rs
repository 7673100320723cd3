//! The data model of a description, which traffic is checked against.

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
    /// OpenAPI, which describes HTTP interfaces.
    OpenApi,
    /// AsyncAPI, which describes messages on channels.
    AsyncApi,
}

/// A reference to the schema of a value, with its compiled form. Without a node any value is valid.
#[derive(Clone, Debug, Default)]
pub struct SchemaRef {
    pub(crate) node: Option<NodeLocation>,
    pub(crate) validator: Option<Arc<Validator>>,
    /// The types listed in the schema, which decide how a parameter's text is parsed; empty if it lists none.
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

    /// Returns how exactly this range covers a media type: 0 for the same type, 1 for a range of subtypes, 2 for `*/*`;
    /// `None` if the range does not cover the type.
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

    /// Returns whether bodies of this media type are JSON.
    pub fn is_json(&self) -> bool {
        self.subtype == "json" || self.subtype.ends_with("+json")
    }
}

impl std::fmt::Display for MediaRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.type_name, self.subtype)
    }
}

/// A media type of a body, with the body's schema.
#[derive(Clone, Debug)]
pub struct Media {
    pub(crate) range: MediaRange,
    pub(crate) schema: SchemaRef,
}

/// The part of a request that holds a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ParameterLocation {
    /// A variable of the path template.
    Path,
    /// A name-value pair of the query string.
    Query,
    /// A header field.
    Header,
    /// A cookie of the `Cookie` header.
    Cookie,
}

impl ParameterLocation {
    pub(crate) fn parse(text: &str) -> Option<ParameterLocation> {
        Some(match text {
            "path" => ParameterLocation::Path,
            "query" => ParameterLocation::Query,
            "header" => ParameterLocation::Header,
            "cookie" => ParameterLocation::Cookie,
            _ => return None,
        })
    }

    /// Returns the location as OpenAPI's `in` field names it.
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
    /// Whether the parameter's value is JSON text.
    pub(crate) is_json: bool,
    /// Whether the parameter's value may be empty (`allowEmptyValue`).
    pub(crate) allow_empty: bool,
    /// The separator of a list's items; `None` if each item is a name-value pair of its own.
    pub(crate) list_separator: Option<char>,
}

/// The status codes that a described response applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// One status code.
    Exactly(u16),
    /// A range of status codes such as `2XX`, given by its first digit.
    Range(u16),
    /// All status codes that no other response of the operation covers.
    Default,
}

impl Status {
    pub(crate) fn parse(text: &str) -> Option<Status> {
        if text == "default" {
            return Some(Status::Default);
        }
        let digits = text.as_bytes();
        match digits {
            [first @ b'1'..=b'5', b'X', b'X'] => Some(Status::Range(u16::from(first - b'0'))),
            [b'1'..=b'5', b, c] if b.is_ascii_digit() && c.is_ascii_digit() => {
                text.parse().ok().map(Status::Exactly)
            }
            _ => None,
        }
    }
}

/// A response of an operation, as the description has it.
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
    /// The method and the path template, separated by a space.
    pub name: Arc<str>,
    /// The `operationId`; `None` if the description gives none.
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
    /// The names of the channel and of the message, separated by a space, as reports show them.
    pub name: Arc<str>,
    pub(crate) channel: String,
    /// The name of the message on the wire: the value of `x-frame`, or else the message's own name.
    pub(crate) wire_name: String,
    pub(crate) node: NodeLocation,
    pub(crate) headers: SchemaRef,
    pub(crate) payload: SchemaRef,
    pub(crate) is_json: bool,
    /// The direction of the message: towards the described side (`Request`) if no operation refers to the message.
    pub(crate) direction: Direction,
}

/// A description that was read without faults.
#[derive(Clone, Debug)]
pub struct Description {
    /// The format that the description is written in.
    pub format: DescriptionFormat,
    /// The version of the format, such as `3.1.0`.
    pub version: String,
    /// The values of `info.title` and `info.version`, separated by a space.
    pub title: String,
    /// The operations of an OpenAPI description; empty for AsyncAPI.
    pub operations: Vec<Operation>,
    /// The messages of an AsyncAPI description; empty for OpenAPI.
    pub messages: Vec<Message>,
    /// A hash of the files' names and contents, which is equal for equal descriptions.
    pub fingerprint: u64,
    pub(crate) router: Router,
    pub(crate) secrets: BTreeSet<String>,
    pub(crate) sources: Sources,
}

impl Description {
    /// Returns the description without its documents, which are not needed to check traffic. Such a description cannot
    /// be compared with another one.
    pub fn without_documents(mut self) -> Description {
        self.sources.drop_documents();
        self
    }

    /// Returns the names of the files, beginning with the one that was opened.
    pub fn files(&self) -> impl Iterator<Item = &str> {
        self.sources.files().iter().map(|file| file.name.as_str())
    }

    /// Returns the index of the operation that a request selects, without checking the request.
    pub fn find_operation(&self, method: &str, target: &str) -> Option<usize> {
        match self
            .router
            .find(method, target.split('?').next().unwrap_or(target))
        {
            crate::routing::RouteMatch::Operation(index, _) => Some(index),
            _ => None,
        }
    }

    /// Formats the location of a node for reports.
    pub fn display_location(&self, location: &NodeLocation) -> String {
        self.sources.display_location(location)
    }

    /// Returns the message of a channel by its name on the wire.
    pub fn message(&self, channel: &str, wire_name: &str) -> Option<&Message> {
        self.messages
            .iter()
            .find(|message| message.channel == channel && message.wire_name == wire_name)
    }
}

/// Returns the described media type that covers `range` most exactly.
pub(crate) fn best_media<'m>(content: &'m [Media], range: &MediaRange) -> Option<&'m Media> {
    let covering = content
        .iter()
        .filter_map(|media| Some((media.range.match_rank(range)?, media)));
    covering
        .min_by_key(|(rank, _)| *rank)
        .map(|(_, media)| media)
}
