//! Recorded traffic against a description: one exchange or message a line, as JSON.
//!
//! An exchange has `method`, `target`, and where they matter `fields` (an object), `body` (a string, or JSON that is
//! taken as its text), and `answer` with `status`, `fields`, `body` and `whole` (false: the connection ended first).
//! A message has `channel`, `message` (its name or letter), `headers` (an object) and `payload`.

use crate::conformance::{ObservedRequest, ObservedResponse, Violation, ViolationKind};
use crate::model::{Description, Kind};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The longest line that is read, in bytes.
pub const MAX_LINE: usize = 4 * 1024 * 1024;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedLine {
    method: Option<String>,
    target: Option<String>,
    #[serde(default)]
    fields: BTreeMap<String, String>,
    #[serde(default)]
    body: Value,
    answer: Option<RecordedResponse>,
    channel: Option<String>,
    message: Option<String>,
    #[serde(default)]
    headers: Map<String, Value>,
    #[serde(default)]
    payload: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedResponse {
    status: u16,
    #[serde(default)]
    fields: BTreeMap<String, String>,
    #[serde(default)]
    body: Value,
    #[serde(default = "yes")]
    whole: bool,
}

fn yes() -> bool {
    true
}

/// A departure of one line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ViolationAtLine {
    /// The line, from 1.
    pub line: usize,
    /// The operation's or message's name, or what was asked for.
    pub operation: String,
    /// `request`, `answer` or `message`.
    pub side: &'static str,
    /// The departure.
    #[serde(flatten)]
    pub departure: Violation,
}

/// What came of a recording.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Messages held against the description: a request and its answer are two.
    pub messages: usize,
    /// What departs.
    pub departures: Vec<ViolationAtLine>,
    /// Lines that can't be read, and why.
    pub unreadable: Vec<(usize, String)>,
}

impl Outcome {
    /// How often each operation departs in each way and place.
    pub fn table(&self) -> BTreeMap<(String, String, ViolationKind), usize> {
        let mut table = BTreeMap::new();
        for departed in &self.departures {
            let place = format!("{} {}", departed.side, departed.departure.place);
            *table
                .entry((departed.operation.clone(), place, departed.departure.kind))
                .or_default() += 1;
        }
        table
    }
}

/// A body as it was on the wire: a string is taken as it stands, anything else as its JSON text.
fn bytes(value: &Value) -> Vec<u8> {
    match value {
        Value::Null => Vec::new(),
        Value::String(text) => text.clone().into_bytes(),
        other => other.to_string().into_bytes(),
    }
}

/// Holds a recording against a description, line by line.
pub fn replay(description: &Description, lines: impl Iterator<Item = Vec<u8>>) -> Outcome {
    let mut outcome = Outcome::default();
    for (at, line) in lines.enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        let read = match line.len() > MAX_LINE {
            true => Err(format!(
                "the line has {} bytes: {MAX_LINE} at most",
                line.len()
            )),
            false => serde_json::from_slice::<RecordedLine>(line).map_err(|e| e.to_string()),
        };
        if let Err(cause) = read.and_then(|line| one(description, at + 1, line, &mut outcome)) {
            outcome.unreadable.push((at + 1, cause));
        }
    }
    outcome
}

fn one(
    description: &Description,
    number: usize,
    line: RecordedLine,
    outcome: &mut Outcome,
) -> Result<(), String> {
    let mut note = |operation: &str, side, departures: Vec<Violation>| {
        outcome.messages += 1;
        let departed = |departure| ViolationAtLine {
            line: number,
            operation: operation.into(),
            side,
            departure,
        };
        outcome
            .departures
            .extend(departures.into_iter().map(departed));
    };
    match (description.kind, line) {
        (
            Kind::OpenApi,
            RecordedLine {
                method: Some(method),
                target: Some(target),
                fields,
                body,
                answer,
                ..
            },
        ) => {
            let fields: Vec<_> = fields.into_iter().collect();
            let body = bytes(&body);
            let method = method.to_ascii_uppercase();
            let asked = ObservedRequest {
                method: &method,
                target: &target,
                fields: &fields,
                body: &body,
            };
            let judged = description.check_request(&asked);
            let operation = judged
                .operation
                .map_or_else(|| format!("{method} {target}"), |name| name.to_string());
            let known = judged.number;
            note(&operation, "request", judged.departures);
            if let (Some(operation_number), Some(answer)) = (known, answer) {
                let fields: Vec<_> = answer.fields.into_iter().collect();
                let body = bytes(&answer.body);
                let answered = ObservedResponse {
                    status: answer.status,
                    fields: &fields,
                    body: &body,
                    whole: answer.whole,
                };
                let judged = description.check_response(operation_number, &answered);
                note(&operation, "answer", judged.departures);
            }
            Ok(())
        }
        (Kind::OpenApi, _) => Err("'method' and 'target' are needed".into()),
        (
            Kind::AsyncApi,
            RecordedLine {
                channel: Some(channel),
                message: Some(word),
                headers,
                payload,
                ..
            },
        ) => {
            let judged = description.check_message(
                &channel,
                &word,
                &Value::Object(headers),
                &bytes(&payload),
            );
            let operation = judged
                .operation
                .map_or_else(|| format!("{channel} {word}"), |name| name.to_string());
            note(&operation, "message", judged.departures);
            Ok(())
        }
        (Kind::AsyncApi, _) => Err("'channel' and 'message' are needed".into()),
    }
}
