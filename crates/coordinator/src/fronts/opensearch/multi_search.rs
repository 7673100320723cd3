//! `_msearch`: several searches in one request, each with a separate final answer.

use super::core_request;
use super::error::QueryError;
use super::parameters::SearchParameters;
use super::response::{answer_reply, millis};
use super::search::Search;
use crate::fronts::exchange::{ClientDisconnected, Exchange};
use crate::fronts::front::Front;
use crate::fronts::reply::Reply;
use crate::http;
use crate::messages::SearchIndex;
use cairnroad_types::{Seconds, Time};
use serde_json::{Map, Value as Json};

/// Maximum number of searches in one `_msearch`.
pub const MAX_SEARCHES: usize = 64;

/// Submits all searches together and returns their responses in the order of the request.
pub async fn answer(
    front: &Front,
    request: http::Request,
    parameters: SearchParameters,
    arrived_at: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ClientDisconnected> {
    let searches = match parse(
        &front.served_configuration().indices,
        &request.body,
        &parameters,
    ) {
        Ok(searches) => searches,
        Err(error) => return Ok(error.reply()),
    };
    drop(request);
    let requests = searches
        .iter()
        .flatten()
        .map(|search| core_request(front, search, arrived_at))
        .collect();
    let mut answers = exchange.submit(requests).await?.into_iter();
    let took = front.clock.now() - arrived_at;
    let replies: Vec<Reply> = searches
        .into_iter()
        .map(|search| match search {
            Err(error) => error.reply(),
            Ok(search) => answer_reply(&search, answers.next(), took),
        })
        .collect();
    Ok(combine(&replies, took))
}

/// Parses a body of line pairs, each with a header and a search. A body of another form is an error of the request; an
/// error in one search does not affect the others.
fn parse(
    indices: &[SearchIndex],
    body: &[u8],
    parameters: &SearchParameters,
) -> Result<Vec<Result<Search, QueryError>>, QueryError> {
    let body = std::str::from_utf8(body).map_err(|_| QueryError::BodyNotText)?;
    if !body.ends_with('\n') {
        return Err(QueryError::NoFinalNewline);
    }
    let lines: Vec<&str> = body.lines().collect();
    if lines.is_empty() || lines.len() % 2 == 1 {
        return Err(QueryError::UnpairedLines);
    }
    if lines.len() / 2 > MAX_SEARCHES {
        return Err(QueryError::TooManySearches);
    }
    let parse_pair = |pair: &[&str]| {
        let mut parameters = parameters.clone();
        apply_header(&mut parameters, pair[0])?;
        Search::parse(indices, pair[1].as_bytes(), parameters)
    };
    Ok(lines.chunks(2).map(parse_pair).collect())
}

/// Applies a header line to the parameters. A blank line changes nothing.
fn apply_header(parameters: &mut SearchParameters, line: &str) -> Result<(), QueryError> {
    if line.trim().is_empty() {
        return Ok(());
    }
    let header: Map<String, Json> =
        serde_json::from_str(line).map_err(QueryError::MalformedHeader)?;
    for (name, value) in header {
        let value = match value {
            Json::String(text) => text,
            Json::Array(_) | Json::Object(_) | Json::Null => {
                return Err(QueryError::HeaderNotOneValue(name));
            }
            scalar => scalar.to_string(),
        };
        match name.as_str() {
            "index" => parameters.index = Some(value),
            _ => parameters.set(&name, value)?,
        }
    }
    Ok(())
}

/// Combines the responses to all searches into one. Each item has its own status; the head has the longest Retry-After
/// of all items.
fn combine(replies: &[Reply], took: Seconds) -> Reply {
    let longest_retry_after = replies
        .iter()
        .flat_map(|reply| &reply.headers)
        .filter(|(name, _)| *name == "Retry-After")
        .filter_map(|(_, value)| value.parse::<u64>().ok())
        .max();
    let mut body = format!("{{\"took\":{},\"responses\":[", millis(took)).into_bytes();
    for (position, reply) in replies.iter().enumerate() {
        if position > 0 {
            body.push(b',');
        }
        body.extend_from_slice(&reply.body);
        if reply.status == 200 {
            // The body of an error already has a status; that of an answer gets it here.
            body.pop();
            body.extend_from_slice(b",\"status\":200}");
        }
    }
    body.extend_from_slice(b"]}");
    let combined = Reply::json(200, body);
    match longest_retry_after {
        Some(seconds) => combined.with_header("Retry-After", seconds.to_string()),
        None => combined,
    }
}
