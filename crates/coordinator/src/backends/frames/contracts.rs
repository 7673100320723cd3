//! Checks frames against the API description of the interface to servers: each frame by its letter, the fields of its
//! line, and its payload.

use super::codec::{part_line, PartAnswerFrame};
use crate::connections::handle::ConnectionHandle;
use crate::contract::{HeaderParser, ObservedMessage};
use crate::messages::{ContractsInForce, OutboundAttempt};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::schema::Direction;
use cairnroad_types::Time;
use serde_json::{json, Map, Number, Value as Json};
use std::collections::BTreeMap;

/// The load report in the line of an answer that has no report.
const NO_REPORT: &str = "-";

/// Checks a part of a call, if descriptions were active when its request arrived.
pub(super) fn check_call(handle: &ConnectionHandle, part: &OutboundAttempt, now: Time) {
    if part.contracts.is_none() {
        return;
    }
    let line = || part_line(part, now);
    let message = request("Q", part.payload.as_str().as_bytes());
    check(handle, &part.contracts, message, line, call_fields);
}

/// Checks the cancel of a part.
pub(super) fn check_cancel(handle: &ConnectionHandle, id: &str) {
    let contracts = handle.contracts.current();
    let line = || id.to_string();
    check(handle, &contracts, request("X", b""), line, cancel_fields);
}

/// Checks a health check.
pub(super) fn check_health_check(handle: &ConnectionHandle) {
    let contracts = handle.contracts.current();
    let message = request("L?", b"");
    check(handle, &contracts, message, String::new, no_fields);
}

/// Checks an answer. Returns whether the answer may be used.
pub(super) fn check_answer(
    handle: &ConnectionHandle,
    contracts: &ContractsInForce,
    answer: &PartAnswerFrame<'_>,
) -> bool {
    let line = || {
        let report = String::from_utf8_lossy(answer.report);
        format!("{} {} {} {report}", answer.id, answer.status, answer.score)
    };
    let message = reply("A", answer.value);
    check(handle, contracts, message, line, answer_fields)
}

/// Checks a load report.
pub(super) fn check_load_report(handle: &ConnectionHandle, report: &[u8]) {
    let contracts = handle.contracts.current();
    let message = reply("L", report);
    check(handle, &contracts, message, String::new, no_fields);
}

/// Checks an error frame, by which a server reports that it could not process a frame.
pub(super) fn check_error(handle: &ConnectionHandle, text: &str) {
    let contracts = handle.contracts.current();
    let message = reply("E", text.as_bytes());
    check(handle, &contracts, message, String::new, no_fields);
}

/// Checks a message against `contracts`. `line` and `fields` are called only if the message is selected for a check.
/// Returns whether the message may be used.
fn check(
    handle: &ConnectionHandle,
    contracts: &ContractsInForce,
    message: ObservedMessage<'_>,
    line: impl FnOnce() -> String,
    fields: HeaderParser,
) -> bool {
    let server = &handle.server;
    let checker = &handle.contracts;
    checker.check_message(contracts, Interface::Servers, server, message, line, fields)
}

fn request<'p>(name: &'static str, payload: &'p [u8]) -> ObservedMessage<'p> {
    message(name, Direction::Request, payload)
}

fn reply<'p>(name: &'static str, payload: &'p [u8]) -> ObservedMessage<'p> {
    message(name, Direction::Response, payload)
}

fn message<'p>(name: &'static str, direction: Direction, payload: &'p [u8]) -> ObservedMessage<'p> {
    ObservedMessage {
        channel: "frames",
        name,
        direction,
        payload,
    }
}

fn call_fields(line: &str) -> Json {
    let tokens: Vec<&str> = line.split(' ').collect();
    let number = |text: Option<&&str>| text.and_then(|text| text.parse::<i64>().ok());
    let list = tokens.get(2).copied().unwrap_or_default();
    let entries: BTreeMap<&str, &str> = list
        .split(',')
        .filter_map(|entry| entry.split_once('='))
        .collect();
    let mut fields = json!({"id": tokens.first(), "shard": number(tokens.get(1)),
        "d": number(entries.get("d")), "length": number(tokens.get(3))});
    if let Some(key) = entries.get("k") {
        fields["k"] = json!(key);
    }
    fields
}

fn answer_fields(line: &str) -> Json {
    let tokens: Vec<&str> = line.splitn(4, ' ').collect();
    let report = report_fields(tokens.get(3).copied().unwrap_or(NO_REPORT));
    json!({"id": tokens.first(), "end": tokens.get(1), "score": tokens.get(2), "report": report})
}

fn cancel_fields(line: &str) -> Json {
    json!({"id": line})
}

fn no_fields(_: &str) -> Json {
    json!({})
}

/// Returns a load report as a JSON object. Values that are not numbers become strings; the object is empty if there is
/// no report.
fn report_fields(report: &str) -> Map<String, Json> {
    if report == NO_REPORT {
        return Map::new();
    }
    let field = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = value.parse::<f64>().ok().and_then(Number::from_f64);
        let value = number.map_or_else(|| json!(value), Json::Number);
        (name.to_string(), value)
    };
    report.split(',').map(field).collect()
}
