//! Checks the program's published descriptions against the messages that it serves and sends.

mod common;

use cairnroad_contract::conformance::{ObservedRequest, ObservedResponse};
use cairnroad_contract::model::Description;
use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::process::Command;

/// Returns the path of a file in the workspace's root folder.
fn workspace_path(path: &str) -> std::path::PathBuf {
    std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// Guards against files under `api/` that differ from the program's output for the configuration in `api/sample`.
#[test]
fn description_files_match_the_programs_output() {
    for kind in ["openapi", "asyncapi"] {
        let output = Command::new(env!("CARGO_BIN_EXE_cairnroad"))
            .args(["contract", "show", "--kind", kind])
            .env("NODE_CONFIG", workspace_path("api/sample/config.json"))
            .env(
                "CAIRNROAD_FILE",
                workspace_path("api/sample/cairnroad.toml"),
            )
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        let committed =
            std::fs::read_to_string(workspace_path(&format!("api/{kind}.json"))).unwrap();
        assert_eq!(
            String::from_utf8(output.stdout).unwrap(),
            committed,
            "api/{kind}.json differs from `contract show --kind {kind}` for api/sample"
        );
    }
}

/// A request and the status that is expected for it.
struct Case {
    /// Whether the request is for the platform's front instead of the query front.
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
    let two_searches = "{\"index\":\"stock-search\"}\n{}\n{\"index\":\"none\"}\n{}\n";
    let api = r#"{"shards":[{"shard":1,"weight":1.0}],"q":"~2~"}"#;
    let unanswered = r#"{"shards":[{"shard":7,"weight":1.0}],"q":"~3~"}"#;
    let busy = r#"{"shards":[{"shard":6,"weight":1.0}],"q":"~4~"}"#;
    vec![
        case("GET", "/_health", "", 200),
        case("POST", "/api", api, 200),
        case("POST", "/api", "{}", 400),
        case("POST", "/api", &"x".repeat(70_000), 413),
        case("POST", "/api", unanswered, 504),
        case("POST", "/api", busy, 503),
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
        case("POST", "/_msearch", two_searches, 200),
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

/// Checks the responses of a running coordinator against the OpenAPI description that it publishes itself.
#[test]
fn served_answers_match_openapi() {
    let plan = |_, shard, _| match shard {
        7 => Behavior::NoAnswer,
        6 => Behavior::Busy,
        _ => Behavior::Serve,
    };
    let coordinator = TestCoordinator::start(WireFormat::Platform, DataNodes::new(plan), 1000);
    let published = coordinator
        .call(coordinator.opensearch, "GET /openapi.json", &[], "")
        .json;
    let document = Description::from_text("openapi.json", &published.to_string()).unwrap();
    let mut called = BTreeSet::new();
    for (number, case) in cases().into_iter().enumerate() {
        let request_line = format!("{} {}", case.method, case.target);
        let address = if case.platform {
            coordinator.platform
        } else {
            coordinator.opensearch
        };
        let id = format!("d{number}");
        let media_type = if case.target.contains("_msearch") {
            "application/x-ndjson"
        } else {
            "application/json"
        };
        let mut fields = vec![("Content-Type", media_type)];
        if case.platform {
            let deadline = if case.status == 504 { "0.5" } else { "2.5" };
            fields.extend([
                ("X-Request-Id", id.as_str()),
                ("X-Class", "pick-confirm"),
                ("X-Deadline", deadline),
            ]);
        }
        let answer = coordinator.call(address, &request_line, &fields, &case.body);
        assert_eq!(
            answer.status, case.status,
            "{request_line}: {}",
            answer.json
        );
        let owned: Vec<_> = fields
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let observed_request = ObservedRequest {
            method: case.method,
            target: case.target,
            fields: &owned,
            body: case.body.as_bytes(),
        };
        let request = document.check_request(&observed_request);
        let number = request
            .operation_index
            .unwrap_or_else(|| panic!("{request_line}: no operation in the description matches"));
        if answer.status == 200 {
            assert_eq!(request.violations, [], "{request_line}");
        }
        let fields: Vec<_> = answer.fields.into_iter().collect();
        let body = answer.json.to_string();
        let observed_response = ObservedResponse {
            status: answer.status,
            fields: &fields,
            body: body.as_bytes(),
            complete: true,
        };
        assert_eq!(
            document
                .check_response(number, &observed_response)
                .violations,
            [],
            "{request_line}: {body}"
        );
        called.insert(number);
    }
    let all: BTreeSet<usize> = (0..document.operations.len()).collect();
    let uncalled: Vec<_> = all
        .difference(&called)
        .map(|&at| &document.operations[at].name)
        .collect();
    assert!(
        uncalled.is_empty(),
        "operations in the description without a test case: {uncalled:?}"
    );
    // Shows that the checks can fail: a response without the field `complete` violates the description.
    let fields = [("Content-Type".to_string(), "application/json".to_string())];
    let number = document.find_operation("POST", "/api").unwrap();
    let violating = ObservedResponse {
        status: 200,
        fields: &fields,
        body: b"{\"hits\":[]}",
        complete: true,
    };
    assert_eq!(
        document.check_response(number, &violating).violations[0].place,
        "body /complete"
    );
}

/// Checks the frames and watch requests that the stand-ins received against the AsyncAPI description that the coordinator
/// publishes.
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
    let published = coordinator
        .call(coordinator.opensearch, "GET /asyncapi.json", &[], "")
        .json;
    let document = Description::from_text("asyncapi.json", &published.to_string()).unwrap();
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
    // The cancel is sent at the same time as the client's answer, and may arrive after it.
    let received = || coordinator.data_nodes.raw_messages.lock().unwrap().clone();
    wait_for("the cancel at the data node", || {
        received().iter().any(|frame| frame.starts_with('X'))
    });
    let frames = received();
    let mut message_types = BTreeSet::new();
    let mut check_message = |channel: &str, message_type: &str, head: Value, payload: &[u8]| {
        message_types.insert(message_type.to_string());
        let found = document.check_message(channel, message_type, &head, payload);
        assert_eq!(found.violations, [], "{message_type} {head}");
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
                    check_message("frames", "Q", head, &after.as_bytes()[..length as usize]);
                    rest = &after[length as usize..];
                }
            }
            ("X", id) => check_message("frames", "X", json!({"id": id}), b""),
            (other, _) => panic!("expected only frames of type Q and X, found {other}"),
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
        check_message(
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
    check_message("watch", "list", json!({}), list.to_string().as_bytes());
    assert_eq!(
        message_types.len(),
        4,
        "expected a call, a cancel, a watch request and a list, found {message_types:?}"
    );
    assert!(!document
        .check_message("frames", "Q", &json!({"id": "1"}), b"")
        .violations
        .is_empty());
}
