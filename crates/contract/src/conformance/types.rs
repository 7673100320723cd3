//! The inputs and results of checks: observed requests and responses, and violations.

use serde::Serialize;
use std::sync::Arc;

/// How a message violates its description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ViolationKind {
    /// A value has another type.
    Type,
    /// Something required is missing.
    Missing,
    /// A member or item is present that is not allowed.
    Additional,
    /// A value is none of the listed ones.
    Enum,
    /// A value, length or count is out of bounds.
    Bounds,
    /// A string does not match its regular expression.
    Pattern,
    /// A string does not have its format.
    Format,
    /// A value matches none of several alternatives, or too many.
    Alternatives,
    /// The media type of the body is not described.
    MediaType,
    /// The status is not described.
    Status,
    /// The message ended before it was complete.
    Truncated,
    /// The body is not JSON.
    NotJson,
    /// Text is badly encoded.
    Encoding,
    /// No such operation or message is described.
    Unknown,
    /// Any other rule of a schema.
    Other,
}

/// One violation of a description by a message.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that is violated.
    pub kind: ViolationKind,
    /// The place in the message: `body /hits/0/doc`, `header X-Class`, `query size`, `status`.
    pub place: String,
    /// The location in the description; empty if the description has no entry for the place.
    pub described: String,
    /// What the description requires.
    pub expected: String,
    /// What was found, truncated. Values of members that are marked as secret are left out.
    pub found: String,
}

/// The result of checking one message.
#[derive(Clone, Debug, PartialEq)]
pub struct Conformance<'d> {
    /// The name of the operation or message; `None` if it is not described.
    pub operation: Option<&'d Arc<str>>,
    /// The index of the operation, for checking the response to this request; `None` for other messages.
    pub operation_index: Option<usize>,
    /// The violations, at most [`MAX_VIOLATIONS`](super::MAX_VIOLATIONS).
    pub violations: Vec<Violation>,
}

impl Conformance<'_> {
    /// The result for a message that no operation describes.
    pub(super) fn undescribed(violations: Vec<Violation>) -> Self {
        Conformance {
            operation: None,
            operation_index: None,
            violations,
        }
    }
}

/// A request as it was received.
#[derive(Clone, Copy, Debug)]
pub struct ObservedRequest<'m> {
    /// The method, in capitals.
    pub method: &'m str,
    /// The path and query string, as received.
    pub target: &'m str,
    /// The header names and values.
    pub fields: &'m [(String, String)],
    /// The body; empty if there is none.
    pub body: &'m [u8],
}

/// A response as it was received.
#[derive(Clone, Copy, Debug)]
pub struct ObservedResponse<'m> {
    /// The status code.
    pub status: u16,
    /// The header names and values.
    pub fields: &'m [(String, String)],
    /// The body, as far as it was received.
    pub body: &'m [u8],
    /// Whether the whole body was received.
    pub complete: bool,
}

/// Returns the value of a header. Names are compared without regard to case.
pub(super) fn header<'m>(fields: &'m [(String, String)], name: &str) -> Option<&'m str> {
    fields
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}
