//! Traffic held against a description: what departs from it, where, and from what.

use crate::model::{
    best_media, Description, Media, MediaRange, Operation, Parameter, ParameterLocation, Response,
    SchemaSlot, Status,
};
use crate::routing::RouteMatch;
use crate::schema::{clip, place_of, Direction};
use crate::sources::{decode, NodeLocation};
use jsonschema::error::{TypeKind, ValidationErrorKind as Bad};
use jsonschema::ValidationError;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The most departures of one message that are told: a list of ten thousand wrong numbers is one fault, not many.
pub const MAX_VIOLATIONS: usize = 16;
/// The most query parameters that are looked at.
const MAX_QUERY_PARAMETERS: usize = 256;

/// How a message departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ViolationKind {
    /// A value is of another type.
    Type,
    /// Something that must be there is not.
    Missing,
    /// A member is there that must not be.
    Additional,
    /// A value is none of those that are listed.
    Enum,
    /// A value, a length or a count is out of its bounds.
    Bounds,
    /// A text does not match its expression.
    Pattern,
    /// A text is not in its format.
    Format,
    /// A value fits none, or too many, of several forms.
    Alternatives,
    /// The body is of a media type that is not described.
    MediaType,
    /// The status is not described.
    Status,
    /// The message ended before it was whole.
    Truncated,
    /// The body is no JSON.
    NotJson,
    /// Text is badly encoded.
    Encoding,
    /// No operation or message of this kind is described.
    Unknown,
    /// Anything else that a schema asks.
    Other,
}

/// One departure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// How it departs.
    pub kind: ViolationKind,
    /// Where in the message: `body /hits/0/doc`, `header X-Class`, `query size`, `status`.
    pub place: String,
    /// Where in the description.
    pub described: String,
    /// What the description asks for.
    pub expected: String,
    /// What was there, cut short; never the value of a member that is marked as secret.
    pub found: String,
}

/// What was found of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct Conformance<'d> {
    /// The operation's or message's name, if one is described.
    pub operation: Option<&'d Arc<str>>,
    /// The operation's number, for the answer to come.
    pub number: Option<usize>,
    /// What departs; empty where nothing does.
    pub violations: Vec<Violation>,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct ObservedRequest<'m> {
    /// The method, in capitals.
    pub method: &'m str,
    /// Path and query string as they came.
    pub target: &'m str,
    /// The head's fields.
    pub fields: &'m [(String, String)],
    /// The body.
    pub body: &'m [u8],
}

/// An answer.
#[derive(Clone, Copy, Debug)]
pub struct ObservedResponse<'m> {
    /// The status.
    pub status: u16,
    /// The head's fields.
    pub fields: &'m [(String, String)],
    /// The body.
    pub body: &'m [u8],
    /// Whether all of it came.
    pub complete: bool,
}

fn field<'m>(fields: &'m [(String, String)], name: &str) -> Option<&'m str> {
    fields
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// What is shown where a value must not be.
const REDACTED: &str = "(left out)";

/// The departures of one message while it is looked at.
struct Report<'d> {
    description: &'d Description,
    all: Vec<Violation>,
}

