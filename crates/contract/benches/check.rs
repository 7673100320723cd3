//! Measures the CPU time of one check by the size of the response: `cargo bench -p cairnroad-contract`.

use cairnroad_contract::conformance::{ObservedRequest, ObservedResponse};
use cairnroad_contract::model::Description;
use criterion::{criterion_group, criterion_main, Criterion};
use serde_json::json;
use std::hint::black_box;

const DESCRIPTION: &str = r##"
openapi: 3.1.0
info: {title: bench, version: "1"}
paths:
  /{index}/_search:
    post:
      parameters:
        - {name: index, in: path, required: true, schema: {type: string}}
        - {name: size, in: query, schema: {type: integer, minimum: 0}}
      requestBody: {content: {application/json: {schema: {type: object, required: [query]}}}}
      responses:
        "200": {description: ok, content: {application/json: {schema: {$ref: "#/components/schemas/Found"}}}}
components:
  schemas:
    Found:
      type: object
      required: [took, hits]
      properties:
        took: {type: integer}
        hits: {type: object, required: [hits], properties: {hits: {type: array, items: {$ref: "#/components/schemas/Hit"}}}}
    Hit:
      type: object
      required: [_id, _score, _source]
      additionalProperties: false
      properties:
        _id: {type: string, pattern: "^[a-z0-9-]+$"}
        _score: {type: number, minimum: 0}
        _source: {type: object, required: [sku, count], properties: {sku: {type: string}, count: {type: integer, minimum: 0}, room: {enum: [kita, higashi, minami]}}}
"##;

/// Returns the body of a search response with `hit_count` hits.
fn response_body(hit_count: usize) -> Vec<u8> {
    let hit = |number: usize| {
        let source = json!({"sku": "A-17", "count": number, "room": "kita"});
        json!({"_id": format!("h-{number}"), "_score": 1.5, "_source": source})
    };
    let hits: Vec<_> = (0..hit_count).map(hit).collect();
    json!({"took": 3, "hits": {"hits": hits}})
        .to_string()
        .into_bytes()
}

fn json_fields() -> Vec<(String, String)> {
    vec![("Content-Type".to_string(), "application/json".to_string())]
}

fn response_check(criterion: &mut Criterion) {
    let description = Description::from_text("bench.yaml", DESCRIPTION).unwrap();
    let fields = json_fields();
    for (name, hit_count, has_violation) in [
        ("200 bytes", 2, false),
        ("20 KB", 245, false),
        ("20 KB, with a violation", 245, true),
    ] {
        let mut body = response_body(hit_count);
        if has_violation {
            // The room of the last hit becomes a value that the enum does not list.
            let room = body.iter().rposition(|&byte| byte == b'k').unwrap();
            body[room] = b'x';
        }
        let response = ObservedResponse {
            status: 200,
            fields: &fields,
            body: &body,
            complete: true,
        };
        assert_eq!(
            description.check_response(0, &response).violations.len(),
            usize::from(has_violation)
        );
        println!("{name}: {} bytes", body.len());
        criterion.bench_function(&format!("response of {name}"), |bencher| {
            bencher.iter(|| black_box(description.check_response(0, black_box(&response))));
        });
    }
}

fn request_check(criterion: &mut Criterion) {
    let description = Description::from_text("bench.yaml", DESCRIPTION).unwrap();
    let fields = json_fields();
    let request = ObservedRequest {
        method: "POST",
        target: "/stock/_search?size=20",
        fields: &fields,
        body: br#"{"query":{"match":{"sku":"A-17"}}}"#,
    };
    criterion.bench_function("request of 34 bytes", |bencher| {
        bencher.iter(|| black_box(description.check_request(black_box(&request))));
    });
}

fn reading(criterion: &mut Criterion) {
    criterion.bench_function("reading the description", |bencher| {
        bencher.iter(|| black_box(Description::from_text("bench.yaml", DESCRIPTION).unwrap()));
    });
}

criterion_group!(benches, response_check, request_check, reading);
criterion_main!(benches);
