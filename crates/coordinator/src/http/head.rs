//! Message heads: start line, header fields and the empty line that ends them.

use super::error::MessageError;
use super::MAX_FIELDS;
use winnow::ascii::space0;
use winnow::combinator::{opt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, take_till, take_while};
use winnow::Parser;

/// The result of a grammar rule. A rule advances its input past the matched bytes.
pub(super) type RuleResult<T> = Result<T, ErrMode<ContextError>>;

/// Number of bytes at the end of the scanned input that may begin the end of a head: a line feed and a carriage return.
const PARTIAL_END_LENGTH: usize = 2;
/// Maximum length of a method or field name, in bytes.
const MAX_TOKEN: usize = 64;

/// The header fields of a message in the order received. Names are compared case-insensitively.
#[derive(Clone, Debug, Default)]
pub struct Fields(Vec<(String, String)>);

/// Memory of a field besides its texts, in bytes: its entry, in a list that grows by doubling, and two allocations.
const FIELD_OVERHEAD: usize = 2 * std::mem::size_of::<(String, String)>() + 64;

/// Returns an upper bound of the memory that a head of `length` bytes with this many lines occupies once it is parsed.
pub(super) fn parsed_size(length: usize, lines: usize) -> usize {
    length + FIELD_OVERHEAD * lines.min(MAX_FIELDS)
}

impl Fields {
    /// Returns the memory that the fields occupy, in bytes.
    pub(super) fn size(&self) -> usize {
        let texts = self.0.iter().map(|(name, value)| name.len() + value.len());
        parsed_size(texts.sum(), self.0.len())
    }

    /// Returns all names and values as received.
    pub fn pairs(&self) -> &[(String, String)] {
        &self.0
    }

    /// Returns the value of the first field called `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Iterates over the values of all fields called `name`.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether `token` is an element of the comma-separated lists in the fields called `name`.
    pub(super) fn contains_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether the connection ends after this message: by `Connection: close`, or by default in HTTP/1.0.
    pub(super) fn indicates_close(&self, is_http_1_0: bool) -> bool {
        self.contains_token("connection", "close")
            || (is_http_1_0 && !self.contains_token("connection", "keep-alive"))
    }
}

/// The start line of a request.
#[derive(Debug)]
pub(super) struct RequestLine {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) is_http_1_0: bool,
}

/// The start line of a response.
#[derive(Debug)]
pub(super) struct StatusLine {
    pub(super) status: u16,
    pub(super) is_http_1_0: bool,
}

/// Parses a request line: `METHOD SP target SP version`.
pub(super) fn request_line(input: &mut &[u8]) -> RuleResult<RequestLine> {
    let (method, _, target, _, is_http_1_0, ()) =
        (token, literal(" "), target, literal(" "), version, line_end).parse_next(input)?;
    Ok(RequestLine {
        method,
        target,
        is_http_1_0,
    })
}

/// Parses a status line: `version SP status`, with a status of three digits. The reason phrase is discarded.
pub(super) fn status_line(input: &mut &[u8]) -> RuleResult<StatusLine> {
    let is_http_1_0 = terminated(version, literal(" ")).parse_next(input)?;
    let digits = take_while(3, |byte: u8| byte.is_ascii_digit()).parse_next(input)?;
    let _reason = take_till(0.., is_line_break).parse_next(input)?;
    line_end(input)?;
    let status = digits
        .iter()
        .fold(0, |number, digit| number * 10 + u16::from(digit - b'0'));
    Ok(StatusLine {
        status,
        is_http_1_0,
    })
}

/// Parses the header fields up to the end of `input`, at most [`MAX_FIELDS`].
pub(super) fn fields(input: &mut &[u8]) -> Result<Fields, MessageError> {
    let mut all = Vec::new();
    while !input.is_empty() {
        if all.len() == MAX_FIELDS {
            return Err(MessageError::HeadTooLarge);
        }
        let parsed = field(input);
        all.push(parsed.map_err(|_| MessageError::Malformed("a header field is malformed"))?);
    }
    Ok(Fields(all))
}

/// Parses a line break: CR LF, or LF alone.
pub(super) fn line_end(input: &mut &[u8]) -> RuleResult<()> {
    (opt(literal("\r")), literal("\n")).void().parse_next(input)
}

/// Returns whether a byte is part of a line break.
pub(super) fn is_line_break(byte: u8) -> bool {
    byte == b'\r' || byte == b'\n'
}

/// Searches for the end of a head in input that grows, without scanning its bytes again.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadScanner {
    /// Number of bytes that were scanned without finding the end.
    scanned: usize,
}

impl HeadScanner {
    /// Returns the length of the head including the empty line that ends it; `None` until that line has been received.
    /// `input` must begin with the input of the last call. The head may have at most `max_length` bytes.
    pub(super) fn head_length(
        &mut self,
        input: &[u8],
        max_length: usize,
    ) -> Result<Option<usize>, MessageError> {
        let window = &input[..input.len().min(max_length)];
        let start = self.scanned.saturating_sub(PARTIAL_END_LENGTH);
        for at in (start..window.len()).filter(|&at| window[at] == b'\n') {
            match &window[at + 1..] {
                [b'\n', ..] => return Ok(Some(at + 2)),
                [b'\r', b'\n', ..] => return Ok(Some(at + 3)),
                _ => {}
            }
        }
        self.scanned = window.len();
        if input.len() >= max_length {
            return Err(MessageError::HeadTooLarge);
        }
        Ok(None)
    }
}

/// Returns the head without the empty line that ends it.
pub(super) fn strip_empty_line(head: &[u8]) -> &[u8] {
    head.strip_suffix(b"\r\n")
        .or(head.strip_suffix(b"\n"))
        .unwrap_or(head)
}

/// Returns the length of empty lines before a request, which a server should ignore (RFC 9112, section 2.2).
pub(super) fn leading_empty_lines(input: &[u8]) -> usize {
    input
        .iter()
        .take_while(|&&byte| is_line_break(byte))
        .count()
}

/// Parses one header field with its line break.
fn field(input: &mut &[u8]) -> RuleResult<(String, String)> {
    let name = terminated(token, literal(":")).parse_next(input)?;
    let value = preceded(
        space0,
        take_till(0.., |byte: u8| is_line_break(byte) || byte == 0),
    )
    .map(|bytes: &[u8]| lossy_string(bytes.trim_ascii_end()))
    .parse_next(input)?;
    line_end(input)?;
    Ok((name, value))
}

/// Parses the name of a method or field.
fn token(input: &mut &[u8]) -> RuleResult<String> {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    take_while(1..=MAX_TOKEN, is_token)
        .map(lossy_string)
        .parse_next(input)
}

/// Parses a request target: all bytes up to a space or control character.
fn target(input: &mut &[u8]) -> RuleResult<String> {
    take_while(1.., |byte: u8| byte > b' ' && byte != 0x7f)
        .map(lossy_string)
        .parse_next(input)
}

/// Parses `HTTP/1.0` or `HTTP/1.1`. Returns whether the version is 1.0.
fn version(input: &mut &[u8]) -> RuleResult<bool> {
    preceded(
        literal("HTTP/1."),
        take_while(1, |byte: u8| byte == b'0' || byte == b'1'),
    )
    .map(|digit: &[u8]| digit == b"0")
    .parse_next(input)
}

fn lossy_string(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