impl Description {
    /// Holds a request against the description.
    pub fn check_request(&self, asked: &ObservedRequest) -> Conformance<'_> {
        let mut report = Report {
            description: self,
            all: Vec::new(),
        };
        let (path, query) = asked.target.split_once('?').unwrap_or((asked.target, ""));
        let (number, values) = match self.router.find(asked.method, path) {
            RouteMatch::Operation(number, values) => (number, values),
            RouteMatch::OtherMethods(methods) => {
                report.add(
                    ViolationKind::Unknown,
                    "method",
                    None,
                    &methods.join(" or "),
                    asked.method,
                );
                return Conformance {
                    operation: None,
                    number: None,
                    violations: report.all,
                };
            }
            RouteMatch::Nothing => {
                report.add(
                    ViolationKind::Unknown,
                    "path",
                    None,
                    "a path that is described",
                    &clip(path),
                );
                return Conformance {
                    operation: None,
                    number: None,
                    violations: report.all,
                };
            }
        };
        let operation = &self.operations[number];
        for parameter in &operation.parameters {
            let found: Vec<Option<String>> = match parameter.within {
                ParameterLocation::Path => {
                    let named = values.iter().filter(|(name, _)| *name == parameter.name);
                    named.map(|(_, value)| decode(value)).collect()
                }
                ParameterLocation::Query => pairs(query)
                    .filter(|(name, _)| name.as_deref() == Some(&parameter.name))
                    .map(|(_, value)| value)
                    .collect(),
                ParameterLocation::Header => field(asked.fields, &parameter.name)
                    .map(|v| Some(v.into()))
                    .into_iter()
                    .collect(),
                ParameterLocation::Cookie => {
                    let cookies = field(asked.fields, "Cookie").unwrap_or("").split(';');
                    let named = cookies
                        .filter_map(|c| c.trim().split_once('='))
                        .filter(|(n, _)| *n == parameter.name);
                    named.map(|(_, value)| decode(value)).collect()
                }
            };
            report.parameter(parameter, found);
        }
        let kind = field(asked.fields, "Content-Type");
        if asked.body.is_empty() {
            if operation.body_required {
                let loc = operation.loc.at("requestBody");
                report.add(
                    ViolationKind::Missing,
                    "body",
                    Some(&loc),
                    "a body",
                    "nothing",
                );
            }
        } else if !operation.body.is_empty() {
            // Many clients leave the type out where there is only one.
            let only = match (kind, operation.body.as_slice()) {
                (None, [only]) => Some(only.range.to_string()),
                _ => None,
            };
            let kind = kind.or(only.as_deref());
            report.body(
                &operation.body,
                &operation.loc.at("requestBody"),
                kind,
                asked.body,
            );
        }
        Conformance {
            operation: Some(&operation.name),
            number: Some(number),
            violations: report.all,
        }
    }

    /// Holds an answer against the description of the operation of this number.
    pub fn check_response(&self, number: usize, answered: &ObservedResponse) -> Conformance<'_> {
        let mut report = Report {
            description: self,
            all: Vec::new(),
        };
        let Some(operation) = self.operations.get(number) else {
            return Conformance {
                operation: None,
                number: None,
                violations: Vec::new(),
            };
        };
        let judged = |all| Conformance {
            operation: Some(&operation.name),
            number: Some(number),
            violations: all,
        };
        if !answered.complete {
            let bytes = format!("{} bytes, then the end", answered.body.len());
            report.add(
                ViolationKind::Truncated,
                "body",
                Some(&operation.loc),
                "a whole answer",
                &bytes,
            );
            return judged(report.all);
        }
        let Some(response) = response(operation, answered.status) else {
            let words = operation.responses.iter().map(|r| match r.status {
                Status::Exactly(status) => status.to_string(),
                Status::Range(first) => format!("{first}XX"),
                Status::Default => "default".into(),
            });
            let words = words.collect::<Vec<_>>().join(", ");
            let loc = operation.loc.at("responses");
            report.add(
                ViolationKind::Status,
                "status",
                Some(&loc),
                &clip(&words),
                &answered.status.to_string(),
            );
            return judged(report.all);
        };
        for header in &response.headers {
            let found = field(answered.fields, &header.name).map(|v| Some(v.to_string()));
            report.parameter(header, found.into_iter().collect());
        }
        let bodiless =
            answered.status == 204 || answered.status == 304 || operation.name.starts_with("HEAD ");
        let kind = field(answered.fields, "Content-Type");
        if !answered.body.is_empty() && !response.content.is_empty() {
            report.body(&response.content, &response.loc, kind, answered.body);
        } else if answered.body.is_empty()
            && !bodiless
            && response.content.iter().any(|m| m.slot.loc.is_some())
        {
            report.add(
                ViolationKind::Missing,
                "body",
                Some(&response.loc),
                "a body",
                "nothing",
            );
        }
        judged(report.all)
    }

    /// Holds a message of a channel against the description: its head's fields, and its payload's bytes.
    pub fn check_message(
        &self,
        channel: &str,
        word: &str,
        headers: &Value,
        payload: &[u8],
    ) -> Conformance<'_> {
        let mut report = Report {
            description: self,
            all: Vec::new(),
        };
        let Some(message) = self.message(channel, word) else {
            let known = self
                .messages
                .iter()
                .filter(|m| m.channel == channel)
                .map(|m| m.word.as_str());
            let known = known.collect::<Vec<_>>().join(", ");
            report.add(
                ViolationKind::Unknown,
                "message",
                None,
                &format!("one of: {}", clip(&known)),
                &clip(word),
            );
            return Conformance {
                operation: None,
                number: None,
                violations: report.all,
            };
        };
        report.value(&message.headers, "head", headers);
        if message.payload.loc.is_some() {
            match message.json {
                true => report.json(&message.payload, &message.loc, payload),
                false => report.text(&message.payload, &message.loc, payload),
            }
        }
        Conformance {
            operation: Some(&message.name),
            number: None,
            violations: report.all,
        }
    }

    /// Which way a message of a channel goes.
    pub fn direction(&self, channel: &str, word: &str) -> Direction {
        self.message(channel, word)
            .map_or(Direction::Request, |message| message.direction)
    }
}

