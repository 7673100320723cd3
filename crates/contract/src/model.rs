//! A description as data: what traffic is checked against.

use crate::routing::Router;
use crate::schema::Direction;
use crate::sources::{NodeLocation, Sources};
use jsonschema::Validator;
use std::collections::BTreeSet;
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

/// The media type that describes a type most exactly.
pub(crate) fn best_media<'m>(content: &'m [Media], range: &MediaRange) -> Option<&'m Media> {
    let covering = content
        .iter()
        .filter_map(|media| Some((media.range.covers(range)?, media)));
    covering
        .min_by_key(|(rank, _)| *rank)
        .map(|(_, media)| media)
}
