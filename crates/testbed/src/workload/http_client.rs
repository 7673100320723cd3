//! Exchanges requests and responses over persistent HTTP/1.1 connections.

use super::classes::CLASSES;
use super::client::{ClientOptions, IdleConnections};
use super::QueryArrival;
use crate::run_log::QueryMarker;
use serde_json::{json, Value};
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Seconds until a client retries if the response has no `Retry-After` header.
const DEFAULT_RETRY_AFTER: f64 = 0.1;

/// A connection to a front.
pub(super) type Connection = BufReader<TcpStream>;

/// The response of a front.
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) body: Value,
    /// Seconds until the client may retry.
    pub(super) retry_after: f64,
    /// Whether the front closes the connection after this response.
    closes_connection: bool,
}

/// Sends one try of a query, on an idle connection if there is one. `time_left` is in seconds.
pub(super) async fn send_query(
    arrival: &QueryArrival,
    client_try: u32,
    options: &ClientOptions,
    time_left: f64,
    idle: &IdleConnections,
) -> std::io::Result<HttpResponse> {
    let address = options.fronts.address(arrival.query_front);
    let known = idle.take(address);
    let is_fresh = known.is_none();
    let mut connection = match known {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    let key = options
        .confirm_effect
        .idempotency_key(arrival.class, arrival.query);
    let request = encode_request(arrival, client_try, key.as_deref(), time_left);
    let mut response = exchange(&mut connection, &request).await;
    let was_closed = |error: &Error| error.kind() == ErrorKind::UnexpectedEof;
    // An idle connection may have been closed by the front. The request is then sent once more on a new connection.
    if !is_fresh && response.as_ref().is_err_and(was_closed) {
        connection = connect(address).await?;
        response = exchange(&mut connection, &request).await;
    }
    let response = response?;
    if !response.closes_connection {
        idle.put(address, connection);
    }
    Ok(response)
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

fn encode_request(
    arrival: &QueryArrival,
    client_try: u32,
    key: Option<&str>,
    time_left: f64,
) -> Vec<u8> {
    let marker = QueryMarker {
        class: arrival.class,
        query: arrival.query,
        client_try,
    };
    let class = CLASSES[arrival.class];
    let (request_line, body) = if arrival.query_front {
        search_request(arrival, class, &marker.to_text(), time_left)
    } else {
        platform_request(arrival, &marker.to_text())
    };
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let retry = if client_try > 1 { "X-Retry: 1\r\n" } else { "" };
    format!(
        "{request_line} HTTP/1.1\r\n\
         Host: lab\r\n\
         X-Request-Id: q{}-{client_try}\r\n\
         X-Class: {class}\r\n\
         X-Deadline: {time_left:.3}\r\n\
         {key}{retry}Content-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        arrival.query,
        body.len()
    )
    .into_bytes()
}

fn search_request(
    arrival: &QueryArrival,
    class: &str,
    text: &str,
    time_left: f64,
) -> (String, String) {
    let shards: Vec<String> = arrival.shards.iter().map(u32::to_string).collect();
    let line = format!(
        "POST /{class}/_search?preference=_shards:{}&timeout={}ms",
        shards.join(","),
        (time_left * 1000.0) as u64
    );
    let body = json!({"query": {"match": {"lab": text}}, "size": 100});
    (line, body.to_string())
}

fn platform_request(arrival: &QueryArrival, text: &str) -> (String, String) {
    let weight = 1.0 / arrival.shards.len() as f64;
    let part = |shard: &u32| json!({"shard": shard, "weight": weight});
    let shards: Vec<Value> = arrival.shards.iter().map(part).collect();
    let body = json!({"shards": shards, "q": text});
    ("POST /api".to_string(), body.to_string())
}

async fn exchange(connection: &mut Connection, request: &[u8]) -> std::io::Result<HttpResponse> {
    let closed = || Error::from(ErrorKind::UnexpectedEof);
    if connection.write_all(request).await.is_err() {
        return Err(closed());
    }
    let mut line = String::new();
    if connection.read_line(&mut line).await.unwrap_or(0) == 0 {
        return Err(closed());
    }
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut response = HttpResponse {
        status: status.unwrap_or(0),
        body: Value::Null,
        retry_after: DEFAULT_RETRY_AFTER,
        closes_connection: false,
    };
    let mut length = 0;
    loop {
        line.clear();
        connection.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "retry-after" => response.retry_after = value.parse().unwrap_or(DEFAULT_RETRY_AFTER),
            "connection" => response.closes_connection = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    connection.read_exact(&mut body).await?;
    response.body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok(response)
}
