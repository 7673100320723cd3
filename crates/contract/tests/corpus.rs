//! Tests the corpus: valid descriptions with traffic that is replayed over loopback, and broken descriptions with the
//! exact text of their faults.

use cairnroad_contract::conformance::{
    ObservedRequest, ObservedResponse, Violation, ViolationKind,
};
use cairnroad_contract::model::{Description, DescriptionFormat};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;

fn files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/corpus")
        .join(folder);
    let mut all: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    all.retain(|path| {
        path.extension()
            .is_some_and(|ending| ending == "yaml" || ending == "json")
    });
    all.sort();
    all
}

/// Guards against a fault that is not reported, is reported at the wrong position, or has an unhelpful text.
#[test]
fn each_broken_description_reports_exactly_its_faults() {
    let all = files("broken");
    assert!(all.len() >= 60, "{}", all.len());
    for path in all {
        let words = std::fs::read_to_string(format!("{}.expects", path.display())).unwrap();
        let name = path.display();
        match Description::open(&path) {
            Ok(_) => panic!("{name} is found sound"),
            Err(faults) => {
                assert_eq!(format!("{faults}\n"), words, "{name}");
                assert!(faults.list.len() <= 100, "{name}");
            }
        }
    }
}

type Fields = Vec<(String, String)>;

/// Reads a message from the wire: its first line, its header fields, its body, and whether the body is complete.
fn read(stream: &mut impl BufRead) -> Option<(String, Fields, Vec<u8>, bool)> {
    let mut first = String::new();
    stream
        .read_line(&mut first)
        .ok()
        .filter(|&bytes| bytes > 0)?;
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        fields.push((name.to_string(), value.to_string()));
    }
    let length = fields
        .iter()
        .find(|(name, _)| name == "Content-Length")
        .map_or(0, |(_, n)| n.parse().unwrap());
    let mut body = Vec::new();
    stream.take(length).read_to_end(&mut body).ok()?;
    let whole = body.len() as u64 == length;
    Some((first.trim_end().to_string(), fields, body, whole))
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn head(first: &str, fields: &Value, length: usize) -> String {
    let fields = fields.as_object().into_iter().flatten();
    let fields: String = fields
        .map(|(name, value)| format!("{name}: {}\r\n", text(value)))
        .collect();
    format!("{first}\r\n{fields}Content-Length: {length}\r\n\r\n")
}

/// A stand-in server that sends the recorded response to any request.
fn answer(stream: TcpStream, row: &Value) -> (String, Fields, Vec<u8>, bool) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let asked = read(&mut reader).unwrap();
    let answer = &row["answer"];
    let body = text(&answer["body"]);
    // A response that ends early declares a longer body than it sends.
    let cut = if answer["whole"] == json!(false) {
        10
    } else {
        0
    };
    let first = format!(
        "HTTP/1.1 {} Words",
        answer["status"].as_u64().unwrap_or(200)
    );
    let mut stream = stream;
    write!(
        stream,
        "{}{body}",
        head(&first, &answer["fields"], body.len() + cut)
    )
    .unwrap();
    asked
}

/// Runs one exchange over loopback and checks the request and response as received at each end.
fn exchange(description: &Description, row: &Value) -> Vec<Violation> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let served = row.clone();
    let server = thread::spawn(move || answer(listener.accept().unwrap().0, &served));
    let body = text(&row["body"]);
    let first = format!("{} {} HTTP/1.1", text(&row["method"]), text(&row["target"]));
    write!(client, "{}{body}", head(&first, &row["fields"], body.len())).unwrap();
    let (first, fields, body, whole) = read(&mut BufReader::new(client)).unwrap();
    let asked = server.join().unwrap();
    let words: Vec<&str> = asked.0.split(' ').collect();
    let request = ObservedRequest {
        method: words[0],
        target: words[1],
        fields: &asked.1,
        body: &asked.2,
    };
    let judged = description.check_request(&request);
    let mut violations = judged.violations;
    if let Some(number) = judged.operation_index.filter(|_| row["answer"].is_object()) {
        let status = first.split(' ').nth(1).unwrap().parse().unwrap();
        let answered = ObservedResponse {
            status,
            fields: &fields,
            body: &body,
            complete: whole,
        };
        violations.extend(description.check_response(number, &answered).violations);
    }
    violations
}

