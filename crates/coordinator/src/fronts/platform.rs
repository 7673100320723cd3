//! The platform's own protocol: `POST /api` with the class and the deadline in header fields.

use super::exchange::{decimal, Exchange, Front, Reply};
use crate::http;
use crate::messages::{Answer, PartSpec, Request, Text, Value};
use cairnroad_settings::Deployment;
use cairnroad_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a client is thought to have spent on the way, in seconds.
const ON_THE_WAY: f64 = 0.003;
/// The longest name of a request.
const MOST_NAME: usize = 128;

#[derive(Deserialize)]
struct Body {
    shards: Vec<Shard>,
    q: String,
}

#[derive(Deserialize)]
struct Shard {
    shard: u32,
    weight: f64,
    cost: Option<f64>,
}

#[derive(Serialize)]
struct Whole<'a> {
    complete: bool,
    hits: Vec<Hit<'a>>,
}

#[derive(Serialize)]
struct Hit<'a> {
    shard: u32,
    doc: &'a str,
}

/// Answers one request; `Err`: its client is gone.
pub async fn answer(
    front: &Front,
    request: &http::Request,
    arrived: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ()> {
    let path = request.target.split('?').next().unwrap_or("");
    match (path, request.method.as_str()) {
        ("/api", "POST") => {}
        ("/api", _) => {
            return Ok(error(405, "only POST is answered here").with("Allow", "POST".into()))
        }
        _ => return Ok(error(404, "there is nothing at this path")),
    }
    match read(&front.offer().deployment, request, arrived) {
        Err(text) => Ok(error(400, &text)),
        Ok(asked) => {
            let answers = exchange.ask(vec![asked]).await?;
            Ok(answers
                .into_iter()
                .next()
                .map_or_else(|| error(500, "no answer"), word))
        }
    }
}

/// The request that the message stands for; the error says what is wrong with it.
pub fn read(
    deployment: &Deployment,
    message: &http::Request,
    arrived: Time,
) -> Result<Request, String> {
    let field = |name: &str| message.fields.get(name).ok_or(format!("{name} is missing"));
    let name = field("X-Request-Id")?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    if name.is_empty() || name.len() > MOST_NAME || !name.bytes().all(plain) {
        return Err("X-Request-Id is malformed".into());
    }
    let class = field("X-Class")?;
    let class = deployment.class_index(class).ok_or("X-Class is unknown")?;
    let wait: f64 = field("X-Deadline")?
        .parse()
        .map_err(|_| "X-Deadline is not a number")?;
    if !(wait.is_finite() && wait > 0.0 && wait < 1e6) {
        return Err("X-Deadline is out of bounds".into());
    }
    let body: Body = serde_json::from_slice(&message.body).map_err(|e| format!("the body: {e}"))?;
    let parts: Vec<_> = body
        .shards
        .iter()
        .map(|s| PartSpec {
            shard: s.shard,
            weight: s.weight,
        })
        .collect();
    check_parts(deployment, &parts)?;
    let costs: Option<f64> = body.shards.iter().map(|shard| shard.cost).sum();
    Ok(Request {
        name: name.into(),
        class,
        deadline: arrived + (wait - ON_THE_WAY),
        client_retry: message.fields.get("X-Retry") == Some("1"),
        expected_work: costs.map(|micros| micros / 1e6),
        parts,
        text: Text::Plain(body.q.into()),
        contracts: None,
    })
}

/// Parts that the core can work with: some, each at a shard of its own that exists, with sound weights.
fn check_parts(deployment: &Deployment, parts: &[PartSpec]) -> Result<(), String> {
    if parts.is_empty() {
        return Err("shards is empty".into());
    }
    let mut seen = BTreeSet::new();
    for part in parts {
        if part.shard >= deployment.shards {
            return Err(format!("shards: there is no shard {}", part.shard));
        }
        if !seen.insert(part.shard) {
            return Err(format!("shards: {} is there twice", part.shard));
        }
        if !(part.weight.is_finite() && part.weight > 0.0 && part.weight <= 1.001) {
            return Err(format!(
                "shards: the weight of {} is out of bounds",
                part.shard
            ));
        }
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > 0.01 {
        return Err(format!("shards: the weights add up to {sum}, not to 1"));
    }
    Ok(())
}

/// The final answer in this protocol's words.
fn word(answer: Answer) -> Reply {
    match answer {
        Answer::Served {
            complete: whole,
            parts,
        } => {
            let mut hits = Vec::with_capacity(parts.len());
            for part in &parts {
                let Ok(value) = &part.value else { continue };
                // A value that a JSON string can't carry unchanged can't be passed on at all.
                let doc = match value {
                    Value::Hits(text) => text,
                    Value::Plain(bytes) => match std::str::from_utf8(bytes) {
                        Ok(text) => text,
                        Err(_) => return error(502, "a value is not text"),
                    },
                };
                hits.push(Hit {
                    shard: part.shard,
                    doc,
                });
            }
            let body = serde_json::to_vec(&Whole {
                complete: whole,
                hits,
            })
            .unwrap_or_default();
            Reply::json(200, body)
        }
        Answer::Rejected { retry_after, busy } => {
            let status = if busy { 429 } else { 503 };
            error(status, "refused: trying again is harmless")
                .with("Retry-After", decimal(retry_after))
        }
        Answer::DuplicateName => error(409, "X-Request-Id was used before"),
        Answer::Failed { late: true } => error(504, "failed: no answer in time"),
        Answer::Failed { late: false } => error(500, "failed"),
    }
}

/// A refusal for want of room, or of time to come in.
pub fn later(status: u16, text: &str, advice: f64) -> Reply {
    error(status, text).with("Retry-After", decimal(advice))
}

pub fn error(status: u16, text: &str) -> Reply {
    Reply::json(
        status,
        serde_json::json!({ "error": text })
            .to_string()
            .into_bytes(),
    )
}
