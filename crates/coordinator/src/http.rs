//! HTTP/1.1 messages, parsed from a buffer without I/O. A message is whole or not there yet; a body has a
//! length or comes in chunks, and no more than its caller's limit.

use winnow::ascii::{hex_uint, space0};
use winnow::combinator::{opt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, take_till, take_while};
use winnow::Parser;

/// The longest head that is read.
pub const MAX_HEAD: usize = 16 * 1024;
/// The most fields in a head.
pub const MAX_FIELDS: usize = 100;
/// The largest body of a request, as the platform states it.
pub const MAX_BODY: usize = 64 * 1024;
/// The most bytes that a request may take, its chunks' framing included.
const MAX_MESSAGE: usize = MAX_HEAD + 4 * MAX_BODY;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    Malformed(&'static str),
    HeadTooLarge,
    BodyTooLarge,
    /// It did not come in within its time.
    TooSlow,
    /// It had not come in when the program had to end.
    ShuttingDown,
    /// It was sent so far ahead of its answer that it was not kept.
    Pipelined,
}

impl MessageError {
    /// The status that answers such a request.
    pub fn status(self) -> u16 {
        match self {
            MessageError::Malformed(_) => 400,
            MessageError::HeadTooLarge => 431,
            MessageError::BodyTooLarge => 413,
            MessageError::TooSlow => 408,
            MessageError::ShuttingDown => 503,
            MessageError::Pipelined => 429,
        }
    }
    /// Whether the same request may be served once it comes again.
    pub fn is_transient(self) -> bool {
        matches!(self, MessageError::ShuttingDown | MessageError::Pipelined)
    }
    pub fn message(self) -> &'static str {
        match self {
            MessageError::Malformed(text) => text,
            MessageError::HeadTooLarge => "the head is too large",
            MessageError::BodyTooLarge => "the body is too large",
            MessageError::TooSlow => "the request did not come in time",
            MessageError::Pipelined => "one request at a time: the rest is refused",
            MessageError::ShuttingDown => {
                "this process ends: send the request again on a new connection"
            }
        }
    }
}

/// Names and values of a head.
#[derive(Clone, Debug, Default)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// All of them, as they came.
    pub fn pairs(&self) -> &[(String, String)] {
        &self.0
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
    fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// The path and query string as they came.
    pub target: String,
    pub fields: Fields,
    pub body: Vec<u8>,
    /// The client wants the connection closed after the answer.
    pub close: bool,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub fields: Fields,
    pub body: Vec<u8>,
    /// The other side closes the connection after this.
    pub close: bool,
}

type Res<T> = Result<T, ErrMode<ContextError>>;

