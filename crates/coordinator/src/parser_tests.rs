//! Tests of all parsers of the program with valid, truncated, corrupted and random messages, from fixed seeds.

use crate::backends::{frames, opensearch};
use crate::discovery::endpoint_list::EndpointListPayload;
use crate::http;
use quickcheck::{Gen, QuickCheck, Testable};

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
        http::parse_request(bytes).unwrap().map(|(_, used)| used)
    });
    assert_incomplete_when_truncated(CHUNKED, |bytes| {
        http::parse_request(bytes).unwrap().map(|(_, used)| used)
    });
    assert_incomplete_when_truncated(RESPONSE, |bytes| {
        http::parse_response(bytes, false, 99)
            .unwrap()
            .map(|(_, used)| used)
    });
    assert_incomplete_when_truncated(ANSWER, |bytes| {
        frames::parse_frame(bytes).unwrap().map(|(_, used)| used)
    });
    for message in [REQUEST, CHUNKED] {
        assert_eq!(
            http::parse_request(message).unwrap().unwrap().0.body,
            b"hello"
        );
    }
    let request = http::parse_request(REQUEST).unwrap().unwrap().0;
    assert_eq!(
        (request.fields.get("x-class"), request.target.as_str()),
        (Some("c d"), "/api?x=1")
    );
    let (frame, _) = frames::parse_frame(ANSWER).unwrap().unwrap();
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
        http::parse_request(text.as_bytes())
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
    let _ = http::parse_request(bytes);
    if let Ok(Some((response, _))) = http::parse_response(bytes, true, 64) {
        let _ = opensearch::search_outcome(&response);
    }
    let _ = frames::parse_frame(bytes);
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
        let (response, _) = http::parse_response(text.as_bytes(), false, 999)
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
