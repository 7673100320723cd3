//! Message bodies: their framing, and their bytes once they are completely received.

use super::error::MessageError;
use super::head::{is_line_break, line_end, Fields, HeadScanner, RuleResult};
use super::MAX_HEAD;
use bytes::{Buf, BytesMut};
use winnow::ascii::hex_uint;
use winnow::token::take_till;
use winnow::Parser;

/// Maximum length of a chunk's size line with its extensions and its line break, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum size of a chunked body on the wire without its trailers, as a multiple of the limit of its content: chunks that
/// are very small, or have long extensions, consist almost entirely of framing.
const MAX_WIRE_LENGTH_FACTOR: usize = 4;
const MALFORMED_CHUNK: MessageError = MessageError::Malformed("a chunk is malformed");

/// The way in which a body is delimited.
pub(super) enum Framing {
    /// A length in bytes, which is within the caller's limit.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// The head has no framing fields.
    Unspecified,
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

/// Decodes a body from input that grows. Bytes are removed from the input as they are decoded, so that neither their
/// framing nor a body that is not accepted fills the reader's buffer.
#[derive(Debug)]
pub(super) struct BodyDecoder {
    framing: FramingState,
    max_body: usize,
    content: Content,
}

/// The content of a body that has been decoded. Its allocation grows with what arrives, not with what the sender
/// announces, and never exceeds the largest content that the framing permits.
#[derive(Debug)]
struct Content {
    bytes: Vec<u8>,
    max_length: usize,
}

impl Content {
    /// Returns the size of the allocation after `additional` bytes.
    fn size_after(&self, additional: usize) -> usize {
        let needed = self.bytes.len() + additional;
        if needed <= self.bytes.capacity() {
            return self.bytes.capacity();
        }
        needed.max((2 * needed).min(self.max_length))
    }

    fn append(&mut self, received: &[u8]) {
        let size = self.size_after(received.len());
        self.bytes.reserve_exact(size - self.bytes.len());
        self.bytes.extend_from_slice(received);
    }
}

/// The position in a body.
#[derive(Debug)]
enum FramingState {
    /// This many bytes of content are missing.
    Length(usize),
    Chunked(ChunkDecoder),
    /// The body extends to the end of the connection.
    UntilEnd,
}

impl BodyDecoder {
    /// Creates a decoder of a body with at most `max_body` bytes of content.
    pub(super) fn new(framing: Framing, max_body: usize) -> Self {
        let max_length = match framing {
            Framing::Length(length) => length,
            Framing::Chunked | Framing::Unspecified => max_body,
        };
        let framing = match framing {
            Framing::Length(length) => FramingState::Length(length),
            Framing::Chunked => FramingState::Chunked(ChunkDecoder::new(max_body)),
            Framing::Unspecified => FramingState::UntilEnd,
        };
        BodyDecoder {
            framing,
            max_body,
            content: Content {
                bytes: Vec::new(),
                max_length,
            },
        }
    }

    /// Removes the received bytes of the body from the front of `input`. Returns whether the body is complete. `at_end`
    /// states whether the end of the connection has been reached.
    pub(super) fn decode(
        &mut self,
        input: &mut BytesMut,
        at_end: bool,
    ) -> Result<bool, MessageError> {
        match &mut self.framing {
            FramingState::Length(missing) => {
                let received = input.len().min(*missing);
                self.content.append(&input[..received]);
                input.advance(received);
                *missing -= received;
                Ok(*missing == 0)
            }
            FramingState::Chunked(decoder) => decoder.decode(input, &mut self.content),
            FramingState::UntilEnd if input.len() > self.max_body - self.content.bytes.len() => {
                Err(MessageError::BodyTooLarge)
            }
            FramingState::UntilEnd => {
                self.content.append(input);
                input.clear();
                Ok(at_end)
            }
        }
    }

    /// Returns the content that has been decoded.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.content.bytes
    }

    /// Returns the size of the content's allocation once `additional` bytes of the body were decoded.
    pub(super) fn size_after(&self, additional: usize) -> usize {
        match self.framing {
            FramingState::Length(missing) => self.content.size_after(additional.min(missing)),
            FramingState::Chunked(_) | FramingState::UntilEnd => {
                self.content.size_after(additional)
            }
        }
    }

    /// Returns the content of the complete body.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.content.bytes
    }
}

/// Decodes the chunked coding of a body.
#[derive(Debug)]
struct ChunkDecoder {
    position: ChunkPosition,
    /// Maximum size of the content, in bytes.
    max_body: usize,
    /// Number of bytes that the body, including its framing, may still have on the wire.
    remaining_wire_length: usize,
}

