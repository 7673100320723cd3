//! Collects the violations of one message.

use super::expectation::expectation;
use super::parameter_values::candidates;
use super::redaction::redacted;
use super::types::{Violation, ViolationKind};
use super::MAX_VIOLATIONS;
use crate::document::append_to_pointer;
use crate::model::{best_media, Description, Media, MediaRange, Parameter, SchemaRef};
use crate::schema::{clip, location_from_uri};
use crate::sources::NodeLocation;
use jsonschema::error::ValidationErrorKind;
use jsonschema::ValidationError;
use serde_json::Value;

/// The violations found so far in one message, at most [`MAX_VIOLATIONS`].
pub(super) struct ViolationReport<'d> {
    description: &'d Description,
    violations: Vec<Violation>,
}

/// An invalid value of a message, as it is reported.
struct Finding {
    place: String,
    found: String,
}

impl<'d> ViolationReport<'d> {
    /// Creates an empty report for a message that is checked against `description`.
    pub(super) fn new(description: &'d Description) -> Self {
        ViolationReport {
            description,
            violations: Vec::new(),
        }
    }

    /// Returns the violations found.
    pub(super) fn into_violations(self) -> Vec<Violation> {
        self.violations
    }

    /// Adds a violation; ignored if the report is full.
    pub(super) fn add(
        &mut self,
        kind: ViolationKind,
        place: &str,
        described: Option<&NodeLocation>,
        expected: &str,
        found: &str,
    ) {
        if self.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        self.violations.push(Violation {
            kind,
            place: place.into(),
            described: described
                .map(|location| self.description.display_location(location))
                .unwrap_or_default(),
            expected: expected.into(),
            found: found.into(),
        });
    }

    /// Adds the violation of a missing required body.
    pub(super) fn add_missing_body(&mut self, described: &NodeLocation) {
        self.add(
            ViolationKind::Missing,
            "body",
            Some(described),
            "a body",
            "nothing",
        );
    }

    /// Checks a body against the schema of its media type.
    pub(super) fn check_body(
        &mut self,
        content: &[Media],
        described: &NodeLocation,
        content_type: Option<&str>,
        body: &[u8],
    ) {
        let range = content_type.and_then(MediaRange::parse);
        let media = range.as_ref().and_then(|range| best_media(content, range));
        let (Some(range), Some(media)) = (range, media) else {
            return self.add_unknown_media_type(content, described, content_type);
        };
        if media.schema.node.is_none() {
            return;
        }
        if range.is_json() {
            self.check_json(&media.schema, described, body);
        } else if range.type_name == "text"
            || media.schema.types.iter().any(|name| name == "string")
        {
            self.check_text(&media.schema, described, body);
        }
    }

    fn add_unknown_media_type(
        &mut self,
        content: &[Media],
        described: &NodeLocation,
        content_type: Option<&str>,
    ) {
        let expected = content
            .iter()
            .map(|media| media.range.to_string())
            .collect::<Vec<_>>()
            .join(", ");
        let found = content_type.map_or("no Content-Type".into(), clip);
        self.add(
            ViolationKind::MediaType,
            "header Content-Type",
            Some(described),
            &clip(&expected),
            &found,
        );
    }

    /// Checks a body that must be JSON.
    pub(super) fn check_json(&mut self, schema: &SchemaRef, fallback: &NodeLocation, body: &[u8]) {
        let error = match serde_json::from_slice::<Value>(body) {
            Ok(value) => return self.check_value(schema, "body", &value),
            Err(error) => error,
        };
        // The text around the syntax error may hold secrets, so only the position is shown.
        let found = format!(
            "{} bytes with a fault at line {}, column {}",
            body.len(),
            error.line(),
            error.column()
        );
        let kind = if error.is_eof() {
            ViolationKind::Truncated
        } else {
            ViolationKind::NotJson
        };
        let described = schema.node.as_ref().unwrap_or(fallback);
        self.add(kind, "body", Some(described), "JSON", &found);
    }

