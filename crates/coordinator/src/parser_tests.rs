//! Tests of all parsers of the program with valid, truncated, corrupted and random messages, from fixed seeds.

use crate::backends::{frames, opensearch};
use crate::discovery::endpoint_list::EndpointListPayload;
use crate::http;
use bytes::BytesMut;
use quickcheck::{Gen, QuickCheck, Testable};

/// A complete message and its length in bytes at the front of the input; `None` if the message is incomplete.
type ParsedAtOnce<T> = Result<Option<(T, usize)>, http::MessageError>;

/// Parses the request at the front of `input`, all of which is received at once.
fn parse_request(input: &[u8]) -> ParsedAtOnce<http::Request> {
    let mut buffer = BytesMut::from(input);
    let request = http::RequestParser::default().parse(&mut buffer)?;
    Ok(request.map(|request| (request, input.len() - buffer.len())))
}

/// Parses the response at the front of `input`, all of which is received at once.
fn parse_response(input: &[u8], at_end: bool, max_body: usize) -> ParsedAtOnce<http::Response> {
    let mut buffer = BytesMut::from(input);
    let response = http::ResponseParser::new(max_body).parse(&mut buffer, at_end)?;
    Ok(response.map(|response| (response, input.len() - buffer.len())))
}

/// Parses the frame at the front of `input`, all of which is received at once.
fn parse_frame(input: &[u8]) -> Result<Option<(frames::Frame<'_>, usize)>, frames::FrameError> {
    frames::FrameParser::default().parse(input)
}

fn check(seed: u64, property: impl Testable) {
    QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(200, seed))
        .quickcheck(property);
}

const REQUEST: &[u8] =
    b"POST /api?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nX-Class: c d \r\n\r\nhello";
const CHUNKED: &[u8] =
    b"POST /a HTTP/1.1\nTransfer-Encoding: chunked\n\n3;e=1\r\nhel\r\n2\r\nlo\r\n0\r\nT: 1\r\n\r\n";
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
const ANSWER: &[u8] = b"\0\0\0\x19Aq.3 ok 17 queue=1,l=2\n\0v";

/// Asserts that a message is incomplete wherever it is truncated, and that bytes after it are not consumed.
fn assert_incomplete_when_truncated(message: &[u8], parse: impl Fn(&[u8]) -> Option<usize>) {
    for at in 0..message.len() {
        assert!(
            parse(&message[..at]).is_none(),
            "parsed as complete after {at} of {} bytes",
            message.len()
        );
    }
    let two = [message, message].concat();
    assert_eq!(
        parse(&two),
        Some(message.len()),
        "bytes after the message are not consumed"
    );
}

#[test]
fn incomplete_messages_wait_and_complete_ones_are_consumed() {
    assert_incomplete_when_truncated(REQUEST, |bytes| {
        parse_request(bytes).unwrap().map(|(_, used)| used)
    });
    assert_incomplete_when_truncated(CHUNKED, |bytes| {
        parse_request(bytes).unwrap().map(|(_, used)| used)
    });
    assert_incomplete_when_truncated(RESPONSE, |bytes| {
        parse_response(bytes, false, 99)
            .unwrap()
            .map(|(_, used)| used)
    });
    assert_incomplete_when_truncated(ANSWER, |bytes| {
        parse_frame(bytes).unwrap().map(|(_, used)| used)
    });
    for message in [REQUEST, CHUNKED] {
        assert_eq!(parse_request(message).unwrap().unwrap().0.body, b"hello");
    }
    let request = parse_request(REQUEST).unwrap().unwrap().0;
    assert_eq!(
        (request.fields.get("x-class"), request.target.as_str()),
        (Some("c d"), "/api?x=1")
    );
    let (frame, _) = parse_frame(ANSWER).unwrap().unwrap();
    let expected = frames::Frame::Answer(frames::PartAnswerFrame {
        id: "q.3",
        status: "ok",
        score: "17",
        report: b"queue=1,l=2",
        value: b"\0v",
    });
    assert_eq!(frame, expected);
    assert_eq!(
        frames::parse_load_report("queue=1,l=2", &["l".into(), "queue".into()]),
        [2.0, 1.0]
    );
}

