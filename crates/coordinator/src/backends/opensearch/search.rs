//! Encodes a part as a search request, and decodes the response into the outcome of the part.

use crate::http::Response;
use crate::messages::{OutboundAttempt, PartValue, Payload};
use cairnroad_types::{Outcome, Time};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

/// The field by which a server that writes it into its answer tells the search that the answer is for.
pub(super) const OPAQUE_ID_FIELD: &str = "X-Opaque-Id";

/// Returns the id of the search for a part, which servers log and may write into the answer.
pub(super) fn opaque_id(part: &OutboundAttempt) -> String {
    format!("{}.{}", part.external_id, part.shard)
}

/// Encodes the search request for a part.
pub(super) fn encode_search(part: &OutboundAttempt, host: &str, now: Time) -> Vec<u8> {
    let body = match &part.payload {
        Payload::Query(text) => text.to_string(),
        Payload::Plain(text) => {
            json!({"query": {"query_string": {"query": text.as_ref()}}}).to_string()
        }
    };
    let remaining_ms = (((part.deadline - now) * 1000.0) as i64).max(1);
    let key = part.idempotency_key.as_ref();
    let key_field = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let head = format!(
        "POST /{}/_search?preference=_shards:{}&allow_partial_search_results=false\
         &cancel_after_time_interval={remaining_ms}ms HTTP/1.1\r\nHost: {host}\r\n{OPAQUE_ID_FIELD}: {}\r\n\
         {key_field}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        part.class,
        part.shard,
        opaque_id(part),
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// The members of a search response that determine its outcome.
#[derive(Deserialize)]
struct SearchResponse<'a> {
    #[serde(default)]
    timed_out: bool,
    #[serde(rename = "_shards")]
    shards: Option<Shards>,
    #[serde(borrow)]
    hits: Option<&'a RawValue>,
    #[serde(borrow)]
    error: Option<&'a RawValue>,
}

/// The members that a hits object must have to be merged with others.
#[derive(Deserialize)]
struct Hits {
    #[serde(rename = "hits")]
    _hits: Vec<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct Shards {
    #[serde(default)]
    failed: u32,
}

/// Returns the outcome that a response states for its part, and the hits if the outcome is `Ok`.
///
/// Only status 429 states that the part never ran. After any other error, whether by status or in the body of a 200,
/// the part may have run.
pub fn search_outcome(response: &Response) -> (Outcome, Option<PartValue>) {
    match response.status {
        200 => {}
        429 => return (Outcome::Rejected, None),
        _ => return (Outcome::Error, None),
    }
    match complete_hits(&response.body) {
        Some(hits) => (Outcome::Ok, Some(PartValue::Hits(hits.into()))),
        None => (Outcome::Error, None),
    }
}

/// Returns the hits object of a search that covered its shard completely; `None` for any other response.
fn complete_hits(body: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(body).ok()?;
    let response = serde_json::from_str::<SearchResponse>(text).ok()?;
    let any_failed = response.shards.is_some_and(|shards| shards.failed > 0);
    if response.timed_out || any_failed || response.error.is_some() {
        return None;
    }
    let hits = response.hits?.get();
    serde_json::from_str::<Hits>(hits).ok()?;
    Some(hits)
}
