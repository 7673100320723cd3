//! Descriptions in force: servers and clients that depart from them, in every way and on both wires, while the
//! program serves.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// What stand-in servers of the query API promise, stricter than the program itself asks for.
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

/// The same for servers that speak frames.
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

fn rig(wire: Wire, mode: &str, stage: std::sync::Arc<Stage>) -> Rig {
    let members = members(wire, &stage);
    with_members(wire, mode, stage, members)
}

fn with_members(wire: Wire, mode: &str, stage: std::sync::Arc<Stage>, members: Vec<Value>) -> Rig {
    let own = format!("[contract.servers]\nmode = \"{mode}\"\ndescription = \"servers.yaml\"\n");
    let text = if wire == Wire::OpenSearch {
        SERVERS
    } else {
        FRAMES
    };
    Rig::start_own(
        wire,
        stage,
        (1000, 1024),
        members,
        &own,
        &[("servers.yaml", text)],
    )
}

/// The drift ledger, once it shows what is waited for.
fn drift(rig: &Rig, shows: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let drift = rig.call(rig.opensearch, "GET /_contract", &[], "").json;
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
        Act::Say(
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

/// Each way to depart: what the server says, and where and how it is reported.
fn departing() -> Vec<(Act, &'static str, &'static str)> {
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
            Act::Say(
                "200 OK",
                "application/json",
                r#"{"took":70000,"hits":{"hits":[]}}"#,
            ),
            "body /took",
            "bounds",
        ),
        (
            Act::Say("200 OK", "text/html", r#"{"took":1,"hits":{"hits":[]}}"#),
            "header Content-Type",
            "media-type",
        ),
        (
            Act::Say("418 Teapot", "application/json", "{}"),
            "status",
            "status",
        ),
        (
            Act::Say("200 OK", "application/json", r#"{"took":1,"hits":}"#),
            "body",
            "not-json",
        ),
        (Act::Spoilt(Spoil::Half), "body", "truncated"),
        (Act::Cut, "body", "truncated"),
    ]
}

/// Guards against a departure that crashes the program, goes unreported, or (under `observe`) changes anything.
#[test]
fn every_way_to_depart_is_reported_with_its_path_and_the_program_goes_on() {
    let plan = |marker: u64, _, _| {
        departing()
            .get(marker as usize)
            .map_or(Act::Serve, |(act, ..)| *act)
    };
    let rig = rig(Wire::OpenSearch, "observe", Stage::new(plan));
    for (marker, (act, place, kind)) in departing().into_iter().enumerate() {
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        let told = rig.search("/pick-confirm/_search?preference=_shards:2", body);
        // Observed only: what could be served before still is.
        let serves = matches!(act, Act::Say("200 OK", ..)) && kind != "not-json";
        assert_eq!(told.status == 200, serves, "{act:?}: {}", told.json);
        let shown = |drift: &Value| entries(drift).contains(&(place.into(), kind.into()));
        drift(&rig, shown);
    }
    let told = rig.search(
        "/pick-confirm/_search?preference=_shards:2",
        json!({"query": {"match": {"text": "~99~"}}}),
    );
    assert_eq!(told.status, 200, "the program goes on");
    let all = drift(&rig, |_| true);
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

/// Guards against a departing value that reaches a client, and against a part that may not run twice and does because
/// its answer was not believed.
#[test]
fn under_enforce_no_departing_value_is_served_and_no_unsafe_part_runs_twice() {
    // Odd markers depart at the first attempt of each part only; a safe part then gets a good answer.
    let plan = |marker: u64, _, before| match departing().get(marker as usize / 2) {
        Some((act, ..)) if before == 0 => *act,
        _ => Act::Serve,
    };
    let stage = Stage::new(plan);
    let rig = rig(Wire::OpenSearch, "enforce", stage.clone());
    for marker in 0..2 * departing().len() as u64 {
        let class = if marker % 2 == 0 {
            "stock-search"
        } else {
            "pick-confirm"
        };
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        // Good answers between: servers that only fail are not asked any more.
        for good in 0..8 {
            let body =
                json!({"query": {"match": {"text": format!("~{}~", 1000 + 10 * marker + good)}}});
            assert_eq!(
                rig.search("/stock-search/_search?preference=_shards:2", body)
                    .status,
                200
            );
        }
        let told = rig.search(&format!("/{class}/_search?preference=_shards:2"), body);
        match class {
            "stock-search" => {
                assert_eq!(told.status, 200, "{marker}: {}", told.json);
                assert_eq!(
                    told.json["hits"]["hits"][0]["_source"]["doc"],
                    json!(value(marker, 2))
                );
            }
            _ => assert_eq!(told.status, 500, "{marker}: {}", told.json),
        }
    }
    for ((marker, shard), runs) in stage.runs() {
        assert!(
            marker >= 1000 || marker % 2 == 0 || runs == 1,
            "part {shard} of the pick-confirm {marker} ran {runs} times"
        );
    }
}

/// The same on frames, where a value is text and a report may depart.
#[test]
fn frames_are_held_against_their_description() {
    let plan = |marker: u64, _, before| match marker {
        1..=2 if before == 0 => Act::Say("", "", "no value at all"),
        3 if before == 0 => Act::More(More::Report),
        _ => Act::Serve,
    };
    let stage = Stage::new(plan);
    let rig = rig(Wire::Platform, "enforce", stage.clone());
    assert_eq!(
        rig.api("f-1", "stock-search", "2.0", &[2], "~1~").status,
        200
    );
    assert_eq!(
        rig.api("f-2", "pick-confirm", "2.0", &[2], "~2~").status,
        500
    );
    assert_eq!(
        rig.api("f-3", "stock-search", "2.0", &[2], "~3~").status,
        200
    );
    let found = drift(&rig, |drift| entries(drift).len() >= 2);
    let wanted = [
        ("body".to_string(), "pattern".to_string()),
        ("head /report/queue".into(), "missing".into()),
    ];
    assert_eq!(entries(&found), wanted.into());
    assert!(stage.runs().values().all(|&runs| runs <= 2) && stage.runs()[&(2, 2)] == 1);
}

/// Guards against a request that departs and is sent on all the same, on both fronts.
#[test]
fn under_enforce_a_departing_request_is_refused_before_anything_is_sent() {
    let stage = Stage::new(|_, _, _| Act::Serve);
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
    let members = members(Wire::Platform, &stage);
    let rig = Rig::start_own(
        Wire::Platform,
        stage.clone(),
        (1000, 1024),
        members,
        own,
        &[("api.yaml", api)],
    );
    let told = rig.api("e-1", "stock-search", "2.0", &[1], "~1~");
    assert_eq!(told.status, 400);
    let cause = "header X-Class: wanted one of [\"pick-confirm\"], found \"stock-search\"";
    assert_eq!(told.json["error"], cause);
    let told = rig.api("e-2", "pick-confirm", "2.0", &[1], "longer than eight");
    assert_eq!(
        told.json["error"],
        "body /q: wanted 8 characters or less, found \"longer than eight\""
    );
    let told = rig.search("/stock-search/_search?size=6", json!({}));
    assert_eq!(
        told.json["error"]["reason"],
        "query size: wanted 5 or less, found 6"
    );
    assert_eq!(
        rig.search("/stock-search/_search", json!({})).status,
        400,
        "a required parameter is missing"
    );
    assert!(
        stage.seen.lock().unwrap().is_empty(),
        "nothing was sent for any of them"
    );
    assert_eq!(
        rig.api("e-3", "pick-confirm", "2.0", &[1], "~1~").status,
        200
    );
    assert_eq!(
        rig.search("/stock-search/_search?size=5", json!({})).status,
        200
    );
    assert_eq!(
        rig.call(rig.platform, "GET /_health", &[], "").status,
        200,
        "what is not described is served"
    );
    let secret = r#"{"shards":[{"shard":1,"weight":1}],"q":"~1~","secret":"hunter2"}"#;
    let fields = [
        ("X-Request-Id", "e-4"),
        ("X-Class", "pick-confirm"),
        ("X-Deadline", "2.0"),
    ];
    let told = rig.call(rig.platform, "POST /api", &fields, secret);
    assert_eq!(
        told.json["error"],
        "body /secret: wanted the type integer, found (left out)"
    );
}

/// 12 servers, of which 3 newer ones change their answers' form under load.
#[test]
fn a_rollout_is_told_by_its_servers_its_field_and_its_moment() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let start = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64;
    // The three started last; all long enough ago to be warm.
    let member = |number: usize| {
        let address = search_server(number, stage.clone());
        let up = start - if number >= 9 { 60_000 } else { 3_600_000 };
        json!({"id": format!("s-{number:02}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
            "cell": number as u32 % CELLS, "phase": "active", "size": 1.0, "up_since_ms": up})
    };
    let members: Vec<Value> = (0..12).map(member).collect();
    let rig = with_members(Wire::OpenSearch, "enforce", stage.clone(), members);
    let wrong = found!(r#"{"_id":"1","_score":1,"_source":{"doc":17}}"#);
    let (mut answered, mut marker) = (0, 0);
    let mut ask = |class: &str, shards: &str| {
        marker += 1;
        let body = json!({"query": {"match": {"text": format!("~{marker}~")}}});
        let told = rig.search(
            &format!("/{class}/_search?preference=_shards:{shards}"),
            body,
        );
        answered += 1;
        for hit in told.json["hits"]["hits"].as_array().into_iter().flatten() {
            assert_ne!(
                hit["_source"]["doc"],
                json!(17),
                "a departing value reached a client"
            );
        }
        told.status
    };
    for _ in 0..10 {
        assert_eq!(ask("stock-search", "0,1,2,3,4,5,6,7"), 200);
    }
    for number in 9..12 {
        stage.switched.lock().unwrap().insert(number, wrong);
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
    let seen = stage.seen.lock().unwrap();
    let confirms = seen
        .iter()
        .filter(|seen| marker_of(&seen.text) > 10 && marker_of(&seen.text).is_multiple_of(2));
    let mut once = BTreeSet::new();
    for part in confirms {
        assert!(
            once.insert((marker_of(&part.text), part.shard)),
            "a pick-confirm's part ran twice: {part:?}"
        );
    }
    drop(seen);
    let found = drift(&rig, |drift| drift["entries"][0]["of"][0] == 3);
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
    let (first, start) = (entry["first"].as_f64().unwrap(), start as f64 / 1000.0);
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
    // A server that is replaced is forgotten.
    rig.discovery.set_phase(9, "left");
    drift(&rig, |drift| drift["entries"][0]["of"][0] == 2);
}

fn marker_of(text: &str) -> u64 {
    common::marker(text)
}

/// Guards against a faulty description that takes the good one's place, at a start and at SIGHUP.
#[test]
fn a_faulty_description_stops_a_start_and_changes_nothing_later() {
    let rig = rig(
        Wire::OpenSearch,
        "observe",
        Stage::new(|_, _, _| Act::Serve),
    );
    let path = rig.folder.join("servers.yaml");
    std::fs::write(&path, SERVERS.replace("maximum: 60000", "maximum: sixty")).unwrap();
    rig.signal("HUP");
    rig.wait_for_line("descriptions rejected");
    let before = drift(&rig, |_| true);
    assert_eq!(
        (
            &before["generation"],
            &before["interfaces"]["servers"]["mode"]
        ),
        (&json!(1), &json!("observe"))
    );
    let told = Command::new(env!("CARGO_BIN_EXE_cairnroad"))
        .env("NODE_CONFIG", rig.folder.join("config.json"))
        .env("CAIRNROAD_FILE", rig.folder.join("own.toml"))
        .output()
        .unwrap();
    let words = String::from_utf8_lossy(&told.stderr);
    assert_eq!(told.status.code(), Some(1), "{words}");
    assert!(
        words.contains("servers.yaml:23:")
            && words.contains("/components/schemas/Found/properties/took/maximum"),
        "{words}"
    );
    std::fs::write(&path, SERVERS.replace("maximum: 60000", "maximum: 1")).unwrap();
    rig.signal("HUP");
    drift(&rig, |drift| drift["generation"] == 2);
    rig.search(
        "/stock-search/_search?preference=_shards:1",
        json!({"query": {"match": {"text": "~1~"}}}),
    );
    drift(&rig, |drift| {
        entries(drift).contains(&("body /took".into(), "bounds".into()))
    });
    // The drift of the old description is no longer told once another is in force.
    std::fs::write(&path, SERVERS).unwrap();
    rig.signal("HUP");
    drift(&rig, |drift| {
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
fn commands_say_what_is_wrong_and_end_with_its_code() {
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
        let told = cairnroad(args);
        let text =
            String::from_utf8(told.stdout).unwrap() + &String::from_utf8(told.stderr).unwrap();
        assert_eq!(told.status.code(), Some(code), "{args:?}: {text}");
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
        &["bad.yaml:14:", "there is nothing at #/nowhere"],
    );
    check(
        &["contract", "check", "--json", &bad],
        1,
        &["\"sound\":false", "\"line\":14"],
    );
    check(
        &["contract", "check", &old],
        1,
        &["this is Swagger 2.0: OpenAPI 3.0 and 3.1, AsyncAPI 2.6 and 3.0 are read"],
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
    check(&["contract", "diff", &good, &bad], 2, &["nothing at"]);
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
