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
    #[serde(rename = "whole", default = "yes")]
    complete: bool,
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
    pub violation: Violation,
}

/// What came of a recording.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Messages held against the description: a request and its answer are two.
    pub messages: usize,
    /// What departs.
    #[serde(rename = "departures")]
    pub violations: Vec<ViolationAtLine>,
    /// Lines that can't be read, and why.
    pub unreadable: Vec<(usize, String)>,
}

impl Outcome {
    /// Adds one checked message.
    fn add(
        &mut self,
        line: usize,
        operation: &str,
        side: &'static str,
        violations: Vec<Violation>,
    ) {
        self.messages += 1;
        for violation in violations {
            self.violations.push(ViolationAtLine {
                line,
                operation: operation.into(),
                side,
                violation,
            });
        }
    }

    /// How often each operation departs in each way and place.
    pub fn table(&self) -> BTreeMap<(String, String, ViolationKind), usize> {
        let mut table = BTreeMap::new();
        for found in &self.violations {
            let place = format!("{} {}", found.side, found.violation.place);
            *table
                .entry((found.operation.clone(), place, found.violation.kind))
                .or_default() += 1;
        }
        table
    }
}

/// Why a line can't be used.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("the line has {bytes} bytes: {MAX_LINE} at most")]
    TooLong { bytes: usize },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("'method' and 'target' are needed")]
    NoExchange,
    #[error("'channel' and 'message' are needed")]
    NoMessage,
}

/// Checks a recording against a description, line by line.
pub fn replay(description: &Description, lines: impl Iterator<Item = Vec<u8>>) -> Outcome {
    let mut outcome = Outcome::default();
    for (index, line) in lines.enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        let number = index + 1;
        if let Err(error) = replay_line(description, number, line, &mut outcome) {
            outcome.unreadable.push((number, error.to_string()));
        }
    }
    outcome
}

fn replay_line(
    description: &Description,
    number: usize,
    line: &[u8],
    outcome: &mut Outcome,
) -> Result<(), LineError> {
    if line.len() > MAX_LINE {
        return Err(LineError::TooLong { bytes: line.len() });
    }
    let line = serde_json::from_slice::<RecordedLine>(line)?;
    match description.kind {
        Kind::OpenApi => replay_exchange(description, number, line, outcome),
        Kind::AsyncApi => replay_message(description, number, line, outcome),
    }
}

fn replay_exchange(
    description: &Description,
    number: usize,
    line: RecordedLine,
    outcome: &mut Outcome,
) -> Result<(), LineError> {
    let (Some(method), Some(target)) = (line.method, line.target) else {
        return Err(LineError::NoExchange);
    };
    let method = method.to_ascii_uppercase();
    let fields: Vec<_> = line.fields.into_iter().collect();
    let request = ObservedRequest {
        method: &method,
        target: &target,
        fields: &fields,
        body: &body_bytes(&line.body),
    };
    let checked = description.check_request(&request);
    let operation = match checked.operation {
        Some(name) => name.to_string(),
        None => format!("{method} {target}"),
    };
    outcome.add(number, &operation, "request", checked.violations);
    if let (Some(operation_number), Some(answer)) = (checked.number, line.answer) {
        let fields: Vec<_> = answer.fields.into_iter().collect();
        let response = ObservedResponse {
            status: answer.status,
            fields: &fields,
            body: &body_bytes(&answer.body),
            complete: answer.complete,
        };
        let checked = description.check_response(operation_number, &response);
        outcome.add(number, &operation, "answer", checked.violations);
    }
    Ok(())
}

fn replay_message(
    description: &Description,
    number: usize,
    line: RecordedLine,
    outcome: &mut Outcome,
) -> Result<(), LineError> {
    let (Some(channel), Some(word)) = (line.channel, line.message) else {
        return Err(LineError::NoMessage);
    };
    let headers = Value::Object(line.headers);
    let payload = body_bytes(&line.payload);
    let checked = description.check_message(&channel, &word, &headers, &payload);
    let operation = match checked.operation {
        Some(name) => name.to_string(),
        None => format!("{channel} {word}"),
    };
    outcome.add(number, &operation, "message", checked.violations);
    Ok(())
}

/// A body as it was on the wire: a string as it stands, anything else as its JSON text.
fn body_bytes(value: &Value) -> Vec<u8> {
    match value {
        Value::Null => Vec::new(),
        Value::String(text) => text.clone().into_bytes(),
        other => other.to_string().into_bytes(),
    }
}
