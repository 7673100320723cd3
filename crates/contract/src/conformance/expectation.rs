//! Describes in words what the schema required where a check failed.

use super::types::ViolationKind;
use crate::schema::clip;
use jsonschema::error::{TypeKind, ValidationErrorKind as SchemaError};
use jsonschema::ValidationError;
use serde_json::Value;

/// The schema rule that a value violates.
pub(super) struct Expectation {
    /// The kind of the rule.
    pub(super) kind: ViolationKind,
    /// The values that are valid, in words.
    pub(super) text: String,
}

/// Returns the rule that caused a schema error.
pub(super) fn expectation(error: &SchemaError) -> Expectation {
    let kind = violation_kind(error);
    let text = bounds_text(error)
        .or_else(|| structure_text(error))
        .or_else(|| value_text(error))
        .unwrap_or_else(|| "what the schema asks for".into());
    Expectation { kind, text }
}

fn violation_kind(error: &SchemaError) -> ViolationKind {
    match error {
        SchemaError::Type { .. } => ViolationKind::Type,
        SchemaError::Required { .. } => ViolationKind::Missing,
        SchemaError::AdditionalProperties { .. }
        | SchemaError::UnevaluatedProperties { .. }
        | SchemaError::AdditionalItems { .. }
        | SchemaError::UnevaluatedItems { .. }
        | SchemaError::FalseSchema => ViolationKind::Additional,
        SchemaError::Enum { .. } | SchemaError::Constant { .. } => ViolationKind::Enum,
        SchemaError::Minimum { .. }
        | SchemaError::Maximum { .. }
        | SchemaError::ExclusiveMinimum { .. }
        | SchemaError::ExclusiveMaximum { .. }
        | SchemaError::MinLength { .. }
        | SchemaError::MaxLength { .. }
        | SchemaError::MinItems { .. }
        | SchemaError::MaxItems { .. }
        | SchemaError::MinProperties { .. }
        | SchemaError::MaxProperties { .. }
        | SchemaError::MultipleOf { .. }
        | SchemaError::UniqueItems
        | SchemaError::Contains => ViolationKind::Bounds,
        SchemaError::Pattern { .. } | SchemaError::PropertyNames { .. } => ViolationKind::Pattern,
        SchemaError::Format { .. }
        | SchemaError::ContentEncoding { .. }
        | SchemaError::ContentMediaType { .. } => ViolationKind::Format,
        SchemaError::AnyOf { .. }
        | SchemaError::OneOfNotValid { .. }
        | SchemaError::OneOfMultipleValid { .. }
        | SchemaError::Not { .. } => ViolationKind::Alternatives,
        _ => ViolationKind::Other,
    }
}

/// Describes limits of values, lengths and counts.
fn bounds_text(error: &SchemaError) -> Option<String> {
    Some(match error {
        SchemaError::Minimum { limit } => format!("{limit} or more"),
        SchemaError::Maximum { limit } => format!("{limit} or less"),
        SchemaError::ExclusiveMinimum { limit } => format!("more than {limit}"),
        SchemaError::ExclusiveMaximum { limit } => format!("less than {limit}"),
        SchemaError::MinLength { limit } => format!("{limit} characters or more"),
        SchemaError::MaxLength { limit } => format!("{limit} characters or less"),
        SchemaError::MinItems { limit } => format!("{limit} items or more"),
        SchemaError::MaxItems { limit } => format!("{limit} items or less"),
        SchemaError::MinProperties { limit } => format!("{limit} members or more"),
        SchemaError::MaxProperties { limit } => format!("{limit} members or less"),
        SchemaError::MultipleOf { multiple_of } => format!("a multiple of {multiple_of}"),
        _ => return None,
    })
}

/// Describes the members, items and alternatives that a value may have.
fn structure_text(error: &SchemaError) -> Option<String> {
    Some(match error {
        SchemaError::Required { .. } => "this to be given".into(),
        SchemaError::AdditionalProperties { .. } | SchemaError::UnevaluatedProperties { .. } => {
            "no member of this name".into()
        }
        SchemaError::AdditionalItems { limit } => format!("{limit} items at most"),
        SchemaError::UnevaluatedItems { .. } => "no further items".into(),
        SchemaError::FalseSchema => "nothing here".into(),
        SchemaError::UniqueItems => "no item twice".into(),
        SchemaError::Contains => "an item of the kind that 'contains' asks for".into(),
        SchemaError::PropertyNames { .. } => "members' names as 'propertyNames' has them".into(),
        SchemaError::AnyOf { context } | SchemaError::OneOfNotValid { context } => {
            alternatives_text(context)
        }
        SchemaError::OneOfMultipleValid { context } => {
            format!("exactly one of {} forms, not several", context.len())
        }
        SchemaError::Not { .. } => "anything but the form under 'not'".into(),
        _ => return None,
    })
}

/// Describes the type and text of a single value.
fn value_text(error: &SchemaError) -> Option<String> {
    let shown = |value: &Value| clip(&value.to_string());
    Some(match error {
        SchemaError::Type { kind } => format!("the type {}", type_names(kind)),
        SchemaError::Enum { options } => format!("one of {}", shown(options)),
        SchemaError::Constant { expected_value } => shown(expected_value),
        SchemaError::Pattern { pattern } => format!("a match of {}", clip(pattern)),
        SchemaError::Format { format } => format!("the format {format}"),
        SchemaError::ContentEncoding { content_encoding } => {
            format!("the encoding {content_encoding}")
        }
        SchemaError::ContentMediaType { content_media_type } => content_media_type.clone(),
        _ => return None,
    })
}

fn type_names(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(name) => name.to_string(),
        TypeKind::Multiple(names) => names
            .iter()
            .map(|name| name.to_string())
            .collect::<Vec<_>>()
            .join(" or "),
    }
}

/// Describes the number of alternatives, and the first error of the alternative with the fewest errors.
fn alternatives_text(context: &[Vec<ValidationError>]) -> String {
    let nearest = context
        .iter()
        .filter(|errors| !errors.is_empty())
        .min_by_key(|errors| errors.len())
        .and_then(|errors| errors.first());
    let hint = nearest.map(nearest_hint).unwrap_or_default();
    format!("one of {} forms{hint}", context.len())
}

fn nearest_hint(error: &ValidationError) -> String {
    let expected = expectation(error.kind()).text;
    let pointer = error.instance_path().as_str();
    let place = match error.kind() {
        SchemaError::Required { property } => {
            format!("{pointer}/{}", property.as_str().unwrap_or(""))
        }
        _ => pointer.to_string(),
    };
    format!(", the nearest with {expected} at '{place}'")
}
