//! The form of frames: four bytes of length, most significant first, a letter, and the rest.

use super::fault::FrameError;
use crate::http;
use crate::messages::OutboundAttempt;
use cairnroad_types::{Outcome, Time};
use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, take_till};
use winnow::Parser;

/// The longest line of an answer, in bytes.
const MAX_ANSWER_LINE: usize = 1024;
/// The longest frame, in bytes. A value is passed on in the body of an HTTP message, which has a limit.
const MAX_FRAME: u32 = (http::MAX_BODY + MAX_ANSWER_LINE) as u32;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// A frame from a server.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// `A`: the answer to a part.
    Answer(PartAnswerFrame<'a>),
    /// `P`: a health check, which only coordinators send on these connections.
    Ping,
    /// `L`: the answer to a health check.
    LoadReport(&'a [u8]),
    /// `E`: the server could not use a frame; its explanation.
    Error(String),
}

/// The answer to a part.
#[derive(Debug, PartialEq)]
pub struct PartAnswerFrame<'a> {
    /// The part's id on this wire.
    pub id: &'a str,
    /// How the part ended: see [`outcome`].
    pub status: &'a str,
    /// The score, as it was received.
    pub score: &'a str,
    /// The load report, or `-`.
    pub report: &'a [u8],
    /// The value.
    pub value: &'a [u8],
}

type RuleResult<T> = Result<T, ErrMode<ContextError>>;

/// Parses the frame at the front of `input`. Returns it with its length on the wire; `None` while it is incomplete.
pub fn parse_frame(input: &[u8]) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length);
    if length == 0 || length > MAX_FRAME {
        return Err(FrameError::LengthOutOfBounds(length));
    }
    reject_early(rest)?;
    let Some((&letter, mut body)) = rest
        .get(..length as usize)
        .and_then(|frame| frame.split_first())
    else {
        return Ok(None);
    };
    let frame = match letter {
        b'A' => Frame::Answer(answer(&mut body).map_err(|_| FrameError::MalformedAnswer)?),
        b'P' => Frame::Ping,
        b'L' => Frame::LoadReport(body),
        _ => Frame::Error(String::from_utf8_lossy(body).into_owned()),
    };
    Ok(Some((frame, LENGTH_BYTES + length as usize)))
}

/// Rejects a frame whose beginning shows that it can't be read, instead of waiting for its end.
fn reject_early(frame: &[u8]) -> Result<(), FrameError> {
    match frame {
        [b'A', line @ ..]
            if line.len() > MAX_ANSWER_LINE && !line[..MAX_ANSWER_LINE].contains(&b'\n') =>
        {
            Err(FrameError::EndlessAnswerLine)
        }
        [b'A' | b'P' | b'L' | b'E', ..] | [] => Ok(()),
        [letter, ..] => Err(FrameError::UnknownLetter(*letter)),
    }
}

/// The line `ID END SCORE REPORT` and the value.
fn answer<'a>(input: &mut &'a [u8]) -> RuleResult<PartAnswerFrame<'a>> {
    let id = terminated(word, literal(" ")).parse_next(input)?;
    let status = terminated(word, literal(" ")).parse_next(input)?;
    let score = terminated(word, literal(" ")).parse_next(input)?;
    // A report that can't be read is lost; the value is not.
    let report = terminated(take_till(0.., b'\n'), literal("\n")).parse_next(input)?;
    Ok(PartAnswerFrame {
        id,
        status,
        score,
        report,
        value: input,
    })
}

fn word<'a>(input: &mut &'a [u8]) -> RuleResult<&'a str> {
    take_till(1.., |byte: u8| byte <= b' ')
        .try_map(std::str::from_utf8)
        .parse_next(input)
}

/// Returns the outcome that an answer's end word states; `None` for an unknown word.
pub(super) fn outcome(end: &str) -> Option<Outcome> {
    match end {
        "ok" => Some(Outcome::Ok),
        "busy" => Some(Outcome::Rejected),
        "err" => Some(Outcome::Error),
        _ => None,
    }
}

/// Returns a load report's values in the order of `names`; none if there is no report or a value is missing.
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
        let text = part.payload.as_str();
        let line = format!(
            "{} {} d={} {}\n",
            part_id(part),
            part.shard,
            remaining_ms(part, now),
            text.len()
        );
        body.extend_from_slice(line.as_bytes());
        body.extend_from_slice(text.as_bytes());
    }
    encode_frame(&body)
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

/// Returns a part's id on this wire.
pub(super) fn part_id(part: &OutboundAttempt) -> String {
    format!("{}.{}", part.external_id, part.shard)
}

/// Returns how many milliseconds a part has left, 1 at least.
pub(super) fn remaining_ms(part: &OutboundAttempt, now: Time) -> i64 {
    (((part.deadline - now) * 1000.0) as i64).max(1)
}
