//! Random cuts of valid messages and random garbage against every parser, from fixed seeds.

use crate::backends::{frames, opensearch};
use crate::discovery::endpoint_list::EndpointListPage;
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

/// A message parses the same wherever it is cut, and no sooner than it is whole.
fn cut(message: &[u8], parse: impl Fn(&[u8]) -> Option<usize>) {
    for at in 0..message.len() {
        assert!(
            parse(&message[..at]).is_none(),
            "whole at {at} of {}",
            message.len()
        );
    }
    let two = [message, message].concat();
    assert_eq!(
        parse(&two),
        Some(message.len()),
        "what follows is left alone"
    );
}

#[test]
fn cut_messages_wait_and_whole_ones_are_taken_off() {
    cut(REQUEST, |bytes| {
        http::request(bytes).unwrap().map(|(_, used)| used)
    });
    cut(CHUNKED, |bytes| {
        http::request(bytes).unwrap().map(|(_, used)| used)
    });
    cut(RESPONSE, |bytes| {
        http::response(bytes, false, 99)
            .unwrap()
            .map(|(_, used)| used)
    });
    cut(ANSWER, |bytes| {
        frames::parse(bytes).unwrap().map(|(_, used)| used)
    });
    for message in [REQUEST, CHUNKED] {
        assert_eq!(http::request(message).unwrap().unwrap().0.body, b"hello");
    }
    let request = http::request(REQUEST).unwrap().unwrap().0;
    assert_eq!(
        (request.fields.get("x-class"), request.target.as_str()),
        (Some("c d"), "/api?x=1")
    );
    let (frame, _) = frames::parse(ANSWER).unwrap().unwrap();
    let wanted = frames::Frame::Answer {
        id: "q.3",
        end: "ok",
        score: "17",
        report: b"queue=1,l=2",
        value: b"\0v",
    };
    assert_eq!(frame, wanted);
    assert_eq!(
        frames::report("queue=1,l=2", &["l".into(), "queue".into()]),
        [2.0, 1.0]
    );
}

#[test]
fn odd_framing_is_refused() {
    let status = |text: &str| {
        http::request(text.as_bytes())
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
    // The framing of small chunks counts too: the buffer is bounded, not only the body.
    let small = "1;extension=of some length\r\nx\r\n".repeat(10_000);
    assert_eq!(
        status(&format!("{head}Transfer-Encoding: chunked\r\n\r\n{small}")),
        413
    );
    assert_eq!(status(&format!("{head}A: {}\r\n", "b".repeat(20_000))), 431);
    assert_eq!(status("POST /\r\n\r\n"), 400);
}

fn parse_all(bytes: &[u8]) {
    let _ = http::request(bytes);
    if let Ok(Some((response, _))) = http::response(bytes, true, 64) {
        let _ = opensearch::outcome(&response);
    }
    let _ = frames::parse(bytes);
    let _ = serde_json::from_slice::<EndpointListPage>(bytes).map(EndpointListPage::into_update);
    let _ = frames::report(&String::from_utf8_lossy(bytes), &["queue".into()]);
}

fn garbage(bytes: Vec<u8>) -> bool {
    parse_all(&bytes);
    true
}

fn damage(flips: Vec<(usize, u8)>, cut: usize) -> bool {
    for message in [REQUEST, CHUNKED, RESPONSE, ANSWER] {
        let mut damaged = message.to_vec();
        for (at, byte) in &flips {
            damaged[at % message.len()] = *byte;
        }
        parse_all(&damaged);
        parse_all(&damaged[..cut % damaged.len()]);
    }
    true
}

#[test]
fn garbage_and_damage_never_panic_any_parser() {
    check(1, garbage as fn(Vec<u8>) -> bool);
    check(2, damage as fn(Vec<(usize, u8)>, usize) -> bool);
}

#[test]
fn only_a_429_proves_that_a_search_never_began() {
    use cairnroad_types::Outcome;
    let told = |status: u16, body: &str| {
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (response, _) = http::response(text.as_bytes(), false, 999)
            .unwrap()
            .unwrap();
        opensearch::outcome(&response).0
    };
    let whole = r#"{"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]}}"#;
    assert_eq!(told(200, whole), Outcome::Ok);
    assert_eq!(told(200, &whole.replace("false", "true")), Outcome::Error);
    assert_eq!(told(200, &whole.replace(":0", ":1")), Outcome::Error);
    assert_eq!(
        told(200, &whole.replace("\"hits\":{", "\"error\":{},\"hits\":{")),
        Outcome::Error
    );
    assert_eq!(told(200, &whole[..20]), Outcome::Error);
    assert_eq!(
        (told(429, "{}"), told(503, "{}"), told(404, "{}")),
        (Outcome::Rejected, Outcome::Error, Outcome::Error)
    );
}