/// Sends one message over loopback as a line of header fields and the payload, and checks what was received.
fn message(description: &Description, row: &Value) -> Vec<Violation> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let fields = if row["headers"].is_null() {
        json!({})
    } else {
        row["headers"].clone()
    };
    write!(sender, "{fields}\n{}", text(&row["payload"])).unwrap();
    drop(sender);
    let mut reader = BufReader::new(listener.accept().unwrap().0);
    let (mut line, mut payload) = (String::new(), Vec::new());
    reader.read_line(&mut line).unwrap();
    reader.read_to_end(&mut payload).unwrap();
    let fields = serde_json::from_str(&line).unwrap();
    description
        .check_message(
            &text(&row["channel"]),
            &text(&row["message"]),
            &fields,
            &payload,
        )
        .violations
}

/// Guards against reporting valid traffic, and against missing invalid traffic or reporting it at the wrong place.
#[test]
fn traffic_over_loopback_violates_exactly_what_it_should() {
    let (mut right, mut wrong) = (0, 0);
    let mut kinds = BTreeSet::new();
    for path in files("valid") {
        let name = path.display().to_string();
        let description = Description::open(&path).unwrap_or_else(|faults| panic!("{faults}"));
        let traffic = std::fs::read_to_string(path.with_extension("traffic")).unwrap();
        for line in traffic.lines() {
            let row: Value = serde_json::from_str(line).unwrap();
            let found = match description.format {
                DescriptionFormat::OpenApi => exchange(&description, &row),
                DescriptionFormat::AsyncApi => message(&description, &row),
            };
            let words = found
                .iter()
                .map(|d| format!("{} {}", text(&json!(d.kind)), d.place));
            let wanted: BTreeSet<String> = row["expects"]
                .as_array()
                .unwrap()
                .iter()
                .map(text)
                .collect();
            assert_eq!(
                words.collect::<BTreeSet<_>>(),
                wanted,
                "{name}: {line}\n{found:#?}"
            );
            for departure in &found {
                assert!(
                    !departure.expected.is_empty() && !departure.found.is_empty(),
                    "{departure:?}"
                );
                // The reported location must exist in the description.
                let known =
                    departure.kind == ViolationKind::Unknown || departure.described.contains('#');
                assert!(known, "{name}: {departure:?}");
                if let Some(secret) = row["secret"].as_str() {
                    let shown = format!("{} {}", departure.found, departure.expected);
                    assert!(
                        !shown.contains(secret),
                        "{name}: a secret is shown: {departure:?}"
                    );
                }
            }
            kinds.extend(found.iter().map(|d| d.kind));
            if wanted.is_empty() {
                right += 1
            } else {
                wrong += 1
            }
        }
    }
    assert!(right >= 12 && wrong >= 30, "{right} right, {wrong} wrong");
    assert_eq!(kinds.len(), 14, "each kind but 'other' is shown: {kinds:?}");
}

/// The keywords of OpenAPI 3.0 are translated to those of 3.1 with the same meaning.
#[test]
fn openapi_30_and_its_31_equivalent_accept_the_same_values() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/valid");
    let [old, new] = ["30", "31"]
        .map(|v| Description::open(&folder.join(format!("openapi-{v}-stock.yaml"))).unwrap());
    let kind = vec![("Content-Type".to_string(), "application/json".to_string())];
    let values = [
        json!(null),
        json!(0),
        json!(0.5),
        json!(-1),
        json!("text"),
        json!("eleven chars"),
        json!(true),
    ];
    let mut departing = 0;
    for (member, value) in ["note", "price", "count", "sku"]
        .iter()
        .flat_map(|m| values.iter().map(move |v| (m, v)))
    {
        let mut body = json!({"sku": "A-1", "count": 1});
        body[*member] = value.clone();
        let body = body.to_string();
        let answered = ObservedResponse {
            status: 200,
            fields: &kind,
            body: body.as_bytes(),
            complete: true,
        };
        let places = |d: &Description| {
            let found = d.check_response(0, &answered).violations;
            found
                .into_iter()
                .map(|departure| (departure.kind, departure.place))
                .collect::<Vec<_>>()
        };
        assert_eq!(places(&old), places(&new), "{body}");
        departing += usize::from(!places(&old).is_empty());
    }
    assert!((12..28).contains(&departing), "{departing}");
}