/// The answer that describes a status best.
fn response(operation: &Operation, status: u16) -> Option<&Response> {
    let fits = |response: &&Response| match response.status {
        Status::Exactly(exactly) => exactly == status,
        Status::Range(first) => first == status / 100,
        Status::Default => true,
    };
    operation
        .responses
        .iter()
        .filter(fits)
        .min_by_key(|response| response.status)
}

/// A query string's names and values; `None` where the encoding is broken.
fn pairs(query: &str) -> impl Iterator<Item = (Option<String>, Option<String>)> + '_ {
    let word = |text: &str| decode(&text.replace('+', " "));
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .take(MAX_QUERY_PARAMETERS)
        .map(move |pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (word(name), word(value))
        })
}

impl Report<'_> {
    fn add(
        &mut self,
        kind: ViolationKind,
        place: &str,
        loc: Option<&NodeLocation>,
        expected: &str,
        found: &str,
    ) {
        if self.all.len() < MAX_VIOLATIONS {
            self.all.push(Violation {
                kind,
                place: place.into(),
                described: loc
                    .map(|loc| self.description.place(loc))
                    .unwrap_or_default(),
                expected: expected.into(),
                found: found.into(),
            });
        }
    }

    fn body(&mut self, content: &[Media], loc: &NodeLocation, kind: Option<&str>, body: &[u8]) {
        let range = kind.and_then(MediaRange::read);
        let media = range.as_ref().and_then(|range| best_media(content, range));
        let (Some(range), Some(media)) = (range, media) else {
            let words = content
                .iter()
                .map(|media| media.range.to_string())
                .collect::<Vec<_>>()
                .join(", ");
            let found = kind.map_or("no Content-Type".into(), clip);
            return self.add(
                ViolationKind::MediaType,
                "header Content-Type",
                Some(loc),
                &clip(&words),
                &found,
            );
        };
        if media.slot.loc.is_none() {
        } else if range.is_json() {
            self.json(&media.slot, loc, body);
        } else if range.kind == "text" || media.slot.types.iter().any(|kind| kind == "string") {
            self.text(&media.slot, loc, body);
        }
    }

    fn json(&mut self, slot: &SchemaSlot, loc: &NodeLocation, body: &[u8]) {
        match serde_json::from_slice::<Value>(body) {
            Ok(value) => self.value(slot, "body", &value),
            Err(e) => {
                // The text around the fault may hold what must not be shown; its place says enough.
                let found = format!(
                    "{} bytes with a fault at line {}, column {}",
                    body.len(),
                    e.line(),
                    e.column()
                );
                let kind = if e.is_eof() {
                    ViolationKind::Truncated
                } else {
                    ViolationKind::NotJson
                };
                self.add(
                    kind,
                    "body",
                    slot.loc.as_ref().or(Some(loc)),
                    "JSON",
                    &found,
                );
            }
        }
    }

    fn text(&mut self, slot: &SchemaSlot, loc: &NodeLocation, body: &[u8]) {
        match std::str::from_utf8(body) {
            Ok(text) => self.value(slot, "body", &Value::String(text.into())),
            Err(e) => {
                let found = format!("a byte at {} that is none", e.valid_up_to());
                self.add(
                    ViolationKind::Encoding,
                    "body",
                    slot.loc.as_ref().or(Some(loc)),
                    "UTF-8 text",
                    &found,
                );
            }
        }
    }

    /// A parameter or header, by all the texts that came for it.
    fn parameter(&mut self, parameter: &Parameter, found: Vec<Option<String>>) {
        let place = format!("{} {}", parameter.within.word(), parameter.name);
        if found.is_empty() {
            if parameter.required {
                self.add(
                    ViolationKind::Missing,
                    &place,
                    Some(&parameter.loc),
                    "this to be given",
                    "nothing",
                );
            }
            return;
        }
        let Some(texts) = found.into_iter().collect::<Option<Vec<String>>>() else {
            return self.add(
                ViolationKind::Encoding,
                &place,
                Some(&parameter.loc),
                "percent-encoded UTF-8",
                "broken codes",
            );
        };
        if parameter.empty && texts.iter().all(String::is_empty) {
            return;
        }
        let Some(validator) = &parameter.slot.validator else {
            return;
        };
        let read = candidates(parameter, &texts);
        // A text may stand for several values; it departs if it does as all of them.
        if !read.iter().any(|value| validator.is_valid(value)) {
            if let Some(first) = read.first() {
                self.value(&parameter.slot, &place, first);
            }
        }
    }

    fn value(&mut self, slot: &SchemaSlot, place: &str, value: &Value) {
        let Some(validator) = &slot.validator else {
            return;
        };
        if validator.is_valid(value) {
            return;
        }
        for error in validator.iter_errors(value).take(MAX_VIOLATIONS) {
            self.error(place, &error);
        }
    }

    fn error(&mut self, place: &str, error: &ValidationError) {
        let (kind, expected) = wanted(error.kind());
        let pointer = error.instance_path().as_str();
        let address = error
            .absolute_keyword_location()
            .and_then(|uri| place_of(uri.as_str()));
        let secrets = &self.description.secrets;
        let hidden = |pointer: &str| pointer.split('/').any(|key| secrets.contains(&plain(key)));
        let at = |key: &str| crate::document::step(pointer, key);
        let full = |pointer: &str| {
            if pointer.is_empty() {
                place.into()
            } else {
                format!("{place} {pointer}")
            }
        };
        let shown = |pointer: &str, value: &Value| match hidden(pointer) {
            true => REDACTED.to_string(),
            false => clip(&show(value, secrets)),
        };
        let instance = error.instance();
        let found: Vec<(String, String)> = match error.kind() {
            Bad::Required { property } => {
                vec![(full(&at(property.as_str().unwrap_or(""))), "nothing".into())]
            }
            Bad::AdditionalProperties { unexpected }
            | Bad::UnevaluatedProperties { unexpected } => {
                let one = |name: &String| {
                    let value = instance.get(name).unwrap_or(&Value::Null);
                    (full(&at(name)), shown(&at(name), value))
                };
                unexpected.iter().map(one).collect()
            }
            _ => vec![(full(pointer), shown(pointer, instance))],
        };
        for (place, found) in found {
            self.add(kind, &place, address.as_ref(), &expected, &found);
        }
    }
}

