//! The encoding of frames: a length of four bytes in big-endian order, a type letter, and a body. The length counts the
//! letter and the body.

use super::fault::FrameError;
use crate::http;
use crate::messages::OutboundAttempt;
use cairnroad_types::{Outcome, Time};
use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, take_till};
use winnow::Parser;

/// Maximum length of the line of an answer, in bytes.
pub(super) const MAX_ANSWER_LINE: usize = 1024;
/// Maximum length of a frame, in bytes. Values are forwarded in the body of an HTTP message, whose size is limited.
pub(super) const MAX_FRAME: u32 = (http::MAX_BODY + MAX_ANSWER_LINE) as u32;
/// Size of the length field of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Number of bytes of a frame by which it is recognized: its length and its letter.
pub(super) const FRAME_START_LENGTH: usize = LENGTH_BYTES + 1;

/// A frame from a server.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// `A`: the answer to a part.
    Answer(PartAnswerFrame<'a>),
    /// `P`: a ping, that is, a health check that only coordinators may send.
    Ping,
    /// `L`: the answer to a health check, with the load report.
    LoadReport(&'a [u8]),
    /// `E`: the server could not process a frame; contains the server's explanation.
    Error(String),
}

/// The answer to a part.
#[derive(Debug, PartialEq)]
pub struct PartAnswerFrame<'a> {
    /// The id of the part in frames.
    pub id: &'a str,
    /// The status word of the part (see [`outcome`]).
    pub status: &'a str,
    /// The score, as received.
    pub score: &'a str,
    /// The load report, or `-` if there is none.
    pub report: &'a [u8],
    /// The value, as received.
    pub value: &'a [u8],
}

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// Parses the frames of one connection. It remembers what it scanned of an incomplete frame, so that the work does not grow
/// with the number of reads in which the frame arrives.
#[derive(Default)]
pub struct FrameParser {
    answer_line: AnswerLineScan,
}

impl FrameParser {
    /// Parses the frame at the start of `input`. Returns the frame and its total length in bytes; `None` if the frame is
    /// incomplete. Until a frame is returned, `input` must begin with the input of the last call.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as the received bytes can't be the start of a frame.
    pub fn parse<'a>(&mut self, input: &'a [u8]) -> Result<Option<(Frame<'a>, usize)>, FrameError> {
        check_frame_start(input)?;
        let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length);
        if let [b'A', line @ ..] = rest {
            self.answer_line.advance(line)?;
        }
        let Some((&letter, mut body)) = rest
            .get(..length as usize)
            .and_then(|frame| frame.split_first())
        else {
            return Ok(None);
        };
        self.answer_line = AnswerLineScan::default();
        let frame = match letter {
            b'A' => Frame::Answer(answer(&mut body).map_err(|_| FrameError::MalformedAnswer)?),
            b'P' => Frame::Ping,
            b'L' => Frame::LoadReport(body),
            _ => Frame::Error(String::from_utf8_lossy(body).into_owned()),
        };
        Ok(Some((frame, LENGTH_BYTES + length as usize)))
    }
}

/// Checks whether the received bytes can be the start of a frame: those of its length, and its letter.
pub(super) fn check_frame_start(input: &[u8]) -> Result<(), FrameError> {
    let received = input.len().min(LENGTH_BYTES);
    let mut length_bytes = [0; LENGTH_BYTES];
    length_bytes[..received].copy_from_slice(&input[..received]);
    // The smallest length that begins with these bytes.
    let length = u32::from_be_bytes(length_bytes);
    let is_empty = received == LENGTH_BYTES && length == 0;
    if is_empty || length > MAX_FRAME {
        return Err(FrameError::LengthOutOfRange(length));
    }
    match input.get(LENGTH_BYTES) {
        Some(b'A' | b'P' | b'L' | b'E') | None => Ok(()),
        Some(&letter) => Err(FrameError::UnknownLetter(letter)),
    }
}

/// Searches the line of an incomplete answer for its end, so that an endless line is rejected without waiting for the end
/// of its frame.
#[derive(Default)]
struct AnswerLineScan {
    /// Number of bytes that were scanned without finding the end.
    scanned: usize,
    has_ended: bool,
}

