//! Tests damaged and hostile descriptions and messages, generated from fixed seeds. None may cause a panic or take more
//! time or memory than the bounds allow.

use cairnroad_contract::conformance::{ObservedRequest, ObservedResponse};
use cairnroad_contract::model::Description;
use quickcheck::{Arbitrary, Gen};
use serde_json::{json, Value};
use std::path::Path;
use std::time::{Duration, Instant};

/// Far more time than any case takes on a slow machine, and far less than a case without bounds would take.
const TIME_LIMIT: Duration = Duration::from_secs(20);

fn corpus() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/valid");
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.retain(|path| {
        path.extension()
            .is_some_and(|ending| ending == "yaml" || ending == "json")
    });
    paths.sort();
    let read = |path: std::path::PathBuf| {
        (
            path.file_name().unwrap().to_string_lossy().into_owned(),
            std::fs::read_to_string(path).unwrap(),
        )
    };
    paths.into_iter().map(read).collect()
}

fn below(gen: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(gen) % bound.max(1)
}

/// Returns the text with some words, lines or characters removed, duplicated, swapped or replaced.
fn damage(gen: &mut Gen, text: &str) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
    for _ in 0..1 + below(gen, 4) {
        let at = below(gen, lines.len());
        match below(gen, 7) {
            0 => lines.truncate(at + 1),
            1 => {
                lines.remove(at);
                lines.push(String::new());
            }
            2 => lines.insert(at, lines[at].clone()),
            3 => {
                let other = below(gen, lines.len());
                lines.swap(at, other);
            }
            4 => {
                let words = [
                    "true", "null", "[]", "{}", "-1", "1e400", "\"#/\"", "integer", "$ref", "&a",
                    "*a", "\u{0}",
                ];
                let word = words[below(gen, words.len())];
                let mut parts: Vec<&str> = lines[at].split_inclusive([' ', ':', ',']).collect();
                let place = below(gen, parts.len());
                if let Some(part) = parts.get_mut(place) {
                    *part = word;
                }
                lines[at] = parts.concat();
            }
            5 => {
                let letters: Vec<char> = lines[at].chars().collect();
                let cut = below(gen, letters.len());
                lines[at] = letters
                    .iter()
                    .enumerate()
                    .filter(|(n, _)| *n != cut)
                    .map(|(_, c)| c)
                    .collect();
            }
            _ => {
                let letter = char::arbitrary(gen);
                lines[at].push(letter);
            }
        }
    }
    lines.join("\n")
}

#[test]
fn damaged_descriptions_never_panic() {
    let corpus = corpus();
    let mut valid = 0;
    let mut faulty = 0;
    for seed in 0..3_000_u64 {
        let mut gen = Gen::from_size_and_seed(40, seed);
        let (name, text) = &corpus[below(&mut gen, corpus.len())];
        let text = damage(&mut gen, text);
        let start = Instant::now();
        match Description::from_text(name, &text) {
            Ok(description) => {
                valid += 1;
                let body = text.as_bytes();
                let fields = vec![("Content-Type".to_string(), "application/json".to_string())];
                for operation in 0..description.operations.len() {
                    let response = ObservedResponse {
                        status: 200,
                        fields: &fields,
                        body,
                        complete: true,
                    };
                    description.check_response(operation, &response);
                }
            }
            Err(faults) => {
                faulty += 1;
                assert!(faults.list.len() <= 100 && !faults.to_string().is_empty());
                assert!(
                    faults.list.iter().all(|fault| !fault.cause.is_empty()),
                    "{faults}"
                );
            }
        }
        assert!(start.elapsed() < TIME_LIMIT, "seed {seed}");
    }
    assert!(
        valid > 100 && faulty > 1_000,
        "{valid} valid, {faulty} faulty"
    );
}

/// Generates a JSON value with a few members.
fn value(gen: &mut Gen, depth: usize) -> Value {
    let names = [
        "sku", "count", "note", "price", "lines", "pin", "paid", "card", "name", "children",
        "room", "hits",
    ];
    match below(gen, if depth == 0 { 5 } else { 7 }) {
        0 => Value::Null,
        1 => json!(bool::arbitrary(gen)),
        2 => json!(i64::arbitrary(gen)),
        3 => json!(f64::arbitrary(gen)),
        4 => json!(String::arbitrary(gen)),
        5 => (0..below(gen, 4)).map(|_| value(gen, depth - 1)).collect(),
        _ => {
            let member = |gen: &mut Gen| {
                (
                    names[below(gen, names.len())].to_string(),
                    value(gen, depth - 1),
                )
            };
            Value::Object((0..below(gen, 5)).map(|_| member(gen)).collect())
        }
    }
}

