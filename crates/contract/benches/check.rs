//! The cost of one check, by the size of the answer: `cargo bench -p cairnroad-contract`.

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

fn body(hits: usize) -> Vec<u8> {
    let hit = |at: usize| json!({"_id": format!("h-{at}"), "_score": 1.5, "_source": {"sku": "A-17", "count": at, "room": "kita"}});
    json!({"took": 3, "hits": {"hits": (0..hits).map(hit).collect::<Vec<_>>()}})
        .to_string()
        .into_bytes()
}

fn checks(c: &mut Criterion) {
    let description = Description::from_text("bench.yaml", DESCRIPTION).unwrap();
    let fields = vec![("Content-Type".to_string(), "application/json".to_string())];
    for (name, hits, wrong) in [
        ("200 bytes", 2, false),
        ("20 KB", 245, false),
        ("20 KB, departing", 245, true),
    ] {
        let mut body = body(hits);
        if wrong {
            let at = body.iter().rposition(|&b| b == b'k').unwrap();
            body[at] = b'x';
        }
        let answered = ObservedResponse {
            status: 200,
            fields: &fields,
            body: &body,
            complete: true,
        };
        assert_eq!(
            description.check_response(0, &answered).violations.len(),
            usize::from(wrong)
        );
        println!("{name}: {} bytes", body.len());
        c.bench_function(&format!("answer of {name}"), |b| {
            b.iter(|| black_box(description.check_response(0, black_box(&answered))));
        });
    }
    let asked = ObservedRequest {
        method: "POST",
        target: "/stock/_search?size=20",
        fields: &fields,
        body: br#"{"query":{"match":{"sku":"A-17"}}}"#,
    };
    c.bench_function("request of 34 bytes", |b| {
        b.iter(|| black_box(description.check_request(black_box(&asked))))
    });
    c.bench_function("reading the description", |b| {
        b.iter(|| black_box(Description::from_text("bench.yaml", DESCRIPTION).unwrap()));
    });
}

criterion_group!(benches, checks);
criterion_main!(benches);
