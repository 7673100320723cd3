//! Parsing of responses from servers and the discovery agent, and writing of responses to clients.

use super::body::{framing, BodyDecoder, Framing};
use super::error::MessageError;
use super::head::{fields, status_line, strip_empty_line, Fields, HeadScanner};
use super::{Parsed, MAX_HEAD};
use bytes::{Buf, BytesMut};

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

/// Parses the responses of one connection.
#[derive(Debug)]
pub struct ResponseParser {
    max_body: usize,
    state: ResponseState,
}

#[derive(Debug)]
enum ResponseState {
    Head(HeadScanner),
    Body(PartialResponse),
}

impl Default for ResponseState {
    fn default() -> Self {
        ResponseState::Head(HeadScanner::default())
    }
}

/// A response whose head is complete.
#[derive(Debug)]
struct PartialResponse {
    status: u16,
    fields: Fields,
    closes_connection: bool,
    body: BodyDecoder,
}

impl ResponseParser {
    /// Creates a parser of responses whose bodies have at most `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        ResponseParser {
            max_body,
            state: ResponseState::default(),
        }
    }

    /// Removes the received bytes of a response from the front of `buffer`. Returns the response once it is complete. The
    /// caller may only append to `buffer` between two calls.
    ///
    /// The body of a response without framing extends to the end of the connection; `at_end` states whether that has
    /// been reached.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed or exceeds a limit. No response can be parsed after that.
    pub fn parse(&mut self, buffer: &mut BytesMut, at_end: bool) -> Parsed<Response> {
        if let ResponseState::Head(scanner) = &mut self.state {
            let Some(head_length) = scanner.head_length(buffer, MAX_HEAD)? else {
                return Ok(None);
            };
            let partial = PartialResponse::parse(&buffer[..head_length], self.max_body)?;
            buffer.advance(head_length);
            self.state = ResponseState::Body(partial);
        }
        if let ResponseState::Body(partial) = &mut self.state {
            if !partial.body.decode(buffer, at_end)? {
                return Ok(None);
            }
        }
        match std::mem::take(&mut self.state) {
            ResponseState::Body(partial) => Ok(Some(partial.into_response())),
            ResponseState::Head(_) => Ok(None),
        }
    }

    /// Returns the memory that the decoded part of the body occupies, in bytes.
    pub fn body_size(&self) -> usize {
        match &self.state {
            ResponseState::Head(_) => 0,
            ResponseState::Body(partial) => partial.body.size_after(0),
        }
    }

    /// Returns the received part of the body of an incomplete response; `None` until its head is complete.
    pub fn partial_body(&self) -> Option<&[u8]> {
        match &self.state {
            ResponseState::Head(_) => None,
            ResponseState::Body(partial) => Some(partial.body.bytes()),
        }
    }
}

impl PartialResponse {
    fn parse(mut head: &[u8], max_body: usize) -> Result<Self, MessageError> {
        let line = status_line(&mut head)
            .map_err(|_| MessageError::Malformed("the status line is malformed"))?;
        let fields = fields(&mut strip_empty_line(head))?;
        let framing = match framing(&fields, max_body)? {
            Framing::Unspecified if has_no_body(line.status) => Framing::Length(0),
            framing => framing,
        };
        let ends_connection = matches!(framing, Framing::Unspecified);
        Ok(PartialResponse {
            status: line.status,
            closes_connection: fields.indicates_close(line.is_http_1_0) || ends_connection,
            fields,
            body: BodyDecoder::new(framing, max_body),
        })
    }

    fn into_response(self) -> Response {
        Response {
            status: self.status,
            fields: self.fields,
            body: self.body.into_bytes(),
            closes_connection: self.closes_connection,
        }
    }
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
