//! Contract checks: data nodes and clients that violate the descriptions in force, in every way and on both wires,
//! while the program serves.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// The description of stand-in data nodes of the query API, stricter than what the program requires.
const SERVERS: &str = r##"
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

/// The same for data nodes that speak frames.
const FRAMES: &str = r#"
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

fn coordinator(
    wire: WireFormat,
    mode: &str,
    data_nodes: std::sync::Arc<DataNodes>,
) -> TestCoordinator {
    let members = start_data_nodes(wire, &data_nodes);
    with_members(wire, mode, data_nodes, members)
}

fn with_members(
    wire: WireFormat,
    mode: &str,
    data_nodes: std::sync::Arc<DataNodes>,
    members: Vec<Value>,
) -> TestCoordinator {
    let own = format!("[contract.servers]\nmode = \"{mode}\"\ndescription = \"servers.yaml\"\n");
    let text = if wire == WireFormat::OpenSearch {
        SERVERS
    } else {
        FRAMES
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

/// The drift report, once it shows what is waited for.
fn drift(coordinator: &TestCoordinator, shows: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let drift = coordinator
            .call(coordinator.opensearch, "GET /_contract", &[], "")
            .json;
        if shows(&drift) {
            return drift;
        }
        assert!(Instant::now() < end, "{drift:#}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn entries(drift: &Value) -> BTreeSet<(String, String)> {
    let word = |entry: &Value, key: &str| entry[key].as_str().unwrap().to_string();
    drift["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| (word(e, "place"), word(e, "kind")))
        .collect()
}

/// A hits object whose one hit is given.
macro_rules! found {
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

/// Each kind of violation: what the data node answers, and where and how it is reported.
fn violating_answers() -> Vec<(Behavior, &'static str, &'static str)> {
    vec![
        (
            found!(r#"{"_id":"1","_score":1,"_source":{"doc":7}}"#),
            "body /hits/hits/*/_source/doc",
            "type",
        ),
        (
            found!(r#"{"_score":1,"_source":{"doc":"d"}}"#),
            "body /hits/hits/*/_id",
            "missing",
        ),
        (
            found!(r#"{"_id":"1","_score":1,"_source":{"doc":"d"},"rank":1}"#),
            "body /hits/hits/*/rank",
            "additional",
        ),
        (
            found!(r#"{"_index":"other","_id":"1","_score":1,"_source":{"doc":"d"}}"#),
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

/// Guards against a departure that crashes the program, goes unreported, or (under `observe`) changes anything.
#[test]
fn every_contract_violation_is_reported_with_its_path() {
    let plan = |marker: u64, _, _| {
        violating_answers()
            .get(marker as usize)
            .map_or(Behavior::Serve, |(behavior, ..)| *behavior)
    };
    let coordinator = coordinator(WireFormat::OpenSearch, "observe", DataNodes::new(plan));
    for (marker, (behavior, place, kind)) in violating_answers().into_iter().enumerate() {
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        let answer = coordinator.search("/pick-confirm/_search?preference=_shards:2", body);
        // Observed only: what could be served before still is.
        let serves = matches!(behavior, Behavior::Respond("200 OK", ..)) && kind != "not-json";
        assert_eq!(
            answer.status == 200,
            serves,
            "{behavior:?}: {}",
            answer.json
        );
        let shown = |drift: &Value| entries(drift).contains(&(place.into(), kind.into()));
        drift(&coordinator, shown);
    }
    let answer = coordinator.search(
        "/pick-confirm/_search?preference=_shards:2",
        json!({"query": {"match": {"text": "~99~"}}}),
    );
    assert_eq!(answer.status, 200, "the program keeps serving");
    let all = drift(&coordinator, |_| true);
    let entry = all["entries"]
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

/// Guards against a violating value that reaches a client, and against a part that may not run twice and does because
/// its answer was not believed.
#[test]
fn enforcement_serves_no_violating_value_and_runs_no_unsafe_part_twice() {
    // Odd markers depart at the first attempt of each part only; a safe part then gets a good answer.
    let plan = |marker: u64, _, before| match violating_answers().get(marker as usize / 2) {
        Some((behavior, ..)) if before == 0 => *behavior,
        _ => Behavior::Serve,
    };
    let data_nodes = DataNodes::new(plan);
    let coordinator = coordinator(WireFormat::OpenSearch, "enforce", data_nodes.clone());
    for marker in 0..2 * violating_answers().len() as u64 {
        let class = if marker % 2 == 0 {
            "stock-search"
        } else {
            "pick-confirm"
        };
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        // Good answers between: data nodes that only fail get no more parts.
        for good in 0..8 {
            let body =
                json!({"query": {"match": {"text": format!("~{}~", 1000 + 10 * marker + good)}}});
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
            "part {shard} of the pick-confirm {marker} ran {runs} times"
        );
    }
}

/// The same on frames, where a value is text and a report may depart.
#[test]
fn frames_are_checked_against_their_description() {
    let plan = |marker: u64, _, before| match marker {
        1..=2 if before == 0 => Behavior::Respond("", "", "no value at all"),
        3 if before == 0 => Behavior::Irregular(Irregularity::UnreadableReport),
        _ => Behavior::Serve,
    };
    let data_nodes = DataNodes::new(plan);
    let coordinator = coordinator(WireFormat::Platform, "enforce", data_nodes.clone());
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
    let found = drift(&coordinator, |drift| entries(drift).len() >= 2);
    let wanted = [
        ("body".to_string(), "pattern".to_string()),
        ("head /report/queue".into(), "missing".into()),
    ];
    assert_eq!(entries(&found), wanted.into());
    assert!(
        data_nodes
            .execution_counts()
            .values()
            .all(|&runs| runs <= 2)
            && data_nodes.execution_counts()[&(2, 2)] == 1
    );
}

/// Guards against a request that departs and is sent on all the same, on both fronts.
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
        "a required parameter is missing"
    );
    assert!(
        data_nodes.received.lock().unwrap().is_empty(),
        "nothing was sent for any of them"
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
        "what is not described is served"
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

/// 12 data nodes, of which 3 newer ones change the form of their answers under load.
#[test]
fn contract_drift_names_servers_field_and_time() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let start = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64;
    // The three started last; all long enough ago to be warm.
    let member = |number: usize| {
        let address = start_search_node(number, data_nodes.clone());
        let up = start - if number >= 9 { 60_000 } else { 3_600_000 };
        json!({"id": format!("s-{number:02}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
            "cell": number as u32 % CELLS, "phase": "active", "size": 1.0, "up_since_ms": up})
    };
    let members: Vec<Value> = (0..12).map(member).collect();
    let coordinator = with_members(
        WireFormat::OpenSearch,
        "enforce",
        data_nodes.clone(),
        members,
    );
    let wrong = found!(r#"{"_id":"1","_score":1,"_source":{"doc":17}}"#);
    let mut answered = 0;
    let mut marker = 0;
    let mut ask = |class: &str, shards: &str| {
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
                "a departing value reached a client"
            );
        }
        answer.status
    };
    for _ in 0..10 {
        assert_eq!(ask("stock-search", "0,1,2,3,4,5,6,7"), 200);
    }
    for number in 9..12 {
        data_nodes.overrides.lock().unwrap().insert(number, wrong);
    }
    let mut failed = 0;
    for round in 0..40 {
        let status = ask("stock-search", "0,1,2,3,4,5,6,7");
        assert!(status == 200 || status >= 500, "{status}");
        failed += usize::from(ask("pick-confirm", if round % 2 == 0 { "2" } else { "3" }) == 500);
    }
    assert!(
        failed > 0,
        "no pick-confirm met a changed server: nothing was shown"
    );
    assert_eq!(answered, 90, "every query got its one answer");
    // Queries of one part at a time, by marker: those of the second class may run once only.
    let seen = data_nodes.received.lock().unwrap();
    let confirms = seen
        .iter()
        .filter(|seen| marker_of(&seen.query) > 10 && marker_of(&seen.query).is_multiple_of(2));
    let mut once = BTreeSet::new();
    for part in confirms {
        assert!(
            once.insert((marker_of(&part.query), part.shard)),
            "a pick-confirm's part ran twice: {part:?}"
        );
    }
    drop(seen);
    let found = drift(&coordinator, |drift| drift["entries"][0]["of"][0] == 3);
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
        "the moment: {first} after {start}"
    );
    let words = entry["summary"].as_str().unwrap();
    assert!(
        words.starts_with("3 of 12 servers (")
            && words.contains(", all of them newer than the rest: "),
        "{words}"
    );
    assert!(words.contains(") began to depart at "), "{words}");
    // A data node that is replaced is forgotten.
    coordinator.discovery.set_phase(9, "left");
    drift(&coordinator, |drift| drift["entries"][0]["of"][0] == 2);
}

fn marker_of(text: &str) -> u64 {
    common::marker(text)
}

/// Guards against a faulty description that takes the good one's place, at a start and at SIGHUP.
#[test]
fn an_invalid_description_fails_startup_and_is_ignored_on_reload() {
    let coordinator = coordinator(
        WireFormat::OpenSearch,
        "observe",
        DataNodes::new(|_, _, _| Behavior::Serve),
    );
    let path = coordinator.folder.join("servers.yaml");
    std::fs::write(&path, SERVERS.replace("maximum: 60000", "maximum: sixty")).unwrap();
    coordinator.signal("HUP");
    coordinator.wait_for_log_line("descriptions rejected");
    let before = drift(&coordinator, |_| true);
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
    let words = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{words}");
    assert!(
        words.contains("servers.yaml:23:")
            && words.contains("/components/schemas/Found/properties/took/maximum"),
        "{words}"
    );
    std::fs::write(&path, SERVERS.replace("maximum: 60000", "maximum: 1")).unwrap();
    coordinator.signal("HUP");
    drift(&coordinator, |drift| drift["generation"] == 2);
    coordinator.search(
        "/stock-search/_search?preference=_shards:1",
        json!({"query": {"match": {"text": "~1~"}}}),
    );
    drift(&coordinator, |drift| {
        entries(drift).contains(&("body /took".into(), "bounds".into()))
    });
    // The drift of the old description is no longer reported once another is in force.
    std::fs::write(&path, SERVERS).unwrap();
    coordinator.signal("HUP");
    drift(&coordinator, |drift| {
        drift["generation"] == 3 && drift["entries"] == json!([])
    });
}

fn cairnroad(args: &[&str]) -> Output {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .args(args)
        .current_dir(folder)
        .output()
        .unwrap()
}

/// The commands' exit codes and outputs, as a user meets them.
#[test]
fn contract_commands_report_errors_with_exit_codes() {
    let folder = std::env::temp_dir().join(format!("cairnroad-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).to_str().unwrap().to_string()
    };
    let good = file("good.yaml", SERVERS);
    let newer = file(
        "newer.yaml",
        &SERVERS.replace("required: [took, hits]", "required: [took]"),
    );
    let bad = file(
        "bad.yaml",
        &SERVERS.replace(
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
    let check = |args: &[&str], code: i32, words: &[&str]| {
        let output = cairnroad(args);
        let text =
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        for word in words {
            assert!(text.contains(word), "{args:?}: {word} is not in {text}");
        }
    };
    check(
        &["contract", "check", &good],
        0,
        &["sound: OpenApi 3.1.0, stand-in servers 1, 1 operations"],
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
        &["2 messages, 1 departures", "body /hits"],
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
