//! Message bodies: their framing, and their bytes once they are completely received.

use super::error::MessageError;
use super::head::{head_length, is_line_break, line_end, Fields, RuleResult};
use winnow::ascii::hex_uint;
use winnow::token::take_till;
use winnow::Parser;

/// Maximum number of buffered bytes in which the end of a chunk's size line is still awaited.
const MAX_CHUNK_LINE: usize = 256;

/// The way in which a body is delimited.
pub(super) enum Framing {
    /// A length in bytes, which is within the caller's limit.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// The head has no framing fields.
    Unspecified,
}

/// A complete body.
pub(super) struct Body {
    /// The content without framing.
    pub(super) bytes: Vec<u8>,
    /// Length on the wire in bytes, including the framing.
    pub(super) wire_length: usize,
}

impl Body {
    /// Returns an empty body.
    pub(super) fn empty() -> Self {
        Body {
            bytes: Vec::new(),
            wire_length: 0,
        }
    }

    /// Returns a body whose bytes on the wire are its content.
    pub(super) fn verbatim(bytes: &[u8]) -> Self {
        Body {
            bytes: bytes.to_vec(),
            wire_length: bytes.len(),
        }
    }
}

/// Determines from the header fields how the body is delimited. A stated length may be at most `max_body` bytes.
pub(super) fn framing(fields: &Fields, max_body: usize) -> Result<Framing, MessageError> {
    if fields.get("transfer-encoding").is_some() {
        return chunked_framing(fields);
    }
    let mut lengths = fields.values("content-length");
    let Some(length) = lengths.next() else {
        return Ok(Framing::Unspecified);
    };
    let is_number = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    if lengths.any(|other| other != length) || !is_number {
        return Err(MessageError::Malformed("content-length is malformed"));
    }
    match length.parse::<usize>() {
        Ok(length) if length <= max_body => Ok(Framing::Length(length)),
        _ => Err(MessageError::BodyTooLarge),
    }
}

fn chunked_framing(fields: &Fields) -> Result<Framing, MessageError> {
    let mut codings = fields.values("transfer-encoding");
    let is_chunked = codings
        .next()
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    // Bodies with any further transfer coding can't be decoded.
    let is_only = is_chunked && codings.next().is_none();
    // Guards against request smuggling: of two framings in one message, another recipient might use the other one.
    if !is_only || fields.get("content-length").is_some() {
        return Err(MessageError::Malformed("the body's framing is unclear"));
    }
    Ok(Framing::Chunked)
}

/// Returns the body of `length` bytes at the front of `input`; `None` while it is incomplete.
pub(super) fn sized_body(input: &[u8], length: usize) -> Option<Body> {
    input.get(..length).map(Body::verbatim)
}

/// Decodes the chunked body of at most `max_body` bytes at the front of `input`; `None` while it is incomplete.
pub(super) fn chunked_body(input: &[u8], max_body: usize) -> Result<Option<Body>, MessageError> {
    let malformed = MessageError::Malformed("a chunk is malformed");
    let mut rest = input;
    let mut bytes = Vec::new();
    loop {
        if !rest.contains(&b'\n') {
            return if rest.len() > MAX_CHUNK_LINE {
                Err(malformed)
            } else {
                Ok(None)
            };
        }
        let size = chunk_size(&mut rest).map_err(|_| malformed)? as usize;
        if size == 0 {
            break;
        }
        if size > max_body - bytes.len() {
            return Err(MessageError::BodyTooLarge);
        }
        if rest.len() < size + 2 {
            return Ok(None);
        }
        bytes.extend_from_slice(&rest[..size]);
        rest = &rest[size..];
        line_end(&mut rest).map_err(|_| malformed)?;
    }
    let chunks_length = input.len() - rest.len();
    Ok(trailers_length(rest)?.map(|length| Body {
        bytes,
        wire_length: chunks_length + length,
    }))
}

/// Parses a chunk's size line and discards its extensions.
fn chunk_size(input: &mut &[u8]) -> RuleResult<u32> {
    let size = hex_uint.parse_next(input)?;
    let _extension = take_till(0.., is_line_break).parse_next(input)?;
    line_end(input)?;
    Ok(size)
}

/// Returns the length of the trailer section with its empty line; `None` while it is incomplete. Trailers are
/// discarded.
fn trailers_length(input: &[u8]) -> Result<Option<usize>, MessageError> {
    match input {
        [b'\r', b'\n', ..] => Ok(Some(2)),
        [b'\n', ..] => Ok(Some(1)),
        _ => head_length(input),
    }
}