#[test]
fn ambiguous_or_oversized_framing_is_rejected() {
    let status = |text: &str| {
        parse_request(text.as_bytes())
            .map(|_| ())
            .unwrap_err()
            .status()
    };
    let head = "POST / HTTP/1.1\r\n";
    assert_eq!(
        status(&format!(
            "{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\n"
        )),
        400
    );
    assert_eq!(
        status(&format!(
            "{head}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )),
        400
    );
    assert_eq!(status(&format!("{head}Content-Length: +1\r\n\r\n")), 400);
    assert_eq!(status(&format!("{head}Content-Length: 70000\r\n\r\n")), 413);
    assert_eq!(
        status(&format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n11170\r\n"
        )),
        413
    );
    assert_eq!(
        status(&format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n")),
        400
    );
    assert_eq!(
        status(&format!("{head}Transfer-Encoding: gzip, chunked\r\n\r\n")),
        400
    );
    // The framing of small chunks counts too, because not only the body but the whole buffer is bounded.
    let small = "1;extension=of some length\r\nx\r\n".repeat(10_000);
    assert_eq!(
        status(&format!("{head}Transfer-Encoding: chunked\r\n\r\n{small}")),
        413
    );
    assert_eq!(status(&format!("{head}A: {}\r\n", "b".repeat(20_000))), 431);
    assert_eq!(status("POST /\r\n\r\n"), 400);
}

fn parse_all(bytes: &[u8]) {
    let _ = parse_request(bytes);
    if let Ok(Some((response, _))) = parse_response(bytes, true, 64) {
        let _ = opensearch::search_outcome(&response);
    }
    let _ = parse_frame(bytes);
    let _ =
        serde_json::from_slice::<EndpointListPayload>(bytes).map(EndpointListPayload::into_update);
    let _ = frames::parse_load_report(&String::from_utf8_lossy(bytes), &["queue".into()]);
}

fn random_input(bytes: Vec<u8>) -> bool {
    parse_all(&bytes);
    true
}

fn corrupted_input(flips: Vec<(usize, u8)>, cut: usize) -> bool {
    for message in [REQUEST, CHUNKED, RESPONSE, ANSWER] {
        let mut corrupted = message.to_vec();
        for (at, byte) in &flips {
            corrupted[at % message.len()] = *byte;
        }
        parse_all(&corrupted);
        parse_all(&corrupted[..cut % corrupted.len()]);
    }
    true
}

#[test]
fn no_parser_panics_on_random_or_corrupted_input() {
    check(1, random_input as fn(Vec<u8>) -> bool);
    check(2, corrupted_input as fn(Vec<(usize, u8)>, usize) -> bool);
}

#[test]
fn only_status_429_proves_that_a_search_never_ran() {
    use cairnroad_types::Outcome;
    let outcome = |status: u16, body: &str| {
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (response, _) = parse_response(text.as_bytes(), false, 999)
            .unwrap()
            .unwrap();
        opensearch::search_outcome(&response).0
    };
    let complete = r#"{"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]}}"#;
    assert_eq!(outcome(200, complete), Outcome::Ok);
    assert_eq!(
        outcome(200, &complete.replace("false", "true")),
        Outcome::Error
    );
    assert_eq!(outcome(200, &complete.replace(":0", ":1")), Outcome::Error);
    assert_eq!(
        outcome(
            200,
            &complete.replace("\"hits\":{", "\"error\":{},\"hits\":{")
        ),
        Outcome::Error
    );
    assert_eq!(outcome(200, &complete[..20]), Outcome::Error);
    assert_eq!(
        (outcome(429, "{}"), outcome(503, "{}"), outcome(404, "{}")),
        (Outcome::Rejected, Outcome::Error, Outcome::Error)
    );
}

/// Feeds `input` to a parser in pieces of `size` bytes and returns the result of the first call that is not `Ok(None)`.
fn parse_in_pieces<T>(
    input: &[u8],
    size: usize,
    mut parse: impl FnMut(&mut BytesMut) -> http::Parsed<T>,
) -> http::Parsed<T> {
    let mut buffer = BytesMut::new();
    for piece in input.chunks(size) {
        buffer.extend_from_slice(piece);
        if let Some(message) = parse(&mut buffer)? {
            return Ok(Some(message));
        }
        assert!(
            buffer.len() <= http::MAX_HEAD + size,
            "an incomplete message of {} bytes stays in the buffer",
            buffer.len()
        );
    }
    Ok(None)
}

fn parse_request_in_pieces(input: &[u8], size: usize) -> http::Parsed<http::Request> {
    let mut parser = http::RequestParser::default();
    parse_in_pieces(input, size, |buffer| parser.parse(buffer))
}

fn parse_response_in_pieces(input: &[u8], size: usize) -> http::Parsed<http::Response> {
    let mut parser = http::ResponseParser::new(http::MAX_BODY);
    parse_in_pieces(input, size, |buffer| parser.parse(buffer, false))
}

/// The sizes of the reads in which messages arrive in these tests.
const READ_SIZES: [usize; 6] = [1, 2, 3, 7, 1000, 100_000];

#[test]
fn a_message_is_parsed_alike_however_it_is_split() {
    let with_trailers = [CHUNKED, b"\r\n\n"].concat();
    let after_line_breaks = [b"\r\n\n\r\n", REQUEST].concat();
    for size in READ_SIZES {
        for message in [REQUEST, CHUNKED, &with_trailers, &after_line_breaks] {
            let whole = parse_request(message).unwrap().unwrap().0;
            let split = parse_request_in_pieces(message, size).unwrap().unwrap();
            assert_eq!(split.body, whole.body, "pieces of {size} bytes");
            assert_eq!(split.target, whole.target, "pieces of {size} bytes");
            assert_eq!(split.fields.pairs(), whole.fields.pairs());
        }
        let split = parse_response_in_pieces(RESPONSE, size).unwrap().unwrap();
        assert_eq!(split.body, b"hello", "pieces of {size} bytes");
    }
}

/// Guards against input that no limit applies to: it fills the buffer, and is scanned again after each read.
#[test]
fn requests_without_end_are_rejected_at_their_limit_however_they_are_split() {
    let head = "POST / HTTP/1.1\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let endless = [
        ("line breaks", "\r\n".repeat(200_000), 431),
        ("line feeds", "\n".repeat(400_000), 431),
        ("carriage returns", "\r".repeat(400_000), 431),
        ("a method", "A".repeat(400_000), 431),
        ("a field", format!("{head}A: {}", "b".repeat(400_000)), 431),
        (
            "fields",
            format!("{head}{}", "A: b\r\n".repeat(70_000)),
            431,
        ),
        (
            "line breaks, then fields",
            format!(
                "{}{head}{}",
                "\r\n".repeat(8_000),
                "A: b\r\n".repeat(70_000)
            ),
            431,
        ),
        (
            "an extension",
            format!("{chunked}5;{}", "e".repeat(400_000)),
            400,
        ),
        ("a size", format!("{chunked}{}", "0".repeat(400_000)), 400),
        (
            "small chunks",
            format!(
                "{chunked}{}",
                "1;extension=of some length\r\nx\r\n".repeat(12_000)
            ),
            413,
        ),
        (
            "trailers",
            format!("{chunked}0\r\n{}", "A: b\r\n".repeat(70_000)),
            431,
        ),
    ];
    for (kind, text, status) in endless {
        for size in READ_SIZES {
            let error = parse_request_in_pieces(text.as_bytes(), size)
                .map(|request| request.map(|request| request.target))
                .expect_err(kind);
            assert_eq!(error.status(), status, "{kind} in pieces of {size} bytes");
        }
    }
}

/// Guards against chunk extensions and trailers in answers of servers and discovery, which no limit of a body counts.
#[test]
fn responses_without_end_are_rejected_at_their_limit_however_they_are_split() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let endless = [
        ("line breaks", "\r\n".repeat(200_000)),
        (
            "fields",
            format!("HTTP/1.1 200 OK\r\n{}", "A: b\r\n".repeat(70_000)),
        ),
        (
            "an extension",
            format!("{chunked}5;{}", "e".repeat(400_000)),
        ),
        (
            "extensions",
            format!(
                "{chunked}{}",
                format!("1;{}\r\nx\r\n", "e".repeat(200)).repeat(2_000)
            ),
        ),
        (
            "trailers",
            format!("{chunked}0\r\n{}", "A: b\r\n".repeat(70_000)),
        ),
        (
            "content",
            format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(400_000)),
        ),
    ];
    for (kind, text) in endless {
        for size in READ_SIZES {
            let result = parse_response_in_pieces(text.as_bytes(), size);
            assert!(result.is_err(), "{kind} in pieces of {size} bytes");
        }
    }
}