fn token(input: &mut &[u8]) -> Res<String> {
    let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    take_while(1..=64, is_token).map(text).parse_next(input)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// One visible word up to a space.
fn word(input: &mut &[u8]) -> Res<String> {
    take_while(1.., |b: u8| b > b' ' && b != 0x7f)
        .map(text)
        .parse_next(input)
}

/// `HTTP/1.x`, and whether x is 0.
fn version(input: &mut &[u8]) -> Res<bool> {
    preceded(
        literal("HTTP/1."),
        take_while(1, |b: u8| b == b'0' || b == b'1'),
    )
    .map(|digit: &[u8]| digit == b"0")
    .parse_next(input)
}

fn line_end(input: &mut &[u8]) -> Res<()> {
    (opt(literal("\r")), literal("\n")).void().parse_next(input)
}

fn field(input: &mut &[u8]) -> Res<(String, String)> {
    let name = terminated(token, literal(":")).parse_next(input)?;
    let value = preceded(
        space0,
        take_till(0.., |b: u8| b == b'\r' || b == b'\n' || b == 0),
    )
    .map(|bytes: &[u8]| text(bytes.trim_ascii_end()))
    .parse_next(input)?;
    line_end(input)?;
    Ok((name, value))
}

fn fields(input: &mut &[u8]) -> Result<Fields, MessageError> {
    let mut all = Vec::new();
    while !input.is_empty() {
        if all.len() == MAX_FIELDS {
            return Err(MessageError::HeadTooLarge);
        }
        all.push(field(input).map_err(|_| MessageError::Malformed("a header field is malformed"))?);
    }
    Ok(Fields(all))
}

fn request_line(input: &mut &[u8]) -> Res<(String, String, bool)> {
    let (method, _, target, _, old, ()) =
        (token, literal(" "), word, literal(" "), version, line_end).parse_next(input)?;
    Ok((method, target, old))
}

fn status_line(input: &mut &[u8]) -> Res<(u16, bool)> {
    let old = terminated(version, literal(" ")).parse_next(input)?;
    let digits = take_while(3, |b: u8| b.is_ascii_digit()).parse_next(input)?;
    let _reason = take_till(0.., |b: u8| b == b'\r' || b == b'\n').parse_next(input)?;
    line_end(input)?;
    Ok((
        digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0')),
        old,
    ))
}

/// The head's length including its empty line, once that is there.
fn head_end(input: &[u8]) -> Result<Option<usize>, MessageError> {
    let window = &input[..input.len().min(MAX_HEAD)];
    for (at, _) in window.iter().enumerate().filter(|(_, &b)| b == b'\n') {
        match &window[at + 1..] {
            [b'\n', ..] => return Ok(Some(at + 2)),
            [b'\r', b'\n', ..] => return Ok(Some(at + 3)),
            _ => {}
        }
    }
    if input.len() >= MAX_HEAD {
        return Err(MessageError::HeadTooLarge);
    }
    Ok(None)
}

/// Empty lines before a message are skipped, as the standard asks.
fn skip_empty_lines(input: &[u8]) -> usize {
    input
        .iter()
        .take_while(|&&b| b == b'\r' || b == b'\n')
        .count()
}

/// How a head says that its body is framed.
enum Framing {
    Length(usize),
    Chunked,
    None,
}

fn framing(fields: &Fields, most: usize) -> Result<Framing, MessageError> {
    let coded = fields.get("transfer-encoding").is_some();
    if coded {
        // Any other coding beside it would leave a body that nobody here can read.
        let mut codings = fields.all("transfer-encoding");
        let only = codings
            .next()
            .is_some_and(|c| c.eq_ignore_ascii_case("chunked"))
            && codings.next().is_none();
        // Both framings at once are how requests are smuggled past another reader.
        if !only || fields.get("content-length").is_some() {
            return Err(MessageError::Malformed("the body's framing is unclear"));
        }
        return Ok(Framing::Chunked);
    }
    let mut lengths = fields.all("content-length");
    let Some(length) = lengths.next() else {
        return Ok(Framing::None);
    };
    if lengths.any(|other| other != length)
        || length.is_empty()
        || !length.bytes().all(|b| b.is_ascii_digit())
    {
        return Err(MessageError::Malformed("content-length is malformed"));
    }
    match length.parse::<usize>() {
        Ok(length) if length <= most => Ok(Framing::Length(length)),
        _ => Err(MessageError::BodyTooLarge),
    }
}

/// A chunk's size line, from its first digit to its line end.
fn chunk_size(input: &mut &[u8]) -> Res<u32> {
    let size = hex_uint.parse_next(input)?;
    let _extension = take_till(0.., |b: u8| b == b'\r' || b == b'\n').parse_next(input)?;
    line_end(input)?;
    Ok(size)
}

/// A chunked body and its length on the wire, once it is whole.
fn chunks(input: &[u8], most: usize) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
    let bad = MessageError::Malformed("a chunk is malformed");
    let (mut rest, mut body) = (input, Vec::new());
    loop {
        if !rest.contains(&b'\n') {
            return if rest.len() > 256 { Err(bad) } else { Ok(None) };
        }
        let size = chunk_size(&mut rest).map_err(|_| bad)? as usize;
        if size == 0 {
            break;
        }
        if size > most - body.len() {
            return Err(MessageError::BodyTooLarge);
        }
        if rest.len() < size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size..];
        line_end(&mut rest).map_err(|_| bad)?;
    }
    // Trailers are read and dropped.
    let used = input.len() - rest.len();
    let end = match rest {
        [b'\r', b'\n', ..] => Some(2),
        [b'\n', ..] => Some(1),
        _ => head_end(rest)?,
    };
    Ok(end.map(|end| (body, used + end)))
}

