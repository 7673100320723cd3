//! Checks answers against the values that the emulated nodes give.

use super::classes::{CONFIRM_CLASS, SEARCH_MINIMUM_SHARE};
use super::client::Ending;
use super::QueryArrival;
use crate::run_log::expected_value;
use serde_json::{json, Value};

/// Tolerance for rounding when a share of parts is compared with a minimum.
const SHARE_SLACK: f64 = 1e-9;

/// An answer's classification, and the fault found in it, if any.
pub(super) struct CheckedAnswer {
    pub(super) ending: Ending,
    pub(super) fault: Option<String>,
}

/// Classifies an answer by its status and checks its content against the expected values.
pub(super) fn check_answer(arrival: &QueryArrival, status: u16, body: &Value) -> CheckedAnswer {
    let ending = match status {
        200 => Ending::Served,
        429 | 503 => Ending::Rejected,
        _ => Ending::Failed,
    };
    let fault = (ending == Ending::Served)
        .then(|| find_fault(arrival, body))
        .flatten();
    CheckedAnswer { ending, fault }
}

fn find_fault(arrival: &QueryArrival, body: &Value) -> Option<String> {
    let mut found = answered_values(arrival, body);
    found.sort();
    let expected = arrival
        .shards
        .iter()
        .map(|&shard| expected_value(arrival.query, shard));
    let mut expected: Vec<String> = expected.collect();
    expected.sort();

    let query = arrival.query;
    let answered = found.len();
    let asked = expected.len();
    let has_duplicates = found.windows(2).any(|pair| pair[0] == pair[1]);
    let has_foreign_values = found.iter().any(|value| !expected.contains(value));
    if has_duplicates || has_foreign_values {
        return Some(format!(
            "query {query}: values that no server made for it: {found:?}"
        ));
    }
    if is_marked_complete(arrival, body) && found != expected {
        return Some(format!(
            "query {query}: marked complete with {answered} of {asked} parts"
        ));
    }
    let minimum = SEARCH_MINIMUM_SHARE * asked as f64 - SHARE_SLACK;
    let needs_all = arrival.class == CONFIRM_CLASS;
    if (answered as f64) < minimum || (needs_all && found != expected) {
        return Some(format!(
            "query {query}: answered with {answered} of {asked} parts, below the minimum share of its class"
        ));
    }
    None
}

fn answered_values(arrival: &QueryArrival, body: &Value) -> Vec<String> {
    let hits = if arrival.query_front {
        &body["hits"]["hits"]
    } else {
        &body["hits"]
    };
    let hits = hits.as_array().into_iter().flatten();
    if arrival.query_front {
        hits.map(|hit| hit["_source"]["doc"].as_str().unwrap_or("").to_string())
            .collect()
    } else {
        hits.map(platform_value).collect()
    }
}

/// Returns the value of a hit from the platform front, which may embed a hits object of the query API as text.
fn platform_value(hit: &Value) -> String {
    let text = hit["doc"].as_str().unwrap_or("");
    if !text.starts_with('{') {
        return text.to_string();
    }
    let inner: Option<Value> = serde_json::from_str(text).ok();
    inner
        .and_then(|hits| Some(hits["hits"][0]["_source"]["doc"].as_str()?.to_string()))
        .unwrap_or_else(|| text.to_string())
}

fn is_marked_complete(arrival: &QueryArrival, body: &Value) -> bool {
    if arrival.query_front {
        body["timed_out"] == json!(false)
    } else {
        body["complete"] == json!(true)
    }
}