impl AnswerLineScan {
    /// Scans the bytes of `line` that were not scanned before.
    fn advance(&mut self, line: &[u8]) -> Result<(), FrameError> {
        if self.has_ended {
            return Ok(());
        }
        let window = &line[..line.len().min(MAX_ANSWER_LINE)];
        self.has_ended = window[self.scanned..].contains(&b'\n');
        self.scanned = window.len();
        if !self.has_ended && line.len() > MAX_ANSWER_LINE {
            return Err(FrameError::AnswerLineTooLong);
        }
        Ok(())
    }
}

/// Parses the body of an answer: the line `ID STATUS SCORE REPORT` and the value.
fn answer<'a>(input: &mut &'a [u8]) -> ParseResult<PartAnswerFrame<'a>> {
    let id = terminated(token, literal(" ")).parse_next(input)?;
    let status = terminated(token, literal(" ")).parse_next(input)?;
    let score = terminated(token, literal(" ")).parse_next(input)?;
    // The report is not parsed here, so that a malformed report does not make the value unusable.
    let report = terminated(take_till(0.., b'\n'), literal("\n")).parse_next(input)?;
    Ok(PartAnswerFrame {
        id,
        status,
        score,
        report,
        value: input,
    })
}

/// Parses a nonempty UTF-8 token, which ends before a space or a control character.
fn token<'a>(input: &mut &'a [u8]) -> ParseResult<&'a str> {
    take_till(1.., |byte: u8| byte <= b' ')
        .try_map(std::str::from_utf8)
        .parse_next(input)
}

/// Returns the outcome for the status word of an answer; `None` if the word is unknown.
pub(super) fn outcome(status: &str) -> Option<Outcome> {
    match status {
        "ok" => Some(Outcome::Ok),
        "busy" => Some(Outcome::Rejected),
        "err" => Some(Outcome::Error),
        _ => None,
    }
}

/// Returns the values of a load report in the order of `names`. The result is empty if there is no report, or if a
/// value is missing or not a number.
pub fn parse_load_report(text: &str, names: &[String]) -> Vec<f64> {
    let value_of = |name: &String| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| key == name)
            .and_then(|(_, value)| value.parse().ok())
    };
    names
        .iter()
        .map(value_of)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// Encodes a call as a `Q` frame.
pub(super) fn encode_call(parts: &[OutboundAttempt], now: Time) -> Vec<u8> {
    let mut body = vec![b'Q'];
    for part in parts {
        body.extend_from_slice(part_line(part, now).as_bytes());
        body.push(b'\n');
        body.extend_from_slice(part.payload.as_str().as_bytes());
    }
    encode_frame(&body)
}

/// Returns the line of a part in a call, `ID SHARD LIST LENGTH`. The list holds the time until the part's deadline and,
/// in a keyed class, the query's idempotency key.
pub(super) fn part_line(part: &OutboundAttempt, now: Time) -> String {
    let key = part.idempotency_key.as_ref();
    let key_entry = key.map_or(String::new(), |key| format!(",k={key}"));
    format!(
        "{} {} d={}{key_entry} {}",
        part_id(part),
        part.shard,
        remaining_ms(part, now),
        part.payload.as_str().len()
    )
}

/// Encodes the cancel of a part as an `X` frame.
pub(super) fn encode_cancel(id: &str) -> Vec<u8> {
    encode_frame(format!("X{id}").as_bytes())
}

/// Encodes a health check as an `L` frame.
pub(super) fn encode_health_check() -> Vec<u8> {
    encode_frame(b"L")
}

fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

/// Returns the id of a part in frames.
pub(super) fn part_id(part: &OutboundAttempt) -> String {
    format!("{}.{}", part.external_id, part.shard)
}

/// Returns the time until a part's deadline, in milliseconds; at least 1.
fn remaining_ms(part: &OutboundAttempt, now: Time) -> i64 {
    (((part.deadline - now) * 1000.0) as i64).max(1)
}
