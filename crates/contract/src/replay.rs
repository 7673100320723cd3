//! Checks recorded traffic against a description.
//!
//! A recording holds one exchange or message per line, as a JSON object. An exchange has `method` and `target`, and
//! optionally `fields` (an object), `body` (a string, or JSON that stands for its text) and `answer` with `status`,
//! `fields`, `body` and `whole` (false if the connection ended early). A message has `channel`, `message` (its name or
//! letter), `headers` (an object) and `payload`.

use crate::conformance::{ObservedRequest, ObservedResponse, Violation, ViolationKind};
use crate::model::{Description, DescriptionFormat};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// The longest line that is accepted, in bytes.
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
    #[serde(rename = "whole", default = "default_complete")]
    complete: bool,
}

fn default_complete() -> bool {
    true
}

/// The message of a recorded line that a result refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageSide {
    /// The request of an exchange.
    Request,
    /// The response of an exchange.
    #[serde(rename = "answer")]
    Response,
    /// A message of a channel.
    Message,
}

impl fmt::Display for MessageSide {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageSide::Request => "request",
            MessageSide::Response => "answer",
            MessageSide::Message => "message",
        })
    }
}

/// A violation with the line that it was found in.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ViolationAtLine {
    /// The number of the line, from 1.
    pub line: usize,
    /// The name of the operation or message; if it is not described, the method and target, or the channel and message.
    pub operation: String,
    /// The message of the line that violates the description.
    pub side: MessageSide,
    /// The violation.
    #[serde(flatten)]
    pub violation: Violation,
}

/// A line that cannot be parsed. Serialized as a pair of line number and cause.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(usize, String)")]
pub struct UnreadableLine {
    /// The number of the line, from 1.
    pub line: usize,
    /// The error of the line.
    pub cause: String,
}

impl From<UnreadableLine> for (usize, String) {
    fn from(unreadable: UnreadableLine) -> Self {
        (unreadable.line, unreadable.cause)
    }
}

/// The key by which the violations of a recording are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ViolationGroup {
    /// The operation; see [`ViolationAtLine::operation`].
    pub operation: String,
    /// The side, and the place in the message.
    pub place: String,
    /// The rule that is violated.
    pub kind: ViolationKind,
}

/// The result of checking a recording.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplayReport {
    /// The number of messages checked; a request and its response are two messages.
    pub messages: usize,
    /// The violations, ordered by line.
    #[serde(rename = "departures")]
    pub violations: Vec<ViolationAtLine>,
    /// The lines that cannot be parsed.
    pub unreadable: Vec<UnreadableLine>,
}

impl ReplayReport {
    /// Adds one checked message.
    fn add(&mut self, line: usize, operation: &str, side: MessageSide, violations: Vec<Violation>) {
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

    /// Returns the number of violations by operation, place and kind.
    pub fn violation_counts(&self) -> BTreeMap<ViolationGroup, usize> {
        let mut counts = BTreeMap::new();
        for found in &self.violations {
            let group = ViolationGroup {
                operation: found.operation.clone(),
                place: format!("{} {}", found.side, found.violation.place),
                kind: found.violation.kind,
            };
            *counts.entry(group).or_default() += 1;
        }
        counts
    }
}

/// The error of a line that cannot be parsed.
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
pub fn replay(description: &Description, lines: impl Iterator<Item = Vec<u8>>) -> ReplayReport {
    let mut report = ReplayReport::default();
    for (index, line) in lines.enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        let number = index + 1;
        if let Err(error) = replay_line(description, number, line, &mut report) {
            report.unreadable.push(UnreadableLine {
                line: number,
                cause: error.to_string(),
            });
        }
    }
    report
}

fn replay_line(
    description: &Description,
    number: usize,
    line: &[u8],
    report: &mut ReplayReport,
) -> Result<(), LineError> {
    if line.len() > MAX_LINE {
        return Err(LineError::TooLong { bytes: line.len() });
    }
    let line = serde_json::from_slice::<RecordedLine>(line)?;
    match description.format {
        DescriptionFormat::OpenApi => replay_exchange(description, number, line, report),
        DescriptionFormat::AsyncApi => replay_message(description, number, line, report),
    }
}

fn replay_exchange(
    description: &Description,
    number: usize,
    line: RecordedLine,
    report: &mut ReplayReport,
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
    report.add(number, &operation, MessageSide::Request, checked.violations);
    if let (Some(operation_index), Some(answer)) = (checked.operation_index, line.answer) {
        let fields: Vec<_> = answer.fields.into_iter().collect();
        let response = ObservedResponse {
            status: answer.status,
            fields: &fields,
            body: &body_bytes(&answer.body),
            complete: answer.complete,
        };
        let checked = description.check_response(operation_index, &response);
        report.add(
            number,
            &operation,
            MessageSide::Response,
            checked.violations,
        );
    }
    Ok(())
}

fn replay_message(
    description: &Description,
    number: usize,
    line: RecordedLine,
    report: &mut ReplayReport,
) -> Result<(), LineError> {
    let (Some(channel), Some(name)) = (line.channel, line.message) else {
        return Err(LineError::NoMessage);
    };
    let headers = Value::Object(line.headers);
    let payload = body_bytes(&line.payload);
    let checked = description.check_message(&channel, &name, &headers, &payload);
    let operation = match checked.operation {
        Some(operation) => operation.to_string(),
        None => format!("{channel} {name}"),
    };
    report.add(number, &operation, MessageSide::Message, checked.violations);
    Ok(())
}

/// Returns the bytes of a recorded body: those of a string, or the JSON text of any other value.
fn body_bytes(value: &Value) -> Vec<u8> {
    match value {
        Value::Null => Vec::new(),
        Value::String(text) => text.clone().into_bytes(),
        other => other.to_string().into_bytes(),
    }
}