#[test]
fn damaged_messages_never_panic() {
    let read = |(name, text): (String, String)| Description::from_text(&name, &text).ok();
    let all: Vec<Description> = corpus().into_iter().filter_map(read).collect();
    assert!(all.len() >= 10, "one of the corpus is split over files");
    let mut violations = 0;
    for seed in 0..4_000_u64 {
        let mut gen = Gen::from_size_and_seed(30, seed);
        let description = &all[below(&mut gen, all.len())];
        let mut body = value(&mut gen, 4).to_string().into_bytes();
        if seed % 3 == 0 && !body.is_empty() {
            let at = below(&mut gen, body.len());
            body[at] = u8::arbitrary(&mut gen);
        }
        let fields: Vec<(String, String)> = vec![
            (
                "Content-Type".into(),
                ["application/json", "text/plain", "", "x"][below(&mut gen, 4)].into(),
            ),
            ("Cookie".into(), String::arbitrary(&mut gen)),
        ];
        let target = format!(
            "/{}/{}?{}={}",
            ["stock", "orders", "files", "%f"][below(&mut gen, 4)],
            String::arbitrary(&mut gen),
            ["aisle", "tag", "filter", "p"][below(&mut gen, 4)],
            String::arbitrary(&mut gen)
        );
        let request = ObservedRequest {
            method: ["GET", "POST", "PUT"][below(&mut gen, 3)],
            target: &target,
            fields: &fields,
            body: &body,
        };
        let mut found = description.check_request(&request).violations;
        for operation in 0..description.operations.len() {
            let status = u16::arbitrary(&mut gen) % 700;
            let response = ObservedResponse {
                status,
                fields: &fields,
                body: &body,
                complete: bool::arbitrary(&mut gen),
            };
            found.extend(description.check_response(operation, &response).violations);
        }
        for message in &description.messages {
            let (channel, word) = message.name.split_once(' ').unwrap();
            let head = value(&mut gen, 2);
            found.extend(
                description
                    .check_message(channel, word, &head, &body)
                    .violations,
            );
        }
        violations += found.len();
        assert!(
            found
                .iter()
                .all(|d| d.found.chars().count() <= 90 && !d.expected.is_empty()),
            "seed {seed}: {found:?}"
        );
    }
    assert!(violations > 4_000, "{violations}");
}

/// Descriptions that are built to be expensive must be rejected or loaded within the time limit.
#[test]
fn hostile_descriptions_cost_a_bounded_time() {
    let head =
        "openapi: 3.1.0\ninfo: {title: t, version: \"1\"}\npaths: {}\ncomponents:\n  schemas:\n";
    let many = |count: usize, line: &dyn Fn(usize) -> String| -> String {
        head.to_string() + &(0..count).map(|at| line(at) + "\n").collect::<String>()
    };
    let hostile: Vec<(&str, String)> = vec![
        (
            "doubling.yaml",
            many(60, &|at| {
                format!("    S{at}: {{anyOf: [{{$ref: \"#/components/schemas/S{0}\"}}, {{$ref: \"#/components/schemas/S{0}\"}}]}}", (at + 1).min(59))
            }),
        ),
        (
            "wide.yaml",
            many(40_000, &|at| format!("    S{at}: {{type: string}}")),
        ),
        (
            "patterns.yaml",
            many(3_000, &|at| {
                format!(
                    "    S{at}: {{type: string, pattern: \"(a{{1,60}}b{{1,60}}){{1,{}}}\"}}",
                    at % 90 + 1
                )
            }),
        ),
        (
            "chain.yaml",
            many(5_000, &|at| {
                format!(
                    "    S{at}: {{properties: {{a: {{$ref: \"#/components/schemas/S{}\"}}}}}}",
                    at + 1
                )
            }),
        ),
        ("brackets.json", "[".repeat(4_000_000)),
        (
            "quotes.json",
            format!("{{\"openapi\":\"{}\"}}", "3".repeat(3_000_000)),
        ),
        (
            "keys.yaml",
            (0..100_000).map(|at| format!("k{at}: {at}\n")).collect(),
        ),
        ("large.yaml", "a".repeat(5_000_000)),
        (
            "flow.yaml",
            format!("openapi: 3.1.0\nx: {}", "[".repeat(100_000)),
        ),
        (
            "indent.yaml",
            (0..2_000).map(|at| " ".repeat(at) + "a:\n").collect(),
        ),
    ];
    for (name, text) in hostile {
        let start = Instant::now();
        let read = Description::from_text(name, &text);
        assert!(
            start.elapsed() < TIME_LIMIT,
            "{name}: {:?}",
            start.elapsed()
        );
        assert_eq!(
            read.is_ok(),
            name == "wide.yaml",
            "{name}: {:?}",
            read.map(|d| d.title)
        );
    }
}