/// A pointer's step as the key that it means.
fn plain(step: &str) -> String {
    step.replace("~1", "/").replace("~0", "~")
}

/// A value as text, secret members left out.
fn show(value: &Value, secrets: &BTreeSet<String>) -> String {
    fn blank(value: &mut Value, secrets: &BTreeSet<String>) {
        match value {
            Value::Object(map) => {
                for (key, value) in map {
                    match secrets.contains(key) {
                        true => *value = Value::String(REDACTED.into()),
                        false => blank(value, secrets),
                    }
                }
            }
            Value::Array(items) => items.iter_mut().for_each(|item| blank(item, secrets)),
            _ => {}
        }
    }
    // Only the beginning of it will be shown: a long list need not be written out.
    match value {
        Value::Array(items) if items.len() > 40 => format!("a list of {} values", items.len()),
        Value::Object(_) | Value::Array(_) if !secrets.is_empty() => {
            let mut value = value.clone();
            blank(&mut value, secrets);
            value.to_string()
        }
        other => other.to_string(),
    }
}

/// The values that a parameter's texts may stand for, the likeliest first.
fn candidates(parameter: &Parameter, texts: &[String]) -> Vec<Value> {
    let types = &parameter.slot.types;
    if parameter.json {
        let parsed = texts
            .first()
            .and_then(|text| serde_json::from_str(text).ok());
        return vec![parsed.unwrap_or_else(|| Value::String(texts.concat()))];
    }
    let typed = |text: &String| match serde_json::from_str::<Value>(text) {
        Ok(value @ (Value::Number(_) | Value::Bool(_))) => value,
        _ => Value::String(text.clone()),
    };
    if types.iter().any(|kind| kind == "array") {
        let split: Vec<String> = match parameter.parted_by {
            Some(by) => texts
                .iter()
                .flat_map(|text| text.split(by))
                .map(str::to_string)
                .collect(),
            None => texts.to_vec(),
        };
        let plain = split
            .iter()
            .map(|text| Value::String(text.clone()))
            .collect();
        return vec![
            Value::Array(split.iter().map(typed).collect()),
            Value::Array(plain),
        ];
    }
    if types.iter().any(|kind| kind == "object") {
        // Members as pairs of items: `a,1,b,2`.
        let words: Vec<&str> = texts.iter().flat_map(|text| text.split(',')).collect();
        let pairs = words.chunks(2).map(|pair| {
            (
                pair[0].to_string(),
                typed(&pair.get(1).unwrap_or(&"").to_string()),
            )
        });
        return vec![Value::Object(pairs.collect())];
    }
    let Some(text) = texts.first() else {
        return Vec::new();
    };
    let (read, plain) = (typed(text), Value::String(text.clone()));
    match types.iter().any(|kind| kind == "string") || read == plain {
        true => vec![plain, read],
        false => vec![read, plain],
    }
}

