//! The program's own descriptions against what it serves and sends.

mod common;

use cairnroad_contract::conformance::{ObservedRequest, ObservedResponse};
use cairnroad_contract::model::Description;
use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::process::Command;

fn root(path: &str) -> std::path::PathBuf {
    std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// The files under `api/` are what the program prints for the configuration beside them.
#[test]
fn description_files_match_the_programs_output() {
    for kind in ["openapi", "asyncapi"] {
        let output = Command::new(env!("CARGO_BIN_EXE_cairnroad"))
            .args(["contract", "show", "--kind", kind])
            .env("NODE_CONFIG", root("api/sample/config.json"))
            .env("CAIRNROAD_FILE", root("api/sample/cairnroad.toml"))
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        let committed = std::fs::read_to_string(root(&format!("api/{kind}.json"))).unwrap();
        assert_eq!(
            String::from_utf8(output.stdout).unwrap(),
            committed,
            "api/{kind}.json differs from `contract show --kind {kind}` for api/sample"
        );
    }
}

/// One call, and the status that it gets.
struct Case {
    platform: bool,
    method: &'static str,
    target: &'static str,
    body: String,
    status: u16,
}

fn cases() -> Vec<Case> {
    let case = |method, target: &'static str, body: &str, status| Case {
        platform: matches!(target, "/_health" | "/api"),
        method,
        target,
        body: body.into(),
        status,
    };
    let query = r#"{"query":{"match":{"text":"~1~"}}}"#;
    let many = "{\"index\":\"stock-search\"}\n{}\n{\"index\":\"none\"}\n{}\n";
    let api = r#"{"shards":[{"shard":1,"weight":1.0}],"q":"~2~"}"#;
    let silent = r#"{"shards":[{"shard":7,"weight":1.0}],"q":"~3~"}"#;
    let full = r#"{"shards":[{"shard":6,"weight":1.0}],"q":"~4~"}"#;
    vec![
        case("GET", "/_health", "", 200),
        case("POST", "/api", api, 200),
        case("POST", "/api", "{}", 400),
        case("POST", "/api", &"x".repeat(70_000), 413),
        case("POST", "/api", silent, 504),
        case("POST", "/api", full, 503),
        case(
            "POST",
            "/stock-search/_search?preference=_shards:1,2&size=1",
            query,
            200,
        ),
        case(
            "GET",
            "/stock-search/_search?preference=_shards:1&q=a&timeout=1s",
            "",
            200,
        ),
        case("POST", "/stock-search/_search", "{\"aggs\":{}}", 400),
        case("POST", "/none/_search", query, 404),
        case(
            "POST",
            "/pick-confirm/_search?preference=_shards:7&timeout=300ms",
            query,
            504,
        ),
        case(
            "POST",
            "/stock-search/_search?preference=_shards:6",
            query,
            503,
        ),
        case("POST", "/_msearch", many, 200),
        case("GET", "/_msearch", "{}", 400),
        case(
            "POST",
            "/stock-search/_msearch?preference=_shards:1",
            "{}\n{}\n",
            200,
        ),
        case(
            "GET",
            "/stock-search/_msearch?preference=_shards:1,2",
            "\n{}\n",
            200,
        ),
        case("GET", "/openapi.json", "", 200),
        case("GET", "/asyncapi.json", "", 200),
        case("GET", "/_contract", "", 200),
    ]
}

