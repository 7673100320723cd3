//! The query API as a server's wire: each part is a search of one shard, one request at a time on a connection.

use crate::connections::connection::{Command, ConnectionHandle};
use crate::http::{self, Response};
use crate::messages::{ConnectionEvent, OutboundAttempt, Text, Value};
use cairnroad_types::{Outcome, Time};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest answer that is read.
const MOST_ANSWER: usize = 1024 * 1024;

/// How long an answer that has begun may bring nothing more. One that stands still has a length that doesn't fit.
const STALL: Duration = Duration::from_secs(1);

/// The request of a part.
pub fn search(job: &OutboundAttempt, host: &str, now: Time) -> Vec<u8> {
    let body = match &job.text {
        Text::Query(text) => text.to_string(),
        Text::Plain(text) => {
            json!({"query": {"query_string": {"query": text.as_ref()}}}).to_string()
        }
    };
    let wait = (((job.deadline - now) * 1000.0) as i64).max(1);
    let head = format!(
        "POST /{}/_search?preference=_shards:{}&allow_partial_search_results=false\
         &cancel_after_time_interval={wait}ms HTTP/1.1\r\nHost: {host}\r\nX-Opaque-Id: {}.{}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        job.class,
        job.shard,
        job.name,
        job.shard,
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

#[derive(Deserialize)]
struct Answer<'a> {
    #[serde(default)]
    timed_out: bool,
    #[serde(rename = "_shards")]
    shards: Option<Shards>,
    #[serde(borrow)]
    hits: Option<&'a RawValue>,
    #[serde(borrow)]
    error: Option<&'a RawValue>,
}

/// What a hits object must have to be merged with others.
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

/// What a response says of its part. Only 429 is a server's word that it never began; an error, in the head or
/// in a body whose head said 200, leaves open whether the part ran.
pub fn outcome(response: &Response) -> (Outcome, Option<Value>) {
    match response.status {
        200 => {}
        429 => return (Outcome::Rejected, None),
        _ => return (Outcome::Error, None),
    }
    let Ok(text) = std::str::from_utf8(&response.body) else {
        return (Outcome::Error, None);
    };
    match serde_json::from_str::<Answer>(text) {
        Ok(Answer {
            timed_out: false,
            shards,
            hits: Some(hits),
            error: None,
        }) if serde_json::from_str::<Hits>(hits.get()).is_ok()
            && shards.as_ref().is_none_or(|shards| shards.failed == 0) =>
        {
            (Outcome::Ok, Some(Value::Hits(hits.get().into())))
        }
        _ => (Outcome::Error, None),
    }
}

/// A connection's life.
pub async fn run(mut end: ConnectionHandle) {
    let Some(mut stream) = end.dial().await else {
        return end.close(Vec::new(), Outcome::ConnectFailed).await;
    };
    let shared = end.shared.clone();
    let mut buffer = Vec::new();
    let mut unsent = Vec::new();
    let mut why = Outcome::ConnectFailed;
    loop {
        let command = tokio::select! {
            () = shared.done() => break,
            command = end.commands.recv() => command,
            // Between requests a server has nothing to say: what comes is the connection's end.
            read = stream.read_buf(&mut buffer) => {
                if matches!(read, Ok(bytes) if bytes > 0) {
                    tracing::warn!(server = %end.address, cause = "bytes that nobody asked for", "connection closed");
                    why = Outcome::NotSent;
                }
                break;
            }
        };
        match command {
            None => break,
            Some(Command::Call(jobs)) if end.barred() => {
                for job in jobs {
                    end.ended(job.attempt, Outcome::ConnectFailed, None).await;
                }
            }
            // The pool gives this backend calls of one part.
            Some(Command::Call(jobs)) => {
                let mut jobs = jobs.into_iter();
                let Some(job) = jobs.next() else { continue };
                unsent.extend(jobs);
                if !job.may_be_sent(end.clock.now()) {
                    end.ended(job.attempt, Outcome::NotSent, None).await;
                    continue;
                }
                if !exchange(&mut end, &mut stream, &mut buffer, job).await {
                    break;
                }
            }
            // The part was answered meanwhile.
            Some(Command::Cancel(_)) => {}
            // This API has no report of the platform's kind.
            Some(Command::Probe) => {
                end.tell(ConnectionEvent::HealthCheckEnded {
                    outcome: Outcome::NotSent,
                    report: Vec::new(),
                })
                .await;
            }
        }
    }
    end.spend();
    end.close(unsent, why).await;
}

/// One search. Whether the connection can take another.
async fn exchange(
    end: &mut ConnectionHandle,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    job: OutboundAttempt,
) -> bool {
    let host = end.address.to_string();
    let request = search(&job, &host, end.clock.now());
    let mut written = 0;
    let shared = end.shared.clone();
    let (mut reader, mut writer) = stream.split();
    loop {
        tokio::select! {
            // Cancels come first: a part that was given up while its connection came up must not be sent.
            biased;
            // The core is done with this part or with the connection: closing it tells the server.
            () = shared.done() => break,
            command = end.commands.recv() => match command {
                Some(Command::Cancel(attempt)) if attempt == job.attempt => return false,
                Some(Command::Cancel(_)) => {}
                Some(Command::Probe) => {
                    end.tell(ConnectionEvent::HealthCheckEnded { outcome: Outcome::NotSent, report: Vec::new() }).await;
                }
                Some(Command::Call(jobs)) => {
                    for job in jobs {
                        end.ended(job.attempt, Outcome::ConnectFailed, None).await;
                    }
                }
                None => break,
            },
            wrote = writer.write(&request[written..]), if written < request.len() => match wrote {
                Ok(bytes) if bytes > 0 => written += bytes,
                _ => break,
            },
            () = tokio::time::sleep(STALL), if !buffer.is_empty() => {
                tracing::warn!(server = host, class = %job.class, request = %job.name, cause = "half an answer and no more", "connection closed");
                cut(end, &job, &request, buffer);
                end.ended(job.attempt, Outcome::Error, None).await;
                return false;
            }
            read = reader.read_buf(buffer), if written == request.len() => {
                let ended = matches!(read, Ok(0));
                if read.is_err() {
                    break;
                }
                match http::response(buffer, ended, MOST_ANSWER) {
                    Ok(Some((response, used))) => {
                        buffer.drain(..used);
                        let (mut outcome, mut value) = outcome(&response);
                        if !end.contracts.exchange(&job.contracts, &end.server, &request, &response, true) {
                            (outcome, value) = (Outcome::Error, None);
                        }
                        // More than the answer came: the next search would be given it for its own.
                        let more = !buffer.is_empty();
                        if more {
                            tracing::warn!(server = host, class = %job.class, request = %job.name, cause = "more than the answer came", "connection closed");
                        }
                        let usable = !response.close && !ended && !more;
                        if !usable {
                            end.spend();
                        }
                        end.ended(job.attempt, outcome, value).await;
                        return usable;
                    }
                    Ok(None) if ended => {
                        if !buffer.is_empty() {
                            cut(end, &job, &request, buffer);
                        }
                        break;
                    }
                    Ok(None) => {}
                    Err(bad) => {
                        tracing::warn!(server = host, class = %job.class, request = %job.name, cause = bad.text(), "connection closed");
                        end.ended(job.attempt, Outcome::Error, None).await;
                        return false;
                    }
                }
            }
        }
    }
    // Before its last byte the request cannot have run; after it, it may have, however the answer was cut.
    let outcome = if written < request.len() {
        Outcome::ConnectFailed
    } else {
        Outcome::Reset
    };
    end.ended(job.attempt, outcome, None).await;
    false
}

/// Tells of an answer that began and did not come whole.
fn cut(end: &ConnectionHandle, job: &OutboundAttempt, request: &[u8], buffer: &[u8]) {
    let response = Response {
        status: 0,
        fields: http::Fields::default(),
        body: buffer.to_vec(),
        close: true,
    };
    end.contracts
        .exchange(&job.contracts, &end.server, request, &response, false);
}
