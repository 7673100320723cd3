//! Parsing of requests from clients and operators.

use super::body::{chunked_body, framing, sized_body, Body, Framing};
use super::error::MessageError;
use super::head::{
    fields, head_length, leading_empty_lines, request_line, strip_empty_line, Fields,
};
use super::{Parsed, MAX_BODY, MAX_MESSAGE};

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method as received; methods are case-sensitive.
    pub method: String,
    /// The path and query string as received.
    pub target: String,
    /// The header fields.
    pub fields: Fields,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the connection must be closed after the response, as the client requested.
    pub close_requested: bool,
}

/// Parses the request at the front of `input`.
pub fn parse_request(input: &[u8]) -> Parsed<Request> {
    let start = leading_empty_lines(input);
    let input = &input[start..];
    let Some(head_length) = head_length(input)? else {
        return Ok(None);
    };
    let (mut head, body_input) = input.split_at(head_length);
    let line = request_line(&mut head)
        .map_err(|_| MessageError::Malformed("the request line is malformed"))?;
    let fields = fields(&mut strip_empty_line(head))?;
    let body = match framing(&fields, MAX_BODY)? {
        Framing::Unspecified => Some(Body::empty()),
        Framing::Length(length) => sized_body(body_input, length),
        Framing::Chunked => match chunked_body(body_input, MAX_BODY)? {
            // The framing of very small chunks, or endless chunk extensions, must not fill the buffer either.
            None if input.len() > MAX_MESSAGE => return Err(MessageError::BodyTooLarge),
            body => body,
        },
    };
    let Some(body) = body else {
        return Ok(None);
    };
    let close_requested = fields.indicates_close(line.is_http_1_0);
    let request = Request {
        method: line.method,
        target: line.target,
        fields,
        body: body.bytes,
        close_requested,
    };
    Ok(Some((request, start + head_length + body.wire_length)))
}

/// Returns whether `input` starts with a complete head whose sender waits for `100 Continue` before it sends the body.
pub fn expects_continue(input: &[u8]) -> bool {
    let input = &input[leading_empty_lines(input)..];
    let Ok(Some(head_length)) = head_length(input) else {
        return false;
    };
    let mut head = &input[..head_length];
    request_line(&mut head).is_ok()
        && fields(&mut strip_empty_line(head))
            .is_ok_and(|fields| fields.contains_token("expect", "100-continue"))
}
