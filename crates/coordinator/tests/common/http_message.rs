//! Reads bytes and HTTP messages for the stand-ins and clients.

use std::collections::BTreeMap;
use std::io::{BufRead, Read};
use std::net::TcpStream;

/// Reads exactly `length` bytes. Returns `None` if the stream ends or fails first.
pub fn read_exact(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

/// An HTTP message: its start line, its header fields by lower-case name, and its body.
pub struct HttpMessage {
    pub line: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message. Returns `None` if the stream ends or fails first.
pub fn read_message(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let mut fields = BTreeMap::new();
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).ok().filter(|&n| n > 0)?;
        let Some((name, value)) = field.trim_end().split_once(':') else {
            break;
        };
        fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = fields
        .get("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage {
        line: line.trim_end().to_string(),
        fields,
        body,
    })
}
