//! The OpenAPI and AsyncAPI descriptions against what the program serves and sends.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;

fn document(name: &str) -> Value {
    let path = format!("{}/../api/{name}", env!("CARGO_MANIFEST_DIR"));
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// Checks a value against a schema of the document, its references included.
fn conforms(document: &Value, schema: &Value, value: &Value) -> Result<(), String> {
    let mut schema = schema.clone();
    schema["components"] = document["components"].clone();
    let validator = jsonschema::validator_for(&schema).unwrap();
    validator.validate(value).map_err(|e| format!("{e}: {value}"))
}

/// One call, and the path and method of the description that it is checked against.
struct Case {
    path: &'static str,
    method: &'static str,
    target: &'static str,
    body: String,
    status: u16,
}

fn cases() -> Vec<Case> {
    let case =
        |path, method, target, body: &str, status| Case { path, method, target, body: body.into(), status };
    let query = r#"{"query":{"match":{"text":"~1~"}}}"#;
    let many = "{\"index\":\"stock-search\"}\n{}\n{\"index\":\"none\"}\n{}\n";
    let api = r#"{"shards":[{"shard":1,"weight":1.0}],"q":"~2~"}"#;
    let silent = r#"{"shards":[{"shard":7,"weight":1.0}],"q":"~3~"}"#;
    let full = r#"{"shards":[{"shard":6,"weight":1.0}],"q":"~4~"}"#;
    vec![
        case("/_health", "get", "/_health", "", 200),
        case("/api", "post", "/api", api, 200),
        case("/api", "post", "/api", "{}", 400),
        case("/api", "post", "/api", &"x".repeat(70_000), 413),
        case("/api", "post", "/api", silent, 504),
        case("/api", "post", "/api", full, 503),
        case("/{index}/_search", "post", "/stock-search/_search?preference=_shards:1,2&size=1", query, 200),
        case("/{index}/_search", "get", "/stock-search/_search?preference=_shards:1&q=a&timeout=1s", "", 200),
        case("/{index}/_search", "post", "/stock-search/_search", "{\"aggs\":{}}", 400),
        case("/{index}/_search", "post", "/none/_search", query, 404),
        case(
            "/{index}/_search",
            "post",
            "/pick-confirm/_search?preference=_shards:7&timeout=300ms",
            query,
            504,
        ),
        case("/{index}/_search", "post", "/stock-search/_search?preference=_shards:6", query, 503),
        case("/_msearch", "post", "/_msearch", many, 200),
        case("/_msearch", "get", "/_msearch", "{}", 400),
        case("/{index}/_msearch", "post", "/stock-search/_msearch?preference=_shards:1", "{}\n{}\n", 200),
        case("/{index}/_msearch", "get", "/stock-search/_msearch?preference=_shards:1,2", "\n{}\n", 200),
    ]
}

#[test]
fn what_is_served_is_what_openapi_says() {
    let document = document("openapi.json");
    let plan = |_, shard, _| match shard {
        7 => Act::Silent,
        6 => Act::Busy,
        _ => Act::Serve,
    };
    let rig = Rig::start(Wire::Platform, Stage::new(plan), 1000);
    let mut called = BTreeSet::new();
    for (number, case) in cases().into_iter().enumerate() {
        let at = format!("{} {}", case.method, case.target);
        let platform = matches!(case.path, "/_health" | "/api");
        let to = if platform { rig.platform } else { rig.opensearch };
        let id = format!("d{number}");
        let fields = [
            ("X-Request-Id", id.as_str()),
            ("X-Class", "pick-confirm"),
            ("X-Deadline", if case.status == 504 { "0.5" } else { "2.5" }),
        ];
        let line = format!("{} {}", case.method.to_uppercase(), case.target);
        let told = rig.call(to, &line, if platform { &fields } else { &[] }, &case.body);
        assert_eq!(told.status, case.status, "{at}: {}", told.json);
        let operation = &document["paths"][case.path][case.method];
        let described = &operation["responses"][told.status.to_string()];
        assert!(described.is_object(), "{at}: {} is not described", told.status);
        let schema = &described["content"]["application/json"]["schema"];
        conforms(&document, schema, &told.json).unwrap_or_else(|e| panic!("{at}: {e}"));
        for (name, header) in described["headers"].as_object().into_iter().flatten() {
            match told.fields.get(&name.to_ascii_lowercase()) {
                Some(value) => conforms(&document, &header["schema"], &json!(value)).unwrap(),
                None => assert_eq!(header["required"], json!(false), "{at}: {name} is missing"),
            }
        }
        if told.status == 200 && !case.body.is_empty() {
            let request = &operation["requestBody"]["content"]["application/json"]["schema"];
            if request.is_object() {
                let body = serde_json::from_str(&case.body).unwrap();
                conforms(&document, request, &body).unwrap_or_else(|e| panic!("{at}: {e}"));
            }
        }
        called.insert((case.path, case.method));
    }
    for (path, item) in document["paths"].as_object().unwrap() {
        for method in ["get", "post"].into_iter().filter(|method| item.get(method).is_some()) {
            assert!(
                called.contains(&(path.as_str(), method)),
                "{method} {path} is described but never served"
            );
        }
    }
    // The checks can fail: an answer without its mark of wholeness is none.
    let answer = json!({"$ref": "#/components/schemas/PlatformAnswer"});
    assert!(conforms(&document, &answer, &json!({"hits": []})).is_err());
}

#[test]
fn what_is_sent_is_what_asyncapi_says() {
    let document = document("asyncapi.json");
    let payload = |channel: &str, name: &str| {
        let message = &document["channels"][channel]["messages"][name];
        assert!(message.is_object(), "{channel}/{name} is not described");
        message["payload"].clone()
    };
    let plan = |_, shard, _| if shard == 7 { Act::Silent } else { Act::Serve };
    let rig = Rig::start(Wire::Platform, Stage::new(plan), 1000);
    assert_eq!(rig.api("a-1", "stock-search", "0.5", &[1, 3], "~1~").status, 200);
    assert_eq!(rig.api("a-2", "pick-confirm", "0.3", &[7], "~2~").status, 504);
    let frames = rig.stage.wire.lock().unwrap().clone();
    let mut letters = BTreeSet::new();
    for text in &frames {
        let name = match &text[..1] {
            "Q" => "call",
            "X" => "giveUp",
            other => panic!("a frame {other} was sent"),
        };
        letters.insert(name);
        conforms(&document, &payload("frames", name), &json!(text)).unwrap();
    }
    assert_eq!(letters.len(), 2, "a call and a cancel were sent: {frames:?}");
    let calls = rig.discovery.calls.lock().unwrap().clone();
    assert!(calls.len() >= 2, "a list, then a watch");
    for line in &calls {
        conforms(&document, &payload("watch", "ask"), &json!(line)).unwrap();
    }
    let list = rig.call(rig.discovery.address, "GET /catalog/members", &[], "").json;
    conforms(&document, &payload("watch", "list"), &list).unwrap();
    assert!(conforms(&document, &payload("frames", "call"), &json!("Q1 2 3")).is_err());
    // Every operation names messages that are described.
    for (name, operation) in document["operations"].as_object().unwrap() {
        for message in operation["messages"].as_array().unwrap() {
            let pointer = message["$ref"].as_str().unwrap().trim_start_matches('#');
            assert!(document.pointer(pointer).is_some(), "{name}: {pointer}");
        }
    }
}
