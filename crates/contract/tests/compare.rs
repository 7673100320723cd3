//! Tests the changes found between two descriptions, and their impact on requests and responses.

use cairnroad_contract::diff::{diff, ChangeImpact};
use cairnroad_contract::model::Description;

const OLD: &str = r##"
openapi: 3.1.0
info: {title: t, version: "1"}
paths:
  /stock/{sku}:
    parameters: [{name: sku, in: path, required: true, schema: {type: string}}]
    get:
      operationId: read
      parameters:
        - {name: size, in: query, schema: {type: integer, minimum: 1, maximum: 100}}
        - {name: X-Shop, in: header, schema: {enum: [a, b]}}
      responses:
        "200": {description: ok, content: {application/json: {schema: {$ref: "#/components/schemas/Stock"}}}}
        "404": {description: none}
    post:
      requestBody: {content: {application/json: {schema: {$ref: "#/components/schemas/Stock"}}}}
      responses: {"204": {description: done}}
components:
  schemas:
    Stock:
      type: object
      required: [sku, count]
      properties:
        sku: {type: string, maxLength: 20}
        count: {type: integer, minimum: 0}
        note: {type: [string, "null"], description: free text}
        next: {$ref: "#/components/schemas/Stock"}
"##;

fn changes(old: &str, new: &str) -> Vec<String> {
    let read = |text: &str| {
        Description::from_text("d.yaml", text).unwrap_or_else(|faults| panic!("{faults}"))
    };
    diff(&read(old), &read(new))
        .unwrap()
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Returns all changes that result from one edit of the old text.
fn edited(from: &str, to: &str) -> Vec<String> {
    assert!(OLD.contains(from), "{from}");
    changes(OLD, &OLD.replacen(from, to, 1))
}

/// The same edit breaks one direction and not the other: requests may be widened, responses may be narrowed.
#[test]
fn a_shared_schema_breaks_the_side_that_relies_on_it() {
    let get = "GET /stock/{sku}, answer 200";
    let post = "POST /stock/{sku}, body";
    let both = |from: &str, to: &str, member: &str, what: &str, breaks_asking: bool| {
        let found = edited(from, to);
        let (asking, given) = match breaks_asking {
            true => ("breaking", "compatible"),
            false => ("compatible", "breaking"),
        };
        let at = |place: &str| {
            if member.is_empty() {
                place.to_string()
            } else {
                format!("{place} {member}")
            }
        };
        let mut wanted = vec![
            format!("{asking}: {}: {what}", at(post)),
            format!("{given}: {}: {what}", at(get)),
        ];
        wanted.sort();
        let mut found = found;
        found.sort();
        assert_eq!(found, wanted, "{from} -> {to}");
    };
    both(
        "required: [sku, count]",
        "required: [sku, count, note]",
        "note",
        "it became required",
        true,
    );
    both(
        "required: [sku, count]",
        "required: [sku]",
        "count",
        "it became optional",
        false,
    );
    both(
        "maxLength: 20",
        "maxLength: 10",
        "sku",
        "maxLength fell from 20 to 10",
        true,
    );
    both(
        "maxLength: 20",
        "maxLength: 30",
        "sku",
        "maxLength rose from 20 to 30",
        false,
    );
    both(
        "count: {type: integer",
        "count: {type: number",
        "count",
        "the type number is new",
        false,
    );
    both(
        "[string, \"null\"]",
        "string",
        "note",
        "the type null is gone",
        true,
    );
    both(
        "      type: object\n",
        "      type: object\n      additionalProperties: false\n",
        "",
        "no other members are taken now",
        true,
    );
}

#[test]
fn operations_parameters_and_responses_break_where_they_are_relied_on() {
    let one = |from: &str, to: &str, wanted: &[&str]| {
        let found = edited(from, to);
        assert_eq!(found, wanted, "{from} -> {to}");
    };
    let at = "GET /stock/{sku}";
    one(
        "{name: size, in: query,",
        "{name: size, in: query, required: true,",
        &[&format!("breaking: {at}, query size: it became required")],
    );
    one(
        "maximum: 100",
        "maximum: 200",
        &[&format!(
            "compatible: {at}, query size: maximum rose from 100 to 200"
        )],
    );
    one(
        "enum: [a, b]",
        "enum: [b]",
        &[&format!(
            "breaking: {at}, header X-Shop: the value \"a\" is gone"
        )],
    );
    one(
        "in: header, schema: {enum: [a, b]}",
        "in: header, schema: {enum: [b, a]}",
        &["cosmetic: the description: only texts, names, the order or the arrangement differ"],
    );
    one(
        "\"404\": {description: none}",
        "\"404\": {description: nothing}",
        &[&format!(
            "cosmetic: {at}, answer 404: its description differs"
        )],
    );
    one(
        "\"404\": {description: none}",
        "\"410\": {description: gone}",
        &[
            &format!("compatible: {at}, answer 404: this answer is gone"),
            &format!("compatible: {at}, answer 410: this answer is new"),
        ],
    );
    one(
        "\"200\": {description: ok,",
        "\"203\": {description: ok,",
        &[
            &format!("breaking: {at}, answer 200: this answer is gone"),
            &format!("breaking: {at}, answer 203: this answer is new"),
        ],
    );
    one(
        "operationId: read",
        "operationId: look",
        &[&format!(
            "cosmetic: {at}: the operation's id was read and is look"
        )],
    );
    one(
        "    get:",
        "    put:",
        &[
            &format!("breaking: {at}: the operation is gone"),
            "compatible: PUT /stock/{sku}: the operation is new",
        ],
    );
    one(
        "description: free text",
        "description: any text",
        &[
            "cosmetic: GET /stock/{sku}, answer 200 note: its texts for people differ",
            "cosmetic: POST /stock/{sku}, body note: its texts for people differ",
        ],
    );
    let renamed = OLD
        .replace("{sku}:", "{code}:")
        .replace("{name: sku, in: path", "{name: code, in: path");
    let found = changes(OLD, &renamed);
    assert!(
        found.iter().all(|change| change.starts_with("cosmetic")) && !found.is_empty(),
        "{found:?}"
    );
}

/// Guards against reporting a rearrangement as a change although the meaning is the same.
#[test]
fn a_rearrangement_is_no_change() {
    let flat = OLD.replace(
        "      type: object\n      required: [sku, count]\n      properties:\n        sku: {type: string, maxLength: 20}\n",
        "      allOf:\n        - {type: object, required: [count, sku]}\n        - {properties: {sku: {$ref: \"#/components/schemas/Sku\"}}}\n      properties:\n",
    ) + "    Sku: {type: string, maxLength: 20}\n";
    assert_ne!(flat, OLD);
    let cosmetic =
        "cosmetic: the description: only texts, names, the order or the arrangement differ";
    assert_eq!(changes(OLD, &flat), [cosmetic]);
    assert_eq!(changes(OLD, &OLD.replace("3.1.0", "3.1.1")), [cosmetic]);
    assert!(changes(OLD, OLD).is_empty());
    let old = OLD
        .replace("3.1.0", "3.0.3")
        .replace("[string, \"null\"]", "string, nullable: true");
    assert_eq!(changes(OLD, &old), [cosmetic], "3.0's words for the same");
}

const FRAMES: &str = "
asyncapi: 3.0.0
info: {title: t, version: \"1\"}
channels:
  frames:
    messages:
      call: {x-frame: Q, payload: {type: string}}
      answer: {x-frame: A, payload: {type: object, required: [n], properties: {n: {type: integer}}}}
operations:
  take: {action: receive, channel: {$ref: \"#/channels/frames\"}, messages: [{$ref: \"#/channels/frames/messages/call\"}]}
  give: {action: send, channel: {$ref: \"#/channels/frames\"}, messages: [{$ref: \"#/channels/frames/messages/answer\"}]}
";

#[test]
fn a_message_change_breaks_by_its_direction() {
    let edited = |from: &str, to: &str| changes(FRAMES, &FRAMES.replacen(from, to, 1));
    assert_eq!(
        edited("required: [n], ", ""),
        ["breaking: frames answer, payload n: it became optional"]
    );
    assert_eq!(
        edited(
            "payload: {type: string}",
            "payload: {type: [string, integer]}"
        ),
        ["compatible: frames call, payload: the type integer is new",]
    );
    assert_eq!(
        edited("x-frame: A", "x-frame: B"),
        [
            "breaking: frames answer: the message is gone",
            "breaking: frames answer: the message is new",
        ]
    );
    let read = |text: &str| Description::from_text("d.yaml", text).unwrap();
    assert!(diff(&read(OLD), &read(FRAMES)).is_err());
    let breaking = diff(
        &read(FRAMES),
        &read(&FRAMES.replacen("action: send", "action: receive", 1)),
    )
    .unwrap();
    assert_eq!(
        (breaking[0].impact, breaking[0].text.as_str()),
        (ChangeImpact::Breaking, "it goes the other way")
    );
}
