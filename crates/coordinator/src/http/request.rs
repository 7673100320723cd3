//! Parsing of requests from clients and operators.

use super::body::{framing, BodyDecoder, Framing};
use super::error::MessageError;
use super::head::{
    fields, leading_empty_lines, parsed_size, request_line, strip_empty_line, Fields, HeadScanner,
    RequestLine,
};
use super::{Parsed, MAX_BODY, MAX_HEAD};
use bytes::{Buf, BytesMut};

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

/// Parses the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestParser {
    state: RequestState,
}

#[derive(Debug)]
enum RequestState {
    Head(HeadReader),
    Body(PartialRequest),
}

impl Default for RequestState {
    fn default() -> Self {
        RequestState::Head(HeadReader::default())
    }
}

/// A request whose head is complete.
#[derive(Debug)]
struct PartialRequest {
    line: RequestLine,
    fields: Fields,
    body: BodyDecoder,
    /// Whether the client waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// Waits for the head of a request.
#[derive(Debug, Default)]
struct HeadReader {
    /// Number of bytes of the empty lines before the request, which have been removed from the buffer.
    empty_line_bytes: usize,
    scanner: HeadScanner,
    /// Number of line feeds among the first `counted_bytes` bytes of the buffer.
    line_count: usize,
    counted_bytes: usize,
}

impl RequestParser {
    /// Removes the received bytes of a request from the front of `buffer`. Returns the request once it is complete. The
    /// caller may only append to `buffer` between two calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed or exceeds a limit. No request can be parsed after that.
    pub fn parse(&mut self, buffer: &mut BytesMut) -> Parsed<Request> {
        if let RequestState::Head(reader) = &mut self.state {
            let Some(partial) = reader.read(buffer)? else {
                return Ok(None);
            };
            self.state = RequestState::Body(partial);
        }
        if let RequestState::Body(partial) = &mut self.state {
            if !partial.body.decode(buffer, false)? {
                return Ok(None);
            }
        }
        match std::mem::take(&mut self.state) {
            RequestState::Body(partial) => Ok(Some(partial.into_request())),
            RequestState::Head(_) => Ok(None),
        }
    }

    /// Returns an upper bound of the memory that the request occupies, in bytes, once the bytes in `buffer` are parsed.
    pub fn size_after_parsing(&mut self, buffer: &BytesMut) -> usize {
        match &mut self.state {
            // What follows the head becomes the body.
            RequestState::Head(reader) => parsed_size(2 * buffer.len(), reader.count_lines(buffer)),
            RequestState::Body(partial) => {
                partial.fields.size() + partial.body.size_after(buffer.len())
            }
        }
    }

    /// Returns whether bytes of an incomplete request have been removed from the buffer.
    pub fn has_begun(&self) -> bool {
        match &self.state {
            RequestState::Head(reader) => reader.empty_line_bytes > 0,
            RequestState::Body(_) => true,
        }
    }

    /// Returns whether the client of the incomplete request waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        matches!(&self.state, RequestState::Body(partial) if partial.expects_continue)
    }
}

impl HeadReader {
    /// Returns the request without its body once the head is complete. Empty lines before the head count towards the
    /// limit of its size, so that a client can't send them without end.
    fn read(&mut self, buffer: &mut BytesMut) -> Parsed<PartialRequest> {
        self.remove_empty_lines(buffer);
        let max_length = MAX_HEAD.saturating_sub(self.empty_line_bytes);
        let Some(head_length) = self.scanner.head_length(buffer, max_length)? else {
            return Ok(None);
        };
        let partial = PartialRequest::parse(&buffer[..head_length])?;
        buffer.advance(head_length);
        Ok(Some(partial))
    }

    /// Returns the number of line feeds in the buffer. Bytes that were counted before are not counted again.
    fn count_lines(&mut self, buffer: &BytesMut) -> usize {
        let new = buffer.get(self.counted_bytes..).unwrap_or_default();
        self.line_count += new.iter().filter(|&&byte| byte == b'\n').count();
        self.counted_bytes = buffer.len();
        self.line_count
    }

    fn remove_empty_lines(&mut self, buffer: &mut BytesMut) {
        let length = leading_empty_lines(buffer);
        self.counted_bytes = self.counted_bytes.saturating_sub(length);
        self.empty_line_bytes = self.empty_line_bytes.saturating_add(length);
        buffer.advance(length);
    }
}

impl PartialRequest {
    fn parse(mut head: &[u8]) -> Result<Self, MessageError> {
        let line = request_line(&mut head)
            .map_err(|_| MessageError::Malformed("the request line is malformed"))?;
        let fields = fields(&mut strip_empty_line(head))?;
        // The body of a request without framing is empty.
        let framing = match framing(&fields, MAX_BODY)? {
            Framing::Unspecified => Framing::Length(0),
            framing => framing,
        };
        let expects_continue = fields.contains_token("expect", "100-continue");
        Ok(PartialRequest {
            line,
            fields,
            body: BodyDecoder::new(framing, MAX_BODY),
            expects_continue,
        })
    }

    fn into_request(self) -> Request {
        let close_requested = self.fields.indicates_close(self.line.is_http_1_0);
        Request {
            method: self.line.method,
            target: self.line.target,
            fields: self.fields,
            body: self.body.into_bytes(),
            close_requested,
        }
    }
}
