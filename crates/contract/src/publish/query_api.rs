//! The paths of the query front in the OpenAPI description.

use super::elements::{
    common_responses, content, parameter, reference, response, result_window, with_retry_after,
    RetryAfter, JSON, TIME_PATTERN,
};
use super::{Index, InterfaceSpec};
use serde_json::{json, Map, Value};

/// Returns the paths of the query front with their descriptions.
pub(super) fn query_paths(spec: &InterfaceSpec) -> Vec<(&'static str, Value)> {
    vec![
        ("/{index}/_search", search_path(spec)),
        ("/{index}/_msearch", index_msearch_path(spec)),
        ("/_msearch", msearch_path(spec)),
        ("/openapi.json", openapi_path()),
        ("/asyncapi.json", asyncapi_path()),
        ("/_contract", drift_path()),
    ]
}

fn search_path(spec: &InterfaceSpec) -> Value {
    json!({
        "parameters": [index_parameter(&spec.indices)],
        "get": search_operation(spec, "searchByGet", "GET"),
        "post": search_operation(spec, "search", "POST")
    })
}

fn index_msearch_path(spec: &InterfaceSpec) -> Value {
    json!({
        "parameters": [index_parameter(&spec.indices)],
        "get": msearch_operation(spec, "msearchOfIndexByGet", "GET"),
        "post": msearch_operation(spec, "msearchOfIndex", "POST")
    })
}

fn msearch_path(spec: &InterfaceSpec) -> Value {
    json!({
        "get": msearch_operation(spec, "msearchByGet", "GET"),
        "post": msearch_operation(spec, "msearch", "POST")
    })
}

fn openapi_path() -> Value {
    let schema = document_schema("openapi");
    page("openapi", "This description.", "OpenAPI 3.1.", schema)
}

fn asyncapi_path() -> Value {
    page(
        "asyncapi",
        "The wires to servers and discovery.",
        "AsyncAPI 3.0.",
        document_schema("asyncapi"),
    )
}

fn drift_path() -> Value {
    page(
        "contract",
        "What departs from the descriptions in force.",
        "The drift ledger.",
        reference("Drift"),
    )
}

/// Returns the schema of a description whose format's version is the value of `version_key`.
fn document_schema(version_key: &str) -> Value {
    json!({"type": "object", "required": [version_key, "info"]})
}

/// Returns a path that only answers GET, with status 200.
fn page(operation_id: &str, summary: &str, description: &str, schema: Value) -> Value {
    json!({"get": {
        "operationId": operation_id,
        "summary": summary,
        "responses": {"200": {"description": description, "content": content(JSON, schema)}}
    }})
}

fn search_operation(spec: &InterfaceSpec, operation_id: &str, method: &str) -> Value {
    json!({
        "operationId": operation_id,
        "summary": format!("One search, by {method}: one part for each shard."),
        "parameters": search_parameters(spec),
        "requestBody": {"required": false, "content": content(JSON, reference("SearchRequest"))},
        "responses": search_responses(spec)
    })
}

fn msearch_operation(spec: &InterfaceSpec, operation_id: &str, method: &str) -> Value {
    let description = format!(
        "Pairs of lines: a header, then a search; at most {} pairs, a newline at the end.",
        spec.limits.max_searches
    );
    let lines = json!({"type": "string", "description": description, "pattern": "\\n$"});
    json!({
        "operationId": operation_id,
        "summary": format!("Many searches at once, by {method}, each with its own final answer."),
        "parameters": shared_parameters(spec),
        "requestBody": {"required": true, "content": content("application/x-ndjson", lines)},
        "responses": msearch_responses(spec)
    })
}

fn search_responses(spec: &InterfaceSpec) -> Map<String, Value> {
    let error = |description: &str| response(description, "QueryError");
    let answered = "Answered. `timed_out` and `_shards.failed` tell one that is not whole.";
    let too_late = "No answer in time, or a partial one that was not allowed.";
    let mut responses = common_responses(&spec.limits, "QueryError", RetryAfter::Whole);
    responses.insert("200".into(), response(answered, "SearchResponse"));
    responses.insert("404".into(), error("No such index."));
    responses.insert("409".into(), error("The search's name was used before."));
    responses.insert(
        "500".into(),
        error("Failed: a part failed and may have run."),
    );
    responses.insert("502".into(), error("A server's hits can't be read."));
    responses.insert("504".into(), error(too_late));
    responses
}

fn msearch_responses(spec: &InterfaceSpec) -> Map<String, Value> {
    let answers = response(
        "Each search's own answer or error, in order.",
        "MultiResponse",
    );
    let mut responses = common_responses(&spec.limits, "QueryError", RetryAfter::Whole);
    responses.insert(
        "200".into(),
        with_retry_after(answers, RetryAfter::Whole, false),
    );
    responses
}

/// The path parameter `index`. Any name is allowed: an unknown one is answered with 404.
fn index_parameter(indices: &[Index]) -> Value {
    let names: Vec<&str> = indices.iter().map(|index| index.name.as_str()).collect();
    let ranges: Vec<String> = indices.iter().map(describe_index).collect();
    let description = format!(
        "A class of query over a range of shards: {}.",
        ranges.join("; ")
    );
    let schema = json!({"type": "string", "examples": names});
    parameter("index", "path", true, &description, schema)
}

fn describe_index(index: &Index) -> String {
    format!(
        "{} ({}, shards {} to {})",
        index.name, index.class, index.first_shard, index.last_shard
    )
}

/// The query parameters of searches and multi-searches.
fn shared_parameters(spec: &InterfaceSpec) -> Vec<Value> {
    let time = json!({"type": "string", "pattern": TIME_PATTERN});
    let longest_deadline = spec
        .classes
        .iter()
        .map(|class| class.deadline_seconds)
        .fold(0.0, f64::max);
    let timeout = format!(
        "The client's limit; capped by the class's deadline, {longest_deadline} s at most."
    );
    let preference = "`_shards:1,3` asks only these shards. Words without a leading underscore are taken and change \
        nothing.";
    let interval = "As `timeout`; the shorter counts.";
    vec![
        optional("preference", preference, json!({"type": "string"})),
        optional("timeout", &timeout, time.clone()),
        optional("cancel_after_time_interval", interval, time),
        allow_partial_parameter(),
    ]
}

fn allow_partial_parameter() -> Value {
    json!({
        "name": "allow_partial_search_results",
        "in": "query",
        "required": false,
        "allowEmptyValue": true,
        "description": "Whether an answer from the class's least share or more may be given. Default true.",
        "schema": {"type": "boolean"}
    })
}

/// The query parameters of a single search.
fn search_parameters(spec: &InterfaceSpec) -> Vec<Value> {
    let hit_count = result_window(&spec.limits);
    let size = format!(
        "Most hits; from + size is {} at most.",
        spec.limits.max_result_window
    );
    let track_total_hits = json!({"type": ["boolean", "integer"]});
    let mut parameters = shared_parameters(spec);
    parameters.push(optional("from", "First hit.", hit_count.clone()));
    parameters.push(optional("size", &size, hit_count));
    parameters.push(optional("q", "A query string.", json!({"type": "string"})));
    parameters.push(optional(
        "track_total_hits",
        "Passed on to the servers.",
        track_total_hits,
    ));
    parameters
}

fn optional(name: &str, description: &str, schema: Value) -> Value {
    parameter(name, "query", false, description, schema)
}
