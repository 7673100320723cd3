//! A stand-in data node that speaks the OpenSearch query API.

use super::behavior::{Behavior, Irregularity, Malformation};
use super::data_nodes::{marker, part_value, DataNodes};
use super::http_message::{read_message, HttpMessage};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts the data node with this number and returns its address.
pub fn start_search_node(number: usize, data_nodes: Arc<DataNodes>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let data_nodes = data_nodes.clone();
            thread::spawn(move || serve_connection(stream, number, &data_nodes));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, number: usize, data_nodes: &Arc<DataNodes>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let message = read_message(&mut reader)?;
        data_nodes
            .raw_messages
            .lock()
            .unwrap()
            .push(message.line.clone());
        let shard = requested_shard(&message)?;
        let key = message.fields.get("idempotency-key").cloned();
        let query = String::from_utf8(message.body).unwrap();
        let part = data_nodes.receive(number, &query, shard, key.as_deref());
        let opaque_id = message.fields.get("x-opaque-id").cloned();
        let hits = hits(marker(&query), shard);
        match part.behavior {
            Behavior::CloseMidAnswer => {
                let body = search_body(&hits);
                let text = format!("{CHUNKED_HEAD}{}", chunk(&body[..9]));
                stream.write_all(text.as_bytes()).ok()?;
                return None;
            }
            Behavior::NoAnswer => {
                // A client that closes its connection cancels its search.
                let mut byte = [0];
                let _ = reader.read(&mut byte);
                part.cancelled.store(true, Ordering::Relaxed);
                return None;
            }
            behavior => {
                let text = answer(behavior, &hits);
                // As OpenSearch does, the answer names the search that it is for.
                let opaque_id = opaque_id.unwrap_or_default();
                let text = text.replace(
                    "Content-Type:",
                    &format!("X-Opaque-Id: {opaque_id}\r\nContent-Type:"),
                );
                stream.write_all(text.as_bytes()).ok()?;
                if let Behavior::Irregular(Irregularity::LateRepeatedAnswer(millis)) = behavior {
                    let mut stream = stream.try_clone().ok()?;
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(millis));
                        let _ = stream.write_all(text.as_bytes());
                    });
                }
            }
        }
    }
}

fn requested_shard(message: &HttpMessage) -> Option<u32> {
    let list = message.line.split("_shards:").nth(1)?;
    list.split('&').next()?.parse().ok()
}

fn hits(marker: u64, shard: u32) -> Value {
    let source = json!({"doc": part_value(marker, shard)});
    json!({"total": {"value": 1, "relation": "eq"}, "max_score": 1.5, "hits": [
        {"_index": "stock", "_id": shard.to_string(), "_score": 1.0 + f64::from(shard), "_source": source}]})
}

fn search_body(hits: &Value) -> String {
    let shards = json!({"total": 1, "successful": 1, "skipped": 0, "failed": 0});
    json!({"took": 3, "timed_out": false, "_shards": shards, "hits": hits}).to_string()
}

/// Builds the text of an answer. Blocks for the delay of `Behavior::Delay`.
fn answer(behavior: Behavior, hits: &Value) -> String {
    let body = search_body(hits);
    match behavior {
        Behavior::Respond(status, media_type, body) => response(status, media_type, body),
        Behavior::Serve
        | Behavior::Irregular(
            Irregularity::UnreadableReport | Irregularity::LateRepeatedAnswer(_),
        ) => json_response("200 OK", &body),
        Behavior::Irregular(Irregularity::RepeatedAnswer) => {
            json_response("200 OK", &body).repeat(2)
        }
        Behavior::Irregular(Irregularity::TrailingBytes) => json_response("200 OK", &body) + "HTT",
        Behavior::Malformed(malformation) => malformed_answer(malformation, &body),
        Behavior::Delay(millis) => {
            thread::sleep(Duration::from_millis(millis));
            let (first, second) = body.split_at(body.len() / 2);
            format!("{CHUNKED_HEAD}{}{}0\r\n\r\n", chunk(first), chunk(second))
        }
        Behavior::Busy => json_response(
            "429 Too Many Requests",
            r#"{"error":{"type":"x"},"status":429}"#,
        ),
        Behavior::Fail => json_response(
            "500 Internal Server Error",
            r#"{"error":{"type":"x"},"status":500}"#,
        ),
        // As when a shard fails after the status 200 and the first hits were sent.
        Behavior::MidStreamError => {
            let begun = format!("{{\"took\":3,\"timed_out\":false,\"hits\":{hits},");
            let end = r#""error":{"type":"search_phase_execution_exception"},"status":500}"#;
            format!("{CHUNKED_HEAD}{}{}0\r\n\r\n", chunk(&begun), chunk(end))
        }
        Behavior::CloseMidAnswer | Behavior::NoAnswer => {
            unreachable!("handled by serve_connection")
        }
    }
}

fn malformed_answer(malformation: Malformation, body: &str) -> String {
    match malformation {
        Malformation::WrongId => json_response("200 OK", "{\"hits\":{\"hits\":3}}"),
        Malformation::UnknownOutcome => json_response("299 Fine", body),
        Malformation::FrameType => json_response("OK", body),
        Malformation::HeaderLine => "\u{1}\r\n\r\n".into(),
        Malformation::UnterminatedLine => format!("HTTP/1.1 200 {}", "x".repeat(20_000)),
        Malformation::HugeLength => {
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}")
        }
        Malformation::ShortLength(short) => {
            let length = body.len() - short.missing;
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
        }
        Malformation::TruncatedBody => {
            let length = body.len() + 1;
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
        }
    }
}

fn json_response(status: &str, body: &str) -> String {
    response(status, "application/json", body)
}

fn response(status: &str, media_type: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: {media_type}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}