#[derive(Debug)]
enum ChunkPosition {
    /// In a size line, of which this many bytes contain no line break.
    SizeLine(usize),
    /// In the content of a chunk, of which this many bytes are missing.
    Content(usize),
    /// Before the line break after a chunk's content.
    ContentEnd,
    /// In the trailer section, which is discarded.
    Trailers(HeadScanner),
    /// Behind the body.
    End,
}

/// What a step of the decoder consumed.
enum ChunkStep {
    /// This many bytes, after which the decoder is at another position.
    Consumed(usize),
    /// Nothing: more input is needed.
    Incomplete,
}

impl ChunkDecoder {
    fn new(max_body: usize) -> Self {
        ChunkDecoder {
            position: ChunkPosition::SizeLine(0),
            max_body,
            remaining_wire_length: MAX_HEAD + MAX_WIRE_LENGTH_FACTOR * max_body,
        }
    }

    /// Removes the received chunks from the front of `input` and appends their content to `content`. Returns whether the
    /// body is complete.
    fn decode(
        &mut self,
        input: &mut BytesMut,
        content: &mut Content,
    ) -> Result<bool, MessageError> {
        let mut used = 0;
        while !matches!(self.position, ChunkPosition::End) {
            match self.step(&input[used..], content)? {
                ChunkStep::Consumed(length) => used += length,
                ChunkStep::Incomplete => break,
            }
        }
        let is_complete = matches!(self.position, ChunkPosition::End);
        let counted = if is_complete { used } else { input.len() };
        if counted > self.remaining_wire_length {
            return Err(MessageError::BodyTooLarge);
        }
        self.remaining_wire_length -= used;
        input.advance(used);
        Ok(is_complete)
    }

    /// Decodes the front of `input` up to the next position.
    fn step(&mut self, input: &[u8], content: &mut Content) -> Result<ChunkStep, MessageError> {
        match &mut self.position {
            ChunkPosition::SizeLine(scanned) => {
                let line_feed = input[*scanned..].iter().position(|&byte| byte == b'\n');
                let line_length = line_feed.map_or(input.len(), |at| *scanned + at + 1);
                if line_length > MAX_CHUNK_LINE {
                    return Err(MALFORMED_CHUNK);
                }
                if line_feed.is_none() {
                    *scanned = input.len();
                    return Ok(ChunkStep::Incomplete);
                }
                let size = chunk_size(&mut &input[..line_length]).map_err(|_| MALFORMED_CHUNK)?;
                self.position = match size as usize {
                    0 => ChunkPosition::Trailers(HeadScanner::default()),
                    size if size > self.max_body - content.bytes.len() => {
                        return Err(MessageError::BodyTooLarge)
                    }
                    size => ChunkPosition::Content(size),
                };
                Ok(ChunkStep::Consumed(line_length))
            }
            ChunkPosition::Content(_) if input.is_empty() => Ok(ChunkStep::Incomplete),
            ChunkPosition::Content(missing) => {
                let received = input.len().min(*missing);
                content.append(&input[..received]);
                *missing -= received;
                if *missing == 0 {
                    self.position = ChunkPosition::ContentEnd;
                }
                Ok(ChunkStep::Consumed(received))
            }
            ChunkPosition::ContentEnd => match line_break_length(input)? {
                Some(length) => {
                    self.position = ChunkPosition::SizeLine(0);
                    Ok(ChunkStep::Consumed(length))
                }
                None => Ok(ChunkStep::Incomplete),
            },
            ChunkPosition::Trailers(scanner) => match trailers_length(scanner, input)? {
                Some(length) => {
                    self.position = ChunkPosition::End;
                    Ok(ChunkStep::Consumed(length))
                }
                None => Ok(ChunkStep::Incomplete),
            },
            ChunkPosition::End => Ok(ChunkStep::Incomplete),
        }
    }
}

/// Parses a chunk's size line and discards its extensions.
fn chunk_size(input: &mut &[u8]) -> RuleResult<u32> {
    let size = hex_uint.parse_next(input)?;
    let _extension = take_till(0.., is_line_break).parse_next(input)?;
    line_end(input)?;
    Ok(size)
}

/// Returns the length of the line break at the front of `input`; `None` while it is incomplete.
fn line_break_length(input: &[u8]) -> Result<Option<usize>, MessageError> {
    match input {
        [b'\n', ..] => Ok(Some(1)),
        [b'\r', b'\n', ..] => Ok(Some(2)),
        [] | [b'\r'] => Ok(None),
        _ => Err(MALFORMED_CHUNK),
    }
}

/// Returns the length of the trailer section with its empty line; `None` while it is incomplete.
fn trailers_length(scanner: &mut HeadScanner, input: &[u8]) -> Result<Option<usize>, MessageError> {
    match input {
        [b'\r', b'\n', ..] => Ok(Some(2)),
        [b'\n', ..] => Ok(Some(1)),
        _ => scanner.head_length(input, MAX_HEAD),
    }
}
