//! HTTP client helpers for both fronts and the admin API.

use super::http_message::read_message;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A response with its body parsed as JSON; `json` is null if the body isn't valid JSON.
pub struct Response {
    pub status: u16,
    pub fields: BTreeMap<String, String>,
    pub json: Value,
}

impl Response {
    /// Returns whether the response announces that the server closes the connection.
    pub fn closes_connection(&self) -> bool {
        let connection = self.fields.get("connection");
        connection.is_some_and(|value| value == "close")
    }
}

/// Sends one request on a new connection and reads the response. `line` is the method and target.
pub fn send_request(to: SocketAddr, line: &str, fields: &[(&str, &str)], body: &str) -> Response {
    let mut stream = TcpStream::connect(to).unwrap();
    let mut text = format!(
        "{line} HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("\r\n{body}"));
    stream.write_all(text.as_bytes()).unwrap();
    read_response(&mut BufReader::new(stream))
}

/// Reads one response. Returns status 0 if the connection ends before a complete response.
pub fn read_response(reader: &mut impl BufRead) -> Response {
    let Some(message) = read_message(reader) else {
        return Response {
            status: 0,
            fields: BTreeMap::new(),
            json: Value::Null,
        };
    };
    let status = message.line.split(' ').nth(1).unwrap().parse().unwrap();
    let json = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
    Response {
        status,
        fields: message.fields,
        json,
    }
}

/// Builds the text of a request with a single part, for shard 1. `deadline` is in seconds.
pub fn one_part_request(id: &str, class: &str, deadline: f64, query: &str) -> String {
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": query}).to_string();
    let head =
        format!("POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {deadline}\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}
