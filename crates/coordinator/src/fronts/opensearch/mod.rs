//! The query API: `_search` and `_msearch` as in OpenSearch. An index is a request class over a range of shards; each
//! shard is one part of a request.

mod duration;
mod error;
mod hits;
mod multi_search;
mod parameters;
mod response;
mod search;

use super::exchange::{ClientDisconnected, Exchange};
use super::front::Front;
use super::reply::Reply;
use crate::http;
use crate::messages::{ClientLiveness, PartSpec, Payload, Request};
use cairnroad_types::{Idempotency, Time};
use error::QueryError;
pub use multi_search::MAX_SEARCHES;
use parameters::{decode, SearchParameters};
pub use response::{error_reply, retry_later_reply};
use search::Search;
pub use search::MAX_RESULT_WINDOW;

const METHOD_NOT_ALLOWED: &str = "method_not_allowed_exception";

/// The operation that a path requests.
enum Operation<'a> {
    Search { index: &'a str },
    MultiSearch { index: Option<&'a str> },
}

impl<'a> Operation<'a> {
    fn from_path(path: &'a str) -> Result<Self, QueryError> {
        let segments: Vec<&str> = path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect();
        match *segments.as_slice() {
            [index, "_search"] if !index.starts_with('_') => Ok(Operation::Search { index }),
            ["_msearch"] => Ok(Operation::MultiSearch { index: None }),
            [index, "_msearch"] if !index.starts_with('_') => {
                Ok(Operation::MultiSearch { index: Some(index) })
            }
            ["_search"] => Err(QueryError::NoIndexInPath),
            _ => Err(QueryError::UnknownPath),
        }
    }

    fn index(&self) -> Option<&'a str> {
        match *self {
            Operation::Search { index } => Some(index),
            Operation::MultiSearch { index } => index,
        }
    }
}

/// Answers one request. `arrived_at` is the time from which its deadline and `took` count.
pub async fn answer(
    front: &Front,
    request: http::Request,
    arrived_at: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ClientDisconnected> {
    let target = &request.target;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if let Some(page) = front.contracts.page(path) {
        return Ok(description_reply(&request.method, page));
    }
    let operation = match Operation::from_path(path) {
        Ok(operation) => operation,
        Err(error) => return Ok(error.reply()),
    };
    if !matches!(request.method.as_str(), "GET" | "POST") {
        let reply = error_reply(
            405,
            METHOD_NOT_ALLOWED,
            "only GET and POST are answered here",
        );
        return Ok(reply.with_header("Allow", "GET, POST".into()));
    }
    let mut parameters = match SearchParameters::parse(query) {
        Ok(parameters) => parameters,
        Err(error) => return Ok(error.reply()),
    };
    parameters.index = operation
        .index()
        .map(|index| decode(index).unwrap_or_else(|| index.into()));
    match operation {
        Operation::MultiSearch { .. } => {
            multi_search::answer(front, request, parameters, arrived_at, exchange).await
        }
        Operation::Search { .. } => {
            answer_search(front, request, parameters, arrived_at, exchange).await
        }
    }
}

/// Returns the response to a request for one of the coordinator's pages about interface descriptions.
fn description_reply(method: &str, page: Vec<u8>) -> Reply {
    match method {
        "GET" => Reply::json(200, page),
        _ => error_reply(405, METHOD_NOT_ALLOWED, "only GET is answered here")
            .with_header("Allow", "GET".into()),
    }
}

async fn answer_search(
    front: &Front,
    request: http::Request,
    parameters: SearchParameters,
    arrived_at: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ClientDisconnected> {
    let search = match Search::parse(
        &front.served_configuration().indices,
        &request.body,
        parameters,
    ) {
        Ok(search) => search,
        Err(error) => return Ok(error.reply()),
    };
    drop(request);
    let core_request = core_request(front, &search, arrived_at);
    let answers = exchange.submit(vec![core_request]).await?;
    let took = front.clock.now() - arrived_at;
    let answer = answers.into_iter().next();
    Ok(response::answer_reply(&search, answer, took))
}

/// Converts a search to a request for the core, with one part per shard and equal weights.
fn core_request(front: &Front, search: &Search, arrived_at: Time) -> Request {
    let served = front.served_configuration();
    let class = &served.deployment.policy.classes[search.index.class];
    // The query API has no idempotency keys: a client's retry is a new query with a new key.
    let is_keyed = class.idempotency == Idempotency::IdempotentWithKey;
    let deadline = class.deadline;
    let weight = 1.0 / search.shards.len() as f64;
    Request {
        external_id: front.generate_request_name().into(),
        is_named_by_client: false,
        class: search.index.class,
        deadline: arrived_at
            + search
                .timeout
                .map_or(deadline, |timeout| timeout.min(deadline)),
        client_retry: false,
        expected_work: None,
        parts: search
            .shards
            .iter()
            .map(|&shard| PartSpec { shard, weight })
            .collect(),
        idempotency_key: is_keyed.then(|| front.generate_idempotency_key()),
        payload: Payload::Query(search.body.as_str().into()),
        contracts: None,
        client: ClientLiveness::default(),
        memory: None,
    }
}
