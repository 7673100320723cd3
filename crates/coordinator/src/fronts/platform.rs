//! The platform's own protocol: `POST /api`, with the class and the deadline in header fields.

use super::exchange::{ClientDisconnected, Exchange};
use super::front::Front;
use super::reply::Reply;
use crate::http;
use crate::messages::{
    Answer, ClientLiveness, IdempotencyKey, MalformedIdempotencyKey, PartAnswer, PartSpec,
    PartValue, Payload, Request,
};
use cairnroad_settings::Deployment;
use cairnroad_types::{Idempotency, Seconds, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Part of a client's deadline that is assumed to be spent on the network.
const CLIENT_NETWORK_DELAY: Seconds = 0.003;
/// The header field that carries the key of a query of a keyed class.
const IDEMPOTENCY_KEY_FIELD: &str = "Idempotency-Key";
/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 128;
/// Upper bound of a deadline, exclusive.
const DEADLINE_BOUND: Seconds = 1e6;
/// Maximum weight of one part: 1 and a tolerance for rounding by clients.
const MAX_WEIGHT: f64 = 1.001;
/// Maximum difference of the sum of all weights from 1: clients round each weight.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
const MICROS_PER_SECOND: f64 = 1e6;
/// Minimum Retry-After. The value is written with millisecond precision, and 0 would tell the client nothing.
const MIN_RETRY_AFTER: Seconds = 0.001;

/// The body of a request. The type names `Body` and `Shard` appear in error texts to clients.
#[derive(Deserialize)]
struct Body {
    shards: Vec<Shard>,
    q: String,
}

/// One requested part.
#[derive(Deserialize)]
struct Shard {
    shard: u32,
    /// Share of the complete answer.
    weight: f64,
    /// Expected work in microseconds.
    cost: Option<f64>,
}

#[derive(Serialize)]
struct ServedBody<'a> {
    complete: bool,
    hits: Vec<Hit<'a>>,
}

#[derive(Serialize)]
struct Hit<'a> {
    shard: u32,
    doc: &'a str,
}

/// The reason why a request is answered with status 400. The text is sent to the client.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    #[error("X-Request-Id is malformed")]
    MalformedRequestId,
    #[error("X-Class is unknown")]
    UnknownClass,
    #[error("X-Deadline is not a number")]
    DeadlineNotANumber,
    #[error("X-Deadline is out of bounds")]
    DeadlineOutOfBounds,
    #[error("{IDEMPOTENCY_KEY_FIELD}: {0}")]
    MalformedIdempotencyKey(#[from] MalformedIdempotencyKey),
    #[error("{IDEMPOTENCY_KEY_FIELD} is there twice")]
    RepeatedIdempotencyKey,
    #[error("the body: {0}")]
    MalformedBody(#[source] serde_json::Error),
    #[error("shards is empty")]
    NoShards,
    #[error("shards: there is no shard {0}")]
    UnknownShard(u32),
    #[error("shards: {0} is there twice")]
    RepeatedShard(u32),
    #[error("shards: the weight of {0} is out of bounds")]
    WeightOutOfBounds(u32),
    #[error("shards: the weights add up to {0}, not to 1")]
    WeightSum(f64),
}

/// Answers one request. `arrived_at` is the time from which its deadline counts.
pub async fn answer(
    front: &Front,
    request: http::Request,
    arrived_at: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ClientDisconnected> {
    let path = request.target.split('?').next().unwrap_or("");
    match (path, request.method.as_str()) {
        ("/api", "POST") => {}
        ("/api", _) => {
            let reply = error_reply(405, "only POST is answered here");
            return Ok(reply.with_header("Allow", "POST".into()));
        }
        _ => return Ok(error_reply(404, "there is nothing at this path")),
    }
    let parsed = parse_request(
        &front.served_configuration().deployment,
        &request,
        arrived_at,
    );
    drop(request);
    let core_request = match parsed {
        Ok(core_request) => core_request,
        Err(error) => return Ok(error_reply(400, &error.to_string())),
    };
    let answers = exchange.submit(vec![core_request]).await?;
    Ok(match answers.into_iter().next() {
        Some(answer) => answer_reply(answer),
        None => error_reply(500, "no answer"),
    })
}

/// Converts an HTTP message to a request for the core.
fn parse_request(
    deployment: &Deployment,
    message: &http::Request,
    arrived_at: Time,
) -> Result<Request, RequestError> {
    let header = |name: &'static str| {
        let value = message.fields.get(name);
        value.ok_or(RequestError::MissingHeader(name))
    };
    let id = header("X-Request-Id")?;
    if !is_request_id(id) {
        return Err(RequestError::MalformedRequestId);
    }
    let class = deployment
        .class_index(header("X-Class")?)
        .ok_or(RequestError::UnknownClass)?;
    let deadline = parse_deadline(header("X-Deadline")?)?;
    let idempotency_key = match deployment.policy.classes[class].idempotency {
        Idempotency::IdempotentWithKey => Some(required_idempotency_key(message)?),
        Idempotency::Idempotent | Idempotency::AtMostOnce => None,
    };
    let body: Body = serde_json::from_slice(&message.body).map_err(RequestError::MalformedBody)?;
    let parts: Vec<_> = body
        .shards
        .iter()
        .map(|requested| PartSpec {
            shard: requested.shard,
            weight: requested.weight,
        })
        .collect();
    check_parts(deployment, &parts)?;
    let work_micros: Option<f64> = body.shards.iter().map(|requested| requested.cost).sum();
    Ok(Request {
        external_id: id.into(),
        is_named_by_client: true,
        class,
        deadline: arrived_at + (deadline - CLIENT_NETWORK_DELAY),
        client_retry: message.fields.get("X-Retry") == Some("1"),
        expected_work: work_micros.map(|micros| micros / MICROS_PER_SECOND),
        parts,
        idempotency_key,
        payload: Payload::Plain(body.q.into()),
        contracts: None,
        client: ClientLiveness::default(),
        memory: None,
    })
}

/// Returns the key of a query of a keyed class, which has to state exactly one.
fn required_idempotency_key(message: &http::Request) -> Result<IdempotencyKey, RequestError> {
    let mut values = message.fields.values(IDEMPOTENCY_KEY_FIELD);
    let value = values
        .next()
        .ok_or(RequestError::MissingHeader(IDEMPOTENCY_KEY_FIELD))?;
    if values.next().is_some() {
        return Err(RequestError::RepeatedIdempotencyKey);
    }
    Ok(IdempotencyKey::parse(value)?)
}

/// Returns whether data nodes accept this request id, which is written in the head of frames.
fn is_request_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_LENGTH && id.bytes().all(allowed)
}

