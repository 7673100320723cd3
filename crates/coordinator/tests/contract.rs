//! Contract checks of a running coordinator: data nodes and clients that violate the descriptions in force, with every kind
//! of violation and on both protocols.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// An OpenAPI description of the stand-in data nodes of the query API. It is stricter than what the program requires.
const SEARCH_NODE_DESCRIPTION: &str = r##"
openapi: 3.1.0
info: {title: stand-in servers, version: "1"}
paths:
  /{class}/_search:
    post:
      parameters:
        - {name: class, in: path, required: true, schema: {enum: [stock-search, pick-confirm]}}
        - {name: preference, in: query, required: true, schema: {type: string, pattern: "^_shards:[0-9]+$"}}
      requestBody: {required: true, content: {application/json: {schema: {type: object, required: [query]}}}}
      responses:
        "200":
          description: Found.
          content: {application/json: {schema: {$ref: "#/components/schemas/Found"}}}
        "429": {description: Busy.}
        "500": {description: Failed.}
components:
  schemas:
    Found:
      type: object
      required: [took, hits]
      properties:
        took: {type: integer, maximum: 60000}
        hits: {type: object, required: [hits], properties: {hits: {type: array, items: {$ref: "#/components/schemas/Hit"}}}}
    Hit:
      type: object
      required: [_id, _score, _source]
      additionalProperties: false
      properties:
        _index: {enum: [stock]}
        _id: {type: string}
        _score: {type: number}
        _source: {type: object, required: [doc], properties: {doc: {type: string}, pin: {type: string, format: password}}}
"##;

/// An AsyncAPI description of the stand-in data nodes that speak the frame protocol.
const FRAME_NODE_DESCRIPTION: &str = r#"
asyncapi: 3.0.0
info: {title: stand-in servers, version: "1"}
channels:
  frames:
    messages:
      call: {x-frame: Q, contentType: text/plain, headers: {type: object, required: [id, shard]}, payload: {type: string}}
      giveUp: {x-frame: X}
      answer:
        x-frame: A
        contentType: text/plain
        headers:
          type: object
          properties:
            end: {enum: [ok, busy, err]}
            report: {type: object, required: [queue], properties: {queue: {type: number, minimum: 0}}}
        payload: {type: string, pattern: "^(value .*)?$"}
"#;

fn start_coordinator(
    wire: WireFormat,
    mode: &str,
    data_nodes: std::sync::Arc<DataNodes>,
) -> TestCoordinator {
    let members = start_data_nodes(wire, &data_nodes);
    start_with_members(wire, mode, data_nodes, members)
}

fn start_with_members(
    wire: WireFormat,
    mode: &str,
    data_nodes: std::sync::Arc<DataNodes>,
    members: Vec<Value>,
) -> TestCoordinator {
    let own = format!("[contract.servers]\nmode = \"{mode}\"\ndescription = \"servers.yaml\"\n");
    let text = if wire == WireFormat::OpenSearch {
        SEARCH_NODE_DESCRIPTION
    } else {
        FRAME_NODE_DESCRIPTION
    };
    TestCoordinator::start_with_files(
        wire,
        data_nodes,
        (1000, 1024),
        members,
        &own,
        &[("servers.yaml", text)],
    )
}