/// Takes one request off the front of `input`; with it, how many bytes it took. `None`: not whole yet.
pub fn parse_request(input: &[u8]) -> Result<Option<(Request, usize)>, MessageError> {
    let start = skip_empty_lines(input);
    let input = &input[start..];
    let Some(end) = head_end(input)? else {
        return Ok(None);
    };
    let mut head = &input[..end];
    let (method, target, old) = request_line(&mut head)
        .map_err(|_| MessageError::Malformed("the request line is malformed"))?;
    let fields = fields(&mut strip_empty_line(head))?;
    let (body, used) = match framing(&fields, MAX_BODY)? {
        Framing::None => (Vec::new(), 0),
        Framing::Length(length) if input.len() - end < length => return Ok(None),
        Framing::Length(length) => (input[end..end + length].to_vec(), length),
        Framing::Chunked => match chunks(&input[end..], MAX_BODY)? {
            Some(found) => found,
            // Chunks of a byte or two, or extensions without end, must not fill the buffer either.
            None if input.len() > MAX_MESSAGE => return Err(MessageError::BodyTooLarge),
            None => return Ok(None),
        },
    };
    let close =
        fields.lists("connection", "close") || (old && !fields.lists("connection", "keep-alive"));
    Ok(Some((
        Request {
            method,
            target,
            fields,
            body,
            close,
        },
        start + end + used,
    )))
}

/// Whether a head is there whose client waits for leave to send the body.
pub fn expects_continue(input: &[u8]) -> bool {
    let input = &input[skip_empty_lines(input)..];
    let Ok(Some(end)) = head_end(input) else {
        return false;
    };
    let mut head = &input[..end];
    let waits = |fields: &Fields| fields.lists("expect", "100-continue");
    request_line(&mut head).is_ok()
        && fields(&mut strip_empty_line(head)).is_ok_and(|all| waits(&all))
}

/// Takes one response off the front of `input`, as [`parse_request`] does. A response without framing lasts until
/// the connection's end, which `ended` tells.
pub fn parse_response(
    input: &[u8],
    ended: bool,
    most: usize,
) -> Result<Option<(Response, usize)>, MessageError> {
    let Some(end) = head_end(input)? else {
        return Ok(None);
    };
    let mut head = &input[..end];
    let (status, old) = status_line(&mut head)
        .map_err(|_| MessageError::Malformed("the status line is malformed"))?;
    let fields = fields(&mut strip_empty_line(head))?;
    let mut close =
        fields.lists("connection", "close") || (old && !fields.lists("connection", "keep-alive"));
    let (body, used) = match framing(&fields, most)? {
        Framing::None if status == 204 || status == 304 || status < 200 => (Vec::new(), 0),
        Framing::None if input.len() - end > most => return Err(MessageError::BodyTooLarge),
        Framing::None if !ended => return Ok(None),
        Framing::None => {
            close = true;
            (input[end..].to_vec(), input.len() - end)
        }
        Framing::Length(length) if input.len() - end < length => return Ok(None),
        Framing::Length(length) => (input[end..end + length].to_vec(), length),
        Framing::Chunked => match chunks(&input[end..], most)? {
            Some(found) => found,
            None => return Ok(None),
        },
    };
    Ok(Some((
        Response {
            status,
            fields,
            body,
            close,
        },
        end + used,
    )))
}

/// The head without the empty line that ends it.
fn strip_empty_line(head: &[u8]) -> &[u8] {
    head.strip_suffix(b"\r\n")
        .or(head.strip_suffix(b"\n"))
        .unwrap_or(head)
}

/// The bytes of a response with a body of this type.
pub fn write_response(
    status: u16,
    kind: &str,
    extra: &[(&str, String)],
    close: bool,
    body: &[u8],
) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    let mut put =
        |name: &str, value: &str| out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    put("Content-Type", kind);
    put("Content-Length", &body.len().to_string());
    for (name, value) in extra {
        put(name, value);
    }
    if close {
        put("Connection", "close");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
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