fn parse_deadline(text: &str) -> Result<Seconds, RequestError> {
    let deadline: Seconds = text.parse().map_err(|_| RequestError::DeadlineNotANumber)?;
    if deadline.is_finite() && deadline > 0.0 && deadline < DEADLINE_BOUND {
        Ok(deadline)
    } else {
        Err(RequestError::DeadlineOutOfBounds)
    }
}

/// Checks the parts: there is at least one, each has a different, existing shard, and the weights sum to 1.
fn check_parts(deployment: &Deployment, parts: &[PartSpec]) -> Result<(), RequestError> {
    if parts.is_empty() {
        return Err(RequestError::NoShards);
    }
    let mut shards = BTreeSet::new();
    for part in parts {
        if part.shard >= deployment.shards {
            return Err(RequestError::UnknownShard(part.shard));
        }
        if !shards.insert(part.shard) {
            return Err(RequestError::RepeatedShard(part.shard));
        }
        if !(part.weight.is_finite() && part.weight > 0.0 && part.weight <= MAX_WEIGHT) {
            return Err(RequestError::WeightOutOfBounds(part.shard));
        }
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(RequestError::WeightSum(sum));
    }
    Ok(())
}

/// Converts a final answer to a response of this protocol.
fn answer_reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served { complete, parts } => served_reply(complete, &parts),
        Answer::Rejected {
            retry_after,
            over_capacity,
        } => {
            let status = if over_capacity { 429 } else { 503 };
            retry_later_reply(status, "refused: trying again is harmless", retry_after)
        }
        Answer::DuplicateExternalId => error_reply(409, "X-Request-Id was used before"),
        Answer::Failed { timed_out: true } => error_reply(504, "failed: no answer in time"),
        Answer::Failed { timed_out: false } => error_reply(500, "failed"),
    }
}

fn served_reply(complete: bool, parts: &[PartAnswer]) -> Reply {
    let mut hits = Vec::with_capacity(parts.len());
    for part in parts {
        let Ok(value) = &part.value else { continue };
        // A value that is not UTF-8 can't be forwarded unchanged in a JSON string.
        let doc = match value {
            PartValue::Hits(text) => text,
            PartValue::Plain(bytes) => match std::str::from_utf8(bytes) {
                Ok(text) => text,
                Err(_) => return error_reply(502, "a value is not text"),
            },
        };
        hits.push(Hit {
            shard: part.shard,
            doc,
        });
    }
    let body = serde_json::to_vec(&ServedBody { complete, hits }).unwrap_or_default();
    Reply::json(200, body)
}

/// Returns an error response with a Retry-After in seconds, to the millisecond.
pub fn retry_later_reply(status: u16, text: &str, retry_after: Seconds) -> Reply {
    let seconds = retry_after.max(MIN_RETRY_AFTER);
    error_reply(status, text).with_header("Retry-After", format!("{seconds:.3}"))
}

/// Returns an error response.
pub fn error_reply(status: u16, text: &str) -> Reply {
    let body = serde_json::json!({ "error": text });
    Reply::json(status, body.to_string().into_bytes())
}