/// What kind of departure an error is, and what would have been right.
fn wanted(kind: &Bad) -> (ViolationKind, String) {
    let text = |value: &Value| clip(&value.to_string());
    let nearest = |context: &Vec<Vec<ValidationError>>| {
        let branch = context
            .iter()
            .filter(|branch| !branch.is_empty())
            .min_by_key(|branch| branch.len());
        let near = branch.and_then(|branch| branch.first()).map(|error| {
            let (_, wanted) = self::wanted(error.kind());
            let at = error.instance_path().as_str();
            let at = if let Bad::Required { property } = error.kind() {
                format!("{at}/{}", property.as_str().unwrap_or(""))
            } else {
                at.into()
            };
            format!(", the nearest with {wanted} at '{at}'")
        });
        format!("one of {} forms{}", context.len(), near.unwrap_or_default())
    };
    match kind {
        Bad::Type {
            kind: TypeKind::Single(kind),
        } => (ViolationKind::Type, format!("the type {kind}")),
        Bad::Type {
            kind: TypeKind::Multiple(kinds),
        } => {
            let kinds = kinds
                .iter()
                .map(|kind| kind.to_string())
                .collect::<Vec<_>>()
                .join(" or ");
            (ViolationKind::Type, format!("the type {kinds}"))
        }
        Bad::Required { .. } => (ViolationKind::Missing, "this to be given".into()),
        Bad::AdditionalProperties { .. } | Bad::UnevaluatedProperties { .. } => {
            (ViolationKind::Additional, "no member of this name".into())
        }
        Bad::AdditionalItems { limit } => {
            (ViolationKind::Additional, format!("{limit} items at most"))
        }
        Bad::UnevaluatedItems { .. } => (ViolationKind::Additional, "no further items".into()),
        Bad::FalseSchema => (ViolationKind::Additional, "nothing here".into()),
        Bad::Enum { options } => (ViolationKind::Enum, format!("one of {}", text(options))),
        Bad::Constant { expected_value } => (ViolationKind::Enum, text(expected_value)),
        Bad::Minimum { limit } => (ViolationKind::Bounds, format!("{limit} or more")),
        Bad::Maximum { limit } => (ViolationKind::Bounds, format!("{limit} or less")),
        Bad::ExclusiveMinimum { limit } => (ViolationKind::Bounds, format!("more than {limit}")),
        Bad::ExclusiveMaximum { limit } => (ViolationKind::Bounds, format!("less than {limit}")),
        Bad::MinLength { limit } => (ViolationKind::Bounds, format!("{limit} characters or more")),
        Bad::MaxLength { limit } => (ViolationKind::Bounds, format!("{limit} characters or less")),
        Bad::MinItems { limit } => (ViolationKind::Bounds, format!("{limit} items or more")),
        Bad::MaxItems { limit } => (ViolationKind::Bounds, format!("{limit} items or less")),
        Bad::MinProperties { limit } => (ViolationKind::Bounds, format!("{limit} members or more")),
        Bad::MaxProperties { limit } => (ViolationKind::Bounds, format!("{limit} members or less")),
        Bad::MultipleOf { multiple_of } => (
            ViolationKind::Bounds,
            format!("a multiple of {multiple_of}"),
        ),
        Bad::UniqueItems => (ViolationKind::Bounds, "no item twice".into()),
        Bad::Contains => (
            ViolationKind::Bounds,
            "an item of the kind that 'contains' asks for".into(),
        ),
        Bad::Pattern { pattern } => (
            ViolationKind::Pattern,
            format!("a match of {}", clip(pattern)),
        ),
        Bad::PropertyNames { .. } => (
            ViolationKind::Pattern,
            "members' names as 'propertyNames' has them".into(),
        ),
        Bad::Format { format } => (ViolationKind::Format, format!("the format {format}")),
        Bad::ContentEncoding { content_encoding } => (
            ViolationKind::Format,
            format!("the encoding {content_encoding}"),
        ),
        Bad::ContentMediaType { content_media_type } => {
            (ViolationKind::Format, content_media_type.clone())
        }
        Bad::AnyOf { context } | Bad::OneOfNotValid { context } => {
            (ViolationKind::Alternatives, nearest(context))
        }
        Bad::OneOfMultipleValid { context } => (
            ViolationKind::Alternatives,
            format!("exactly one of {} forms, not several", context.len()),
        ),
        Bad::Not { .. } => (
            ViolationKind::Alternatives,
            "anything but the form under 'not'".into(),
        ),
        _ => (ViolationKind::Other, "what the schema asks for".into()),
    }
}
