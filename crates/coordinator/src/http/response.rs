//! Parsing of responses from servers and the discovery agent, and writing of responses to clients.

use super::body::{chunked_body, framing, sized_body, Body, Framing};
use super::error::MessageError;
use super::head::{fields, head_length, status_line, strip_empty_line, Fields};
use super::Parsed;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the sender closes the connection after this response.
    pub closes_connection: bool,
}

/// Parses the response at the front of `input`, with a body of at most `max_body` bytes.
///
/// The body of a response without framing extends to the end of the connection; `at_end` states whether that has been
/// reached.
pub fn parse_response(input: &[u8], at_end: bool, max_body: usize) -> Parsed<Response> {
    let Some(head_length) = head_length(input)? else {
        return Ok(None);
    };
    let (mut head, body_input) = input.split_at(head_length);
    let line = status_line(&mut head)
        .map_err(|_| MessageError::Malformed("the status line is malformed"))?;
    let fields = fields(&mut strip_empty_line(head))?;
    let mut closes_connection = fields.indicates_close(line.is_http_1_0);
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

/// Returns whether a response with this status has no body unless its head states a framing.
fn has_no_body(status: u16) -> bool {
    status == 204 || status == 304 || status < 200
}

/// Serializes a response whose body has the media type `content_type`.
///
/// `extra_fields` are additional header fields. `close_connection` adds `Connection: close`.
pub fn write_response(
    status: u16,
    content_type: &str,
    extra_fields: &[(&str, String)],
    close_connection: bool,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    let mut write_field = |name: &str, value: &str| {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    };
    write_field("Content-Type", content_type);
    write_field("Content-Length", &body.len().to_string());
    for (name, value) in extra_fields {
        write_field(name, value);
    }
    if close_connection {
        write_field("Connection", "close");
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
