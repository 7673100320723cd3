//! Converts final answers to responses of the query API.

use super::hits;
use super::search::Search;
use crate::fronts::reply::Reply;
use crate::messages::{Answer, PartAnswer};
use cairnroad_types::Seconds;
use serde_json::{json, Value as Json};

const SEARCH_FAILED: &str = "search_phase_execution_exception";
const REJECTED: &str = "rejected_execution_exception";

/// Returns the response to a search. `took` is the time since the search arrived.
pub fn answer_reply(search: &Search, answer: Option<Answer>, took: Seconds) -> Reply {
    match answer {
        None => error_reply(500, SEARCH_FAILED, "no answer"),
        Some(Answer::Served { complete, parts }) => served_reply(search, complete, &parts, took),
        Some(Answer::Rejected {
            retry_after,
            over_capacity,
        }) => {
            let (status, error_type) = match over_capacity {
                true => (429, REJECTED),
                false => (503, "unavailable_shards_exception"),
            };
            error_reply(status, error_type, "refused: trying again is harmless")
                .with_header("Retry-After", whole_seconds(retry_after))
        }
        Some(Answer::DuplicateExternalId) => error_reply(
            409,
            "illegal_state_exception",
            "the search's name was used before",
        ),
        Some(Answer::Failed { timed_out: true }) => {
            error_reply(504, "timeout_exception", "no answer in time")
        }
        Some(Answer::Failed { timed_out: false }) => {
            error_reply(500, SEARCH_FAILED, "a part failed and may have run")
        }
    }
}

fn served_reply(search: &Search, complete: bool, parts: &[PartAnswer], took: Seconds) -> Reply {
    if !complete && !search.allow_partial_results {
        return error_reply(504, SEARCH_FAILED, "Partial shards failure");
    }
    let hits = match hits::merge(search, parts) {
        Ok(hits) => hits,
        Err(error) => return error_reply(502, SEARCH_FAILED, &error.to_string()),
    };
    let shards = shards_summary(&search.index.name, parts);
    let took = millis(took);
    let timed_out = !complete;
    let body = format!(
        "{{\"took\":{took},\"timed_out\":{timed_out},\"_shards\":{shards},\"hits\":{hits}}}"
    );
    Reply::json(200, body.into_bytes())
}

/// Returns the `_shards` object: the number of successful parts, and the reasons why the others failed.
fn shards_summary(index: &str, parts: &[PartAnswer]) -> Json {
    let failures: Vec<Json> = parts
        .iter()
        .filter_map(|part| part.value.as_ref().err().map(|reason| (part.shard, reason)))
        .map(|(shard, reason)| {
            json!({"shard": shard, "index": index,
                "reason": {"type": "shard_failure_exception", "reason": reason.to_string()}})
        })
        .collect();
    let mut summary = json!({"total": parts.len(), "successful": parts.len() - failures.len(), "skipped": 0,
        "failed": failures.len()});
    if !failures.is_empty() {
        summary["failures"] = Json::Array(failures);
    }
    summary
}

/// Returns a duration in whole milliseconds, rounded down.
pub fn millis(duration: Seconds) -> u64 {
    (duration * 1000.0).max(0.0) as u64
}

/// Returns a Retry-After in whole seconds, as HTTP requires; at least 1.
fn whole_seconds(retry_after: Seconds) -> String {
    format!("{}", retry_after.ceil().max(1.0) as u64)
}

/// Returns an error response with a Retry-After, for requests that are rejected for lack of capacity or because the
/// process shuts down.
pub fn retry_later_reply(status: u16, text: &str, retry_after: Seconds) -> Reply {
    error_reply(status, REJECTED, text).with_header("Retry-After", whole_seconds(retry_after))
}

/// Returns an error response.
pub fn error_reply(status: u16, error_type: &str, reason: &str) -> Reply {
    let cause = json!({"type": error_type, "reason": reason});
    let body = json!({"error": {"root_cause": [cause], "type": error_type, "reason": reason}, "status": status});
    Reply::json(status, body.to_string().into_bytes())
}
