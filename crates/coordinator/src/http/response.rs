//! Responses: parsed as servers and the discovery service send them, and written for clients.

use super::body::{chunked_body, framing, sized_body, Body, Framing};
use super::error::MessageError;
use super::head::{fields, head_length, status_line, strip_empty_line, Fields};
use super::Parsed;

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// The sender closes the connection after this response.
    pub closes_connection: bool,
}

/// Parses the response at the front of `input`, whose body may be `max_body` bytes at most.
///
/// A response without framing lasts until the connection's end, which `at_end` states.
pub fn parse_response(input: &[u8], at_end: bool, max_body: usize) -> Parsed<Response> {
    let Some(head_length) = head_length(input)? else {
        return Ok(None);
    };
    let (mut head, body_input) = input.split_at(head_length);
    let line = status_line(&mut head)
        .map_err(|_| MessageError::Malformed("the status line is malformed"))?;
    let fields = fields(&mut strip_empty_line(head))?;
    let mut closes_connection = fields.ask_for_close(line.is_http_1_0);
    let body = match framing(&fields, max_body)? {
        Framing::Unspecified if has_no_body(line.status) => Some(Body::empty()),
        Framing::Unspecified if body_input.len() > max_body => {
            return Err(MessageError::BodyTooLarge)
        }
        Framing::Unspecified if !at_end => None,
        Framing::Unspecified => {
            closes_connection = true;
            Some(Body::verbatim(body_input))
        }
        Framing::Length(length) => sized_body(body_input, length),
        Framing::Chunked => chunked_body(body_input, max_body)?,
    };
    Ok(body.map(|body| {
        let response = Response {
            status: line.status,
            fields,
            body: body.bytes,
            closes_connection,
        };
        (response, head_length + body.wire_length)
    }))
}

/// Whether a response of this status has no body unless its head frames one.
fn has_no_body(status: u16) -> bool {
    status == 204 || status == 304 || status < 200
}

/// Returns the bytes of a response whose body has the media type `content_type`.
///
/// `extra` are further header fields; `close` announces that the connection is closed after it.
pub fn write_response(
    status: u16,
    content_type: &str,
    extra: &[(&str, String)],
    close: bool,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    let mut put = |name: &str, value: &str| {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    };
    put("Content-Type", content_type);
    put("Content-Length", &body.len().to_string());
    for (name, value) in extra {
        put(name, value);
    }
    if close {
        put("Connection", "close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