/// Polls the drift report until `is_expected` returns true for it, and returns it. Panics after 20 s with the last report.
fn wait_for_drift(coordinator: &TestCoordinator, is_expected: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let drift = coordinator
            .call(coordinator.opensearch, "GET /_contract", &[], "")
            .json;
        if is_expected(&drift) {
            return drift;
        }
        assert!(
            Instant::now() < end,
            "the drift report did not show the expected entries within 20 s: {drift:#}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the place and kind of each entry of a drift report.
fn drift_entries(drift: &Value) -> BTreeSet<(String, String)> {
    let text = |entry: &Value, key: &str| entry[key].as_str().unwrap().to_string();
    drift["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| (text(e, "place"), text(e, "kind")))
        .collect()
}

/// A search answer with this single hit.
macro_rules! search_answer {
    ($hit:literal) => {
        Behavior::Respond(
            "200 OK",
            "application/json",
            concat!(
                r#"{"took":3,"timed_out":false,"hits":{"max_score":1,"hits":["#,
                $hit,
                "]}}"
            ),
        )
    };
}

/// For each kind of violation: the data node's behavior, and the place and kind under which it is reported.
fn violating_answers() -> Vec<(Behavior, &'static str, &'static str)> {
    vec![
        (
            search_answer!(r#"{"_id":"1","_score":1,"_source":{"doc":7}}"#),
            "body /hits/hits/*/_source/doc",
            "type",
        ),
        (
            search_answer!(r#"{"_score":1,"_source":{"doc":"d"}}"#),
            "body /hits/hits/*/_id",
            "missing",
        ),
        (
            search_answer!(r#"{"_id":"1","_score":1,"_source":{"doc":"d"},"rank":1}"#),
            "body /hits/hits/*/rank",
            "additional",
        ),
        (
            search_answer!(r#"{"_index":"other","_id":"1","_score":1,"_source":{"doc":"d"}}"#),
            "body /hits/hits/*/_index",
            "enum",
        ),
        (
            Behavior::Respond(
                "200 OK",
                "application/json",
                r#"{"took":70000,"hits":{"hits":[]}}"#,
            ),
            "body /took",
            "bounds",
        ),
        (
            Behavior::Respond("200 OK", "text/html", r#"{"took":1,"hits":{"hits":[]}}"#),
            "header Content-Type",
            "media-type",
        ),
        (
            Behavior::Respond("418 Teapot", "application/json", "{}"),
            "status",
            "status",
        ),
        (
            Behavior::Respond("200 OK", "application/json", r#"{"took":1,"hits":}"#),
            "body",
            "not-json",
        ),
        (
            Behavior::Malformed(Malformation::TruncatedBody),
            "body",
            "truncated",
        ),
        (Behavior::CloseMidAnswer, "body", "truncated"),
    ]
}

/// Guards against a violation that crashes the program, is not reported, or changes the served answer in the mode `observe`.
#[test]
fn every_contract_violation_is_reported_with_its_path() {
    let plan = |marker: u64, _, _| {
        violating_answers()
            .get(marker as usize)
            .map_or(Behavior::Serve, |(behavior, ..)| *behavior)
    };
    let coordinator = start_coordinator(WireFormat::OpenSearch, "observe", DataNodes::new(plan));
    for (marker, (behavior, place, kind)) in violating_answers().into_iter().enumerate() {
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        let answer = coordinator.search("/pick-confirm/_search?preference=_shards:2", body);
        // In the mode `observe`, a violating answer is still served if it can be parsed.
        let is_served = matches!(behavior, Behavior::Respond("200 OK", ..)) && kind != "not-json";
        assert_eq!(
            answer.status == 200,
            is_served,
            "{behavior:?}: {}",
            answer.json
        );
        let reported = |drift: &Value| drift_entries(drift).contains(&(place.into(), kind.into()));
        wait_for_drift(&coordinator, reported);
    }
    let answer = coordinator.search(
        "/pick-confirm/_search?preference=_shards:2",
        json!({"query": {"match": {"text": "~99~"}}}),
    );
    assert_eq!(
        answer.status, 200,
        "an answer without violations must be served"
    );
    let report = wait_for_drift(&coordinator, |_| true);
    let entry = report["entries"]
        .as_array()
        .unwrap()
        .iter()
        .find(|e| e["kind"] == "type")
        .unwrap()
        .clone();
    assert_eq!(entry["operation"], "POST /{class}/_search");
    assert_eq!(
        entry["example"]["described"],
        "#/components/schemas/Hit/properties/_source/properties/doc/type"
    );
    assert_eq!(
        (&entry["example"]["expected"], &entry["example"]["found"]),
        (&json!("the type string"), &json!("7"))
    );
}

/// Guards against a violating value that reaches a client, and against a retry of a part that may run at most once because
/// its first answer violated the description.
#[test]
fn enforcement_serves_no_violating_value_and_runs_no_unsafe_part_twice() {
    // Only the first attempt of each part gets a violating answer, so that an idempotent part succeeds with its retry. Even
    // markers are for the idempotent class, odd ones for the class that may run at most once.
    let plan = |marker: u64, _, before| match violating_answers().get(marker as usize / 2) {
        Some((behavior, ..)) if before == 0 => *behavior,
        _ => Behavior::Serve,
    };
    let data_nodes = DataNodes::new(plan);
    let coordinator = start_coordinator(WireFormat::OpenSearch, "enforce", data_nodes.clone());
    for marker in 0..2 * violating_answers().len() as u64 {
        let class = if marker % 2 == 0 {
            "stock-search"
        } else {
            "pick-confirm"
        };
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        // Valid answers between the violations, since data nodes that only fail become outliers and get no more parts.
        for valid in 0..8 {
            let body =
                json!({"query": {"match": {"text": format!("~{}~", 1000 + 10 * marker + valid)}}});
            assert_eq!(
                coordinator
                    .search("/stock-search/_search?preference=_shards:2", body)
                    .status,
                200
            );
        }
        let answer = coordinator.search(&format!("/{class}/_search?preference=_shards:2"), body);
        match class {
            "stock-search" => {
                assert_eq!(answer.status, 200, "{marker}: {}", answer.json);
                assert_eq!(
                    answer.json["hits"]["hits"][0]["_source"]["doc"],
                    json!(part_value(marker, 2))
                );
            }
            _ => assert_eq!(answer.status, 500, "{marker}: {}", answer.json),
        }
    }
    for ((marker, shard), runs) in data_nodes.execution_counts() {
        assert!(
            marker >= 1000 || marker % 2 == 0 || runs == 1,
            "shard {shard} of pick-confirm request {marker}: expected 1 execution, found {runs}"
        );
    }
}

/// Enforcement on the frame protocol, where the value is text and the load report can violate the description too.
#[test]
fn frames_are_checked_against_their_description() {
    let plan = |marker: u64, _, before| match marker {
        1..=2 if before == 0 => Behavior::Respond("", "", "no value at all"),
        3 if before == 0 => Behavior::Irregular(Irregularity::UnreadableReport),
        _ => Behavior::Serve,
    };
    let data_nodes = DataNodes::new(plan);
    let coordinator = start_coordinator(WireFormat::Platform, "enforce", data_nodes.clone());
    assert_eq!(
        coordinator
            .post_api("f-1", "stock-search", "2.0", &[2], "~1~")
            .status,
        200
    );
    assert_eq!(
        coordinator
            .post_api("f-2", "pick-confirm", "2.0", &[2], "~2~")
            .status,
        500
    );
    assert_eq!(
        coordinator
            .post_api("f-3", "stock-search", "2.0", &[2], "~3~")
            .status,
        200
    );
    let found = wait_for_drift(&coordinator, |drift| drift_entries(drift).len() >= 2);
    let expected = [
        ("body".to_string(), "pattern".to_string()),
        ("head /report/queue".into(), "missing".into()),
    ];
    assert_eq!(drift_entries(&found), expected.into());
    assert!(
        data_nodes
            .execution_counts()
            .values()
            .all(|&runs| runs <= 2)
            && data_nodes.execution_counts()[&(2, 2)] == 1
    );
}

/// Guards against a request that violates the description but is still sent to data nodes, on both fronts.
#[test]
fn enforcement_rejects_a_violating_request_before_sending_parts() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let own = "[contract.platform]\nmode = \"enforce\"\ndescription = \"api.yaml\"\n\
        [contract.query]\nmode = \"enforce\"\ndescription = \"api.yaml\"\n";
    let api = r#"
openapi: 3.0.3
info: {title: clients, version: "1"}
paths:
  /api:
    post:
      parameters:
        - {name: X-Class, in: header, required: true, schema: {type: string, enum: [pick-confirm]}}
      requestBody:
        required: true
        content:
          application/json:
            schema:
              type: object
              properties: {q: {type: string, maxLength: 8}, secret: {type: integer, writeOnly: true}}
      responses: {default: {description: Anything.}}
  /{index}/_search:
    post:
      parameters:
        - {name: index, in: path, required: true, schema: {type: string}}
        - {name: size, in: query, required: true, schema: {type: integer, maximum: 5}}
      responses: {default: {description: Anything.}}
"#;
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let coordinator = TestCoordinator::start_with_files(
        WireFormat::Platform,
        data_nodes.clone(),
        (1000, 1024),
        members,
        own,
        &[("api.yaml", api)],
    );
    let answer = coordinator.post_api("e-1", "stock-search", "2.0", &[1], "~1~");
    assert_eq!(answer.status, 400);
    let cause = "header X-Class: wanted one of [\"pick-confirm\"], found \"stock-search\"";
    assert_eq!(answer.json["error"], cause);
    let answer = coordinator.post_api("e-2", "pick-confirm", "2.0", &[1], "longer than eight");
    assert_eq!(
        answer.json["error"],
        "body /q: wanted 8 characters or less, found \"longer than eight\""
    );
    let answer = coordinator.search("/stock-search/_search?size=6", json!({}));
    assert_eq!(
        answer.json["error"]["reason"],
        "query size: wanted 5 or less, found 6"
    );
    assert_eq!(
        coordinator
            .search("/stock-search/_search", json!({}))
            .status,
        400,
        "a request without a required parameter must be rejected"
    );
    assert!(
        data_nodes.received.lock().unwrap().is_empty(),
        "no part of a rejected request may reach a data node"
    );
    assert_eq!(
        coordinator
            .post_api("e-3", "pick-confirm", "2.0", &[1], "~1~")
            .status,
        200
    );
    assert_eq!(
        coordinator
            .search("/stock-search/_search?size=5", json!({}))
            .status,
        200
    );
    assert_eq!(
        coordinator
            .call(coordinator.platform, "GET /_health", &[], "")
            .status,
        200,
        "a request to an operation without a description must be served"
    );
    let secret = r#"{"shards":[{"shard":1,"weight":1}],"q":"~1~","secret":"hunter2"}"#;
    let fields = [
        ("X-Request-Id", "e-4"),
        ("X-Class", "pick-confirm"),
        ("X-Deadline", "2.0"),
    ];
    let answer = coordinator.call(coordinator.platform, "POST /api", &fields, secret);
    assert_eq!(
        answer.json["error"],
        "body /secret: wanted the type integer, found (left out)"
    );
}

/// Three of twelve data nodes, all started later than the others, change the form of their answers under load. The drift
/// report must name these servers, the field and the time.
#[test]
fn contract_drift_names_servers_field_and_time() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let start = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64;
    // Data nodes 9 to 11 started last. All of them started long enough ago to be past their slow start.
    let member = |number: usize| {
        let address = start_search_node(number, data_nodes.clone());
        let started = start - if number >= 9 { 60_000 } else { 3_600_000 };
        json!({"id": format!("s-{number:02}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
            "cell": number as u32 % CELLS, "phase": "active", "size": 1.0, "up_since_ms": started})
    };
    let members: Vec<Value> = (0..12).map(member).collect();
    let coordinator = start_with_members(
        WireFormat::OpenSearch,
        "enforce",
        data_nodes.clone(),
        members,
    );
    let violating_answer = search_answer!(r#"{"_id":"1","_score":1,"_source":{"doc":17}}"#);
    let mut answered = 0;
    let mut marker = 0;
    let mut send_query = |class: &str, shards: &str| {
        marker += 1;
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        let answer = coordinator.search(
            &format!("/{class}/_search?preference=_shards:{shards}"),
            body,
        );
        answered += 1;
        for hit in answer.json["hits"]["hits"].as_array().into_iter().flatten() {
            assert_ne!(
                hit["_source"]["doc"],
                json!(17),
                "a violating value reached a client"
            );
        }
        answer.status
    };
    for _ in 0..10 {
        assert_eq!(send_query("stock-search", "0,1,2,3,4,5,6,7"), 200);
    }
    for number in 9..12 {
        data_nodes
            .overrides
            .lock()
            .unwrap()
            .insert(number, violating_answer);
    }
    let mut failed = 0;
    for round in 0..40 {
        let status = send_query("stock-search", "0,1,2,3,4,5,6,7");
        assert!(
            status == 200 || status >= 500,
            "expected status 200 or at least 500, found {status}"
        );
        failed +=
            usize::from(send_query("pick-confirm", if round % 2 == 0 { "2" } else { "3" }) == 500);
    }
    assert!(
        failed > 0,
        "no pick-confirm request reached a changed server, so the test checked nothing"
    );
    assert_eq!(answered, 90, "every query must get exactly one answer");
    // After the first 10 queries the classes alternate, so even markers are pick-confirm requests, which run at most once.
    let seen = data_nodes.received.lock().unwrap();
    let confirm_parts = seen
        .iter()
        .filter(|seen| marker_of(&seen.query) > 10 && marker_of(&seen.query).is_multiple_of(2));
    let mut executed = BTreeSet::new();
    for part in confirm_parts {
        assert!(
            executed.insert((marker_of(&part.query), part.shard)),
            "a part of a pick-confirm request was sent twice: {part:?}"
        );
    }
    drop(seen);
    let found = wait_for_drift(&coordinator, |drift| drift["entries"][0]["of"][0] == 3);
    let entry = &found["entries"][0];
    let parties: BTreeSet<&str> = entry["parties"]
        .as_array()
        .unwrap()
        .iter()
        .map(|p| p[0].as_str().unwrap())
        .collect();
    assert_eq!(parties, ["s-09", "s-10", "s-11"].into());
    assert_eq!(
        (&entry["of"], &entry["place"]),
        (&json!([3, 12]), &json!("body /hits/hits/*/_source/doc"))
    );
    let first = entry["first"].as_f64().unwrap();
    let start = start as f64 / 1000.0;
    assert!(
        first >= start && first < start + 60.0,
        "the first violation must be at most 60 s after {start}, found {first}"
    );
    let summary = entry["summary"].as_str().unwrap();
    assert!(
        summary.starts_with("3 of 12 servers (")
            && summary.contains(", all of them newer than the rest: "),
        "{summary}"
    );
    assert!(summary.contains(") began to depart at "), "{summary}");
    // The entries of a data node that leaves the endpoint list are dropped.
    coordinator.discovery.set_phase(9, "left");
    wait_for_drift(&coordinator, |drift| drift["entries"][0]["of"][0] == 2);
}

fn marker_of(text: &str) -> u64 {
    common::marker(text)
}

/// Guards against an invalid description that is accepted at startup, or that replaces the valid one on SIGHUP.
#[test]
fn an_invalid_description_fails_startup_and_is_ignored_on_reload() {
    let coordinator = start_coordinator(
        WireFormat::OpenSearch,
        "observe",
        DataNodes::new(|_, _, _| Behavior::Serve),
    );
    let path = coordinator.folder.join("servers.yaml");
    std::fs::write(
        &path,
        SEARCH_NODE_DESCRIPTION.replace("maximum: 60000", "maximum: sixty"),
    )
    .unwrap();
    coordinator.signal("HUP");
    coordinator.wait_for_log_line("descriptions rejected");
    let before = wait_for_drift(&coordinator, |_| true);
    assert_eq!(
        (
            &before["generation"],
            &before["interfaces"]["servers"]["mode"]
        ),
        (&json!(1), &json!("observe"))
    );
    let output = Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .env("NODE_CONFIG", coordinator.folder.join("config.json"))
        .env("CAIRNROAD_FILE", coordinator.folder.join("own.toml"))
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(
        stderr.contains("servers.yaml:23:")
            && stderr.contains("/components/schemas/Found/properties/took/maximum"),
        "{stderr}"
    );
    std::fs::write(
        &path,
        SEARCH_NODE_DESCRIPTION.replace("maximum: 60000", "maximum: 1"),
    )
    .unwrap();
    coordinator.signal("HUP");
    wait_for_drift(&coordinator, |drift| drift["generation"] == 2);
    coordinator.search(
        "/stock-search/_search?preference=_shards:1",
        json!({"query": {"match": {"text": "~1~"}}}),
    );
    wait_for_drift(&coordinator, |drift| {
        drift_entries(drift).contains(&("body /took".into(), "bounds".into()))
    });
    // Violations of a replaced description are no longer reported.
    std::fs::write(&path, SEARCH_NODE_DESCRIPTION).unwrap();
    coordinator.signal("HUP");
    wait_for_drift(&coordinator, |drift| {
        drift["generation"] == 3 && drift["entries"] == json!([])
    });
}

/// Runs the program with these arguments in the workspace's root folder.
fn run_cairnroad(args: &[&str]) -> Output {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .args(args)
        .current_dir(folder)
        .output()
        .unwrap()
}

/// Checks the exit codes and texts of the `contract` commands and of the other subcommands.
#[test]
fn contract_commands_report_errors_with_exit_codes() {
    let folder = std::env::temp_dir().join(format!("cairnroad-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).to_str().unwrap().to_string()
    };
    let good = file("good.yaml", SEARCH_NODE_DESCRIPTION);
    let newer = file(
        "newer.yaml",
        &SEARCH_NODE_DESCRIPTION.replace("required: [took, hits]", "required: [took]"),
    );
    let bad = file(
        "bad.yaml",
        &SEARCH_NODE_DESCRIPTION.replace(
            "$ref: \"#/components/schemas/Found\"",
            "$ref: \"#/nowhere\"",
        ),
    );
    let old = file("old.json", "{\"swagger\": \"2.0\"}");
    let traffic = file(
        "traffic.jsonl",
        "{\"method\":\"POST\",\"target\":\"/stock-search/_search?preference=_shards:1\",\"fields\":{\"Content-Type\":\
         \"application/json\"},\"body\":{\"query\":{}},\"answer\":{\"status\":200,\"fields\":{\"Content-Type\":\
         \"application/json\"},\"body\":{\"took\":1}}}\n",
    );
    let check = |args: &[&str], code: i32, expected_texts: &[&str]| {
        let output = run_cairnroad(args);
        let text =
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        for expected in expected_texts {
            assert!(
                text.contains(expected),
                "{args:?}: expected the output to contain {expected:?}, found {text}"
            );
        }
    };
    check(
        &["contract", "check", &good],
        0,
        &["valid: OpenApi 3.1.0, stand-in servers 1, 1 operations"],
    );
    check(
        &["contract", "check", &good, &bad],
        1,
        &["bad.yaml:14:", "no node at #/nowhere"],
    );
    check(
        &["contract", "check", "--json", &bad],
        1,
        &["\"sound\":false", "\"line\":14"],
    );
    check(
        &["contract", "check", &old],
        1,
        &["unsupported version Swagger 2.0: supported are OpenAPI 3.0 and 3.1, AsyncAPI 2.6 and 3.0"],
    );
    check(
        &["contract", "check", "nowhere.yaml"],
        2,
        &["nowhere.yaml: No such file"],
    );
    check(&["contract", "check"], 2, &["Usage"]);
    check(&["contract", "diff", &good, &good], 0, &["no difference"]);
    check(
        &["contract", "diff", &good, &newer],
        1,
        &["breaking: POST /{class}/_search, answer 200 hits: it became optional"],
    );
    check(
        &["contract", "diff", &newer, &good],
        0,
        &["compatible: POST /{class}/_search, answer 200 hits: it became required"],
    );
    check(
        &["contract", "diff", &good, &bad],
        2,
        &["no node at #/nowhere"],
    );
    check(
        &["contract", "replay", &good, &traffic],
        1,
        &["2 messages, 1 violations", "body /hits"],
    );
    check(&["contract", "replay", &good, "nowhere"], 2, &["nowhere"]);
    check(
        &["contract", "show", "--kind", "soap"],
        2,
        &["openapi", "asyncapi"],
    );
    check(&["check-config"], 1, &["NODE_CONFIG is not set"]);
    check(&["--version"], 0, &["cairnroad 0."]);
    check(&["serv"], 2, &["serve"]);
    let sample = Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .arg("check-config")
        .env("NODE_CONFIG", "../../api/sample/config.json")
        .env("CAIRNROAD_FILE", "../../api/sample/cairnroad.toml")
        .output()
        .unwrap();
    let text = String::from_utf8(sample.stdout).unwrap();
    assert!(
        sample.status.success() && text.contains("listen: \"127.0.0.1:9000\""),
        "{text}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}
