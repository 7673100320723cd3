//! Answers held against what the nodes give for their queries.

use super::classes::{AT_MOST_ONCE, SEARCH_MINIMUM_SHARE};
use super::client::Ending;
use super::QueryArrival;
use crate::run_log::expected_value;
use serde_json::{json, Value};

/// Slack for shares of parts that are no exact fractions.
const SHARE_SLACK: f64 = 1e-9;

/// What an answer is, and what is wrong with it.
pub(super) struct CheckedAnswer {
    pub(super) ending: Ending,
    pub(super) fault: Option<String>,
}

/// Reads an answer and holds it against the values that the nodes give.
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
            "query {query}: marked whole with {answered} of {asked} parts"
        ));
    }
    let least = SEARCH_MINIMUM_SHARE * asked as f64 - SHARE_SLACK;
    let needs_all = AT_MOST_ONCE[arrival.class];
    if (answered as f64) < least || (needs_all && found != expected) {
        return Some(format!(
            "query {query}: {answered} of {asked} parts are under its class's floor"
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

/// Returns the value of a hit on the platform's front, where a hits object of the query API comes as text.
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