/// What an instance serves is held against the description that the same instance publishes.
#[test]
fn served_answers_match_openapi() {
    let plan = |_, shard, _| match shard {
        7 => Behavior::NoAnswer,
        6 => Behavior::Busy,
        _ => Behavior::Serve,
    };
    let coordinator = TestCoordinator::start(WireFormat::Platform, DataNodes::new(plan), 1000);
    let own = coordinator
        .call(coordinator.opensearch, "GET /openapi.json", &[], "")
        .json;
    let document = Description::from_text("openapi.json", &own.to_string()).unwrap();
    let mut called = BTreeSet::new();
    for (number, case) in cases().into_iter().enumerate() {
        let at = format!("{} {}", case.method, case.target);
        let to = if case.platform {
            coordinator.platform
        } else {
            coordinator.opensearch
        };
        let id = format!("d{number}");
        let kind = if case.target.contains("_msearch") {
            "application/x-ndjson"
        } else {
            "application/json"
        };
        let mut fields = vec![("Content-Type", kind)];
        if case.platform {
            let deadline = if case.status == 504 { "0.5" } else { "2.5" };
            fields.extend([
                ("X-Request-Id", id.as_str()),
                ("X-Class", "pick-confirm"),
                ("X-Deadline", deadline),
            ]);
        }
        let answer = coordinator.call(
            to,
            &format!("{} {}", case.method, case.target),
            &fields,
            &case.body,
        );
        assert_eq!(answer.status, case.status, "{at}: {}", answer.json);
        let owned: Vec<_> = fields
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let asked = ObservedRequest {
            method: case.method,
            target: case.target,
            fields: &owned,
            body: case.body.as_bytes(),
        };
        let request = document.check_request(&asked);
        let number = request
            .operation_index
            .unwrap_or_else(|| panic!("{at} is not described"));
        if answer.status == 200 {
            assert_eq!(request.violations, [], "{at}");
        }
        let fields: Vec<_> = answer.fields.into_iter().collect();
        let body = answer.json.to_string();
        let answered = ObservedResponse {
            status: answer.status,
            fields: &fields,
            body: body.as_bytes(),
            complete: true,
        };
        assert_eq!(
            document.check_response(number, &answered).violations,
            [],
            "{at}: {body}"
        );
        called.insert(number);
    }
    let all: BTreeSet<usize> = (0..document.operations.len()).collect();
    let missed: Vec<_> = all
        .difference(&called)
        .map(|&at| &document.operations[at].name)
        .collect();
    assert!(missed.is_empty(), "described but never served: {missed:?}");
    // The checks can fail: an answer without its mark of wholeness is none.
    let kind = [("Content-Type".to_string(), "application/json".to_string())];
    let number = document.find_operation("POST", "/api").unwrap();
    let wrong = ObservedResponse {
        status: 200,
        fields: &kind,
        body: b"{\"hits\":[]}",
        complete: true,
    };
    assert_eq!(
        document.check_response(number, &wrong).violations[0].place,
        "body /complete"
    );
}

/// Frames and the watch as they were on the wire, checked against the published description.
#[test]
fn sent_frames_match_asyncapi() {
    let plan = |_, shard, _| {
        if shard == 7 {
            Behavior::NoAnswer
        } else {
            Behavior::Serve
        }
    };
    let coordinator = TestCoordinator::start(WireFormat::Platform, DataNodes::new(plan), 1000);
    let own = coordinator
        .call(coordinator.opensearch, "GET /asyncapi.json", &[], "")
        .json;
    let document = Description::from_text("asyncapi.json", &own.to_string()).unwrap();
    assert_eq!(
        coordinator
            .post_api("a-1", "stock-search", "0.5", &[1, 3], "~1~")
            .status,
        200
    );
    assert_eq!(
        coordinator
            .post_api("a-2", "pick-confirm", "0.3", &[7], "~2~")
            .status,
        504
    );
    // The cancel leaves together with the client's answer, but reaches the data node on its own way.
    let received = || coordinator.data_nodes.raw_messages.lock().unwrap().clone();
    wait_for("the cancel", || {
        received().iter().any(|frame| frame.starts_with('X'))
    });
    let frames = received();
    let mut letters = BTreeSet::new();
    let mut judge = |channel: &str, word: &str, head: Value, payload: &[u8]| {
        letters.insert(word.to_string());
        let found = document.check_message(channel, word, &head, payload);
        assert_eq!(found.violations, [], "{word} {head}");
    };
    for text in &frames {
        match text.split_at(1) {
            ("Q", mut rest) => {
                while !rest.is_empty() {
                    let (line, after) = rest.split_once('\n').unwrap();
                    let words: Vec<&str> = line.split(' ').collect();
                    let number = |text: &str| text.parse::<u64>().unwrap();
                    let length = number(words[3]);
                    let head = json!({"id": words[0], "shard": number(words[1]),
                        "d": number(words[2].strip_prefix("d=").unwrap()), "length": length});
                    judge("frames", "Q", head, &after.as_bytes()[..length as usize]);
                    rest = &after[length as usize..];
                }
            }
            ("X", id) => judge("frames", "X", json!({"id": id}), b""),
            (other, _) => panic!("a frame {other} was sent"),
        }
    }
    for line in coordinator.discovery.calls.lock().unwrap().iter() {
        let target = line.split(' ').nth(1).unwrap();
        let pairs = target
            .split_once('?')
            .map_or("", |(_, query)| query)
            .split('&')
            .filter(|pair| !pair.is_empty());
        let number = |pair: &str| {
            let (name, value) = pair.split_once('=').unwrap();
            (name.to_string(), json!(value.parse::<u64>().unwrap()))
        };
        judge(
            "watch",
            "ask",
            Value::Object(pairs.map(number).collect()),
            b"",
        );
    }
    let list = coordinator
        .call(
            coordinator.discovery.address,
            "GET /catalog/members",
            &[],
            "",
        )
        .json;
    judge("watch", "list", json!({}), list.to_string().as_bytes());
    assert_eq!(
        letters.len(),
        4,
        "a call, a cancel, an ask and a list were seen: {letters:?}"
    );
    assert!(!document
        .check_message("frames", "Q", &json!({"id": "1"}), b"")
        .violations
        .is_empty());
}