    /// Checks a body that must be UTF-8 text.
    pub(super) fn check_text(&mut self, schema: &SchemaRef, fallback: &NodeLocation, body: &[u8]) {
        match std::str::from_utf8(body) {
            Ok(text) => self.check_value(schema, "body", &Value::String(text.into())),
            Err(error) => {
                let found = format!("a byte at {} that is none", error.valid_up_to());
                let described = schema.node.as_ref().unwrap_or(fallback);
                self.add(
                    ViolationKind::Encoding,
                    "body",
                    Some(described),
                    "UTF-8 text",
                    &found,
                );
            }
        }
    }

    /// Checks a parameter or header, given all texts that the message has for it. A text is `None` if its
    /// percent-encoding is invalid.
    pub(super) fn check_parameter(&mut self, parameter: &Parameter, texts: Vec<Option<String>>) {
        let place = format!("{} {}", parameter.location.as_str(), parameter.name);
        let described = Some(&parameter.node);
        if texts.is_empty() {
            if parameter.required {
                let expected = "this to be given";
                self.add(
                    ViolationKind::Missing,
                    &place,
                    described,
                    expected,
                    "nothing",
                );
            }
            return;
        }
        let Some(texts) = texts.into_iter().collect::<Option<Vec<String>>>() else {
            let expected = "percent-encoded UTF-8";
            return self.add(
                ViolationKind::Encoding,
                &place,
                described,
                expected,
                "broken codes",
            );
        };
        if parameter.allow_empty && texts.iter().all(String::is_empty) {
            return;
        }
        let Some(validator) = &parameter.schema.validator else {
            return;
        };
        let values = candidates(parameter, &texts);
        // A text may stand for several values; it is a violation only if none of them is valid.
        if values.iter().any(|value| validator.is_valid(value)) {
            return;
        }
        if let Some(likeliest) = values.first() {
            self.check_value(&parameter.schema, &place, likeliest);
        }
    }

    /// Checks a value by its schema.
    pub(super) fn check_value(&mut self, schema: &SchemaRef, place: &str, value: &Value) {
        let Some(validator) = &schema.validator else {
            return;
        };
        if validator.is_valid(value) {
            return;
        }
        for error in validator.iter_errors(value).take(MAX_VIOLATIONS) {
            self.add_schema_error(place, &error);
        }
    }

    fn add_schema_error(&mut self, place: &str, error: &ValidationError) {
        let expectation = expectation(error.kind());
        let described = error
            .absolute_keyword_location()
            .and_then(|uri| location_from_uri(uri.as_str()));
        for finding in self.findings(place, error) {
            self.add(
                expectation.kind,
                &finding.place,
                described.as_ref(),
                &expectation.text,
                &finding.found,
            );
        }
    }

    /// Returns the invalid values that a schema error concerns: each unexpected member, or the value itself.
    fn findings(&self, place: &str, error: &ValidationError) -> Vec<Finding> {
        let pointer = error.instance_path().as_str();
        let instance = error.instance();
        match error.kind() {
            ValidationErrorKind::Required { property } => {
                let missing = append_to_pointer(pointer, property.as_str().unwrap_or(""));
                vec![Finding {
                    place: place_at(place, &missing),
                    found: "nothing".into(),
                }]
            }
            ValidationErrorKind::AdditionalProperties { unexpected }
            | ValidationErrorKind::UnevaluatedProperties { unexpected } => unexpected
                .iter()
                .map(|name| {
                    let value = instance.get(name).unwrap_or(&Value::Null);
                    self.finding(place, &append_to_pointer(pointer, name), value)
                })
                .collect(),
            _ => vec![self.finding(place, pointer, instance)],
        }
    }

    fn finding(&self, place: &str, pointer: &str, value: &Value) -> Finding {
        Finding {
            place: place_at(place, pointer),
            found: redacted(pointer, value, &self.description.secrets),
        }
    }
}

/// Formats a place in a part of the message, such as `body /hits/0`.
fn place_at(part: &str, pointer: &str) -> String {
    if pointer.is_empty() {
        part.into()
    } else {
        format!("{part} {pointer}")
    }
}