/// Guards against parsers whose work grows with the number of reads: a quarter of the chunked body below took over 6 s if it
/// arrived byte by byte. A bad client is owed its error within 3 s.
#[test]
fn a_large_message_that_arrives_byte_by_byte_takes_linear_work() {
    let time_limit = std::time::Duration::from_secs(3);
    let begun = std::time::Instant::now();
    let fields = "A: 0123456789012345678901234567890123456789\r\n".repeat(90);
    let content = "b".repeat(http::MAX_BODY);
    let sized = format!(
        "POST / HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{content}",
        http::MAX_BODY
    );
    let request = parse_request_in_pieces(sized.as_bytes(), 1).unwrap();
    assert_eq!(request.unwrap().body, content.as_bytes());
    let chunks = "1\r\nb\r\n".repeat(40_000);
    let chunked =
        format!("POST / HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    let request = parse_request_in_pieces(chunked.as_bytes(), 1).unwrap();
    assert_eq!(request.unwrap().body.len(), 40_000);
    let mut frame = (http::MAX_BODY as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(format!("A{} ok 1 -\n", "i".repeat(1_000)).as_bytes());
    frame.resize(4 + http::MAX_BODY, b'v');
    let mut parser = frames::FrameParser::default();
    for received in 0..frame.len() {
        assert!(parser.parse(&frame[..received]).unwrap().is_none());
    }
    assert!(parser.parse(&frame).unwrap().is_some());
    assert!(begun.elapsed() < time_limit, "took {:?}", begun.elapsed());
}

/// Guards against an answer line without end that is accepted until its frame would be complete.
#[test]
fn an_answer_line_without_end_is_rejected_at_its_limit_however_it_is_split() {
    let mut frame = 60_000_u32.to_be_bytes().to_vec();
    frame.push(b'A');
    frame.resize(4 + 60_000, b'x');
    for size in READ_SIZES {
        let mut parser = frames::FrameParser::default();
        let ends = (1..=frame.len().div_ceil(size)).map(|piece| (piece * size).min(frame.len()));
        let rejected_at = ends
            .into_iter()
            .find(|&received| parser.parse(&frame[..received]).is_err());
        let limit = 4 + 1 + 1024 + 1;
        assert!(
            rejected_at.is_some_and(|received| received < limit + size),
            "pieces of {size} bytes: {rejected_at:?}"
        );
    }
}
