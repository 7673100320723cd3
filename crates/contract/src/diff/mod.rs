//! Finds the changes between two descriptions and whether they break users of the old one.
//!
//! Accepting more requests and sending fewer kinds of responses is compatible; the reverse breaks clients of the old
//! description.

mod messages;
mod operations;
mod parameters;
mod schema_view;
mod schemas;

use crate::model::{Description, DescriptionFormat, SchemaRef};
use crate::schema::Direction;
use crate::sources::NodeLocation;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// The largest number of changes that are reported.
pub const MAX_CHANGES: usize = 1_000;

/// The effect of a change on users of the old description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeImpact {
    /// A message that was valid may no longer be accepted or understood.
    Breaking,
    /// All messages that were valid are still accepted and understood.
    Compatible,
    /// The messages on the wire are the same.
    Cosmetic,
}

impl fmt::Display for ChangeImpact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ChangeImpact::Breaking => "breaking",
            ChangeImpact::Compatible => "compatible",
            ChangeImpact::Cosmetic => "cosmetic",
        })
    }
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Change {
    /// The effect on users of the old description.
    #[serde(rename = "weight")]
    pub impact: ChangeImpact,
    /// The name of the operation or message.
    pub operation: String,
    /// The place in the message; empty if the change concerns the whole operation or message.
    pub place: String,
    /// The change, in words.
    #[serde(rename = "what")]
    pub text: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.impact, self.operation)?;
        if !self.place.is_empty() {
            write!(f, ", {}", self.place)?;
        }
        write!(f, ": {}", self.text)
    }
}

/// The error of descriptions that cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiffError {
    /// The descriptions are of different formats.
    #[error("an OpenAPI and an AsyncAPI description can't be compared")]
    DifferentFormats,
}

/// Returns all differences, the breaking ones first.
pub fn diff(old: &Description, new: &Description) -> Result<Vec<Change>, DiffError> {
    if old.format != new.format {
        return Err(DiffError::DifferentFormats);
    }
    let mut comparison = Comparison {
        old,
        new,
        changes: BTreeSet::new(),
        operation: String::new(),
        compared: BTreeSet::new(),
    };
    match old.format {
        DescriptionFormat::OpenApi => comparison.compare_operations(),
        DescriptionFormat::AsyncApi => comparison.compare_messages(),
    }
    if comparison.changes.is_empty() && contents(old) != contents(new) {
        comparison.operation = "the description".into();
        comparison.add(
            ChangeImpact::Cosmetic,
            "",
            "only texts, names, the order or the arrangement differ",
        );
    }
    Ok(comparison.changes.into_iter().collect())
}

fn contents(description: &Description) -> Vec<&Value> {
    let files = description.sources.files();
    files.iter().map(|file| &file.value).collect()
}

/// A place in a message, and the direction of the message.
#[derive(Clone, Copy)]
struct Position<'p> {
    direction: Direction,
    place: &'p str,
}

/// The state of a comparison of two descriptions.
struct Comparison<'d> {
    old: &'d Description,
    new: &'d Description,
    changes: BTreeSet<Change>,
    /// The operation or message that changes belong to.
    operation: String,
    /// Pairs of schemas of this operation that were compared or are being compared.
    compared: BTreeSet<(NodeLocation, NodeLocation, Direction)>,
}

impl Comparison<'_> {
    fn add(&mut self, impact: ChangeImpact, place: &str, what: impl Into<String>) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.insert(Change {
                impact,
                operation: self.operation.clone(),
                place: place.into(),
                text: what.into(),
            });
        }
    }

    /// Adds a change that makes fewer values valid, which breaks clients in requests and is compatible in responses.
    fn add_narrowed(&mut self, at: Position<'_>, what: impl Into<String>) {
        let impact = match at.direction {
            Direction::Request => ChangeImpact::Breaking,
            Direction::Response => ChangeImpact::Compatible,
        };
        self.add(impact, at.place, what);
    }

    /// Adds a change that makes more values valid, which is compatible in requests and breaks clients in responses.
    fn add_widened(&mut self, at: Position<'_>, what: impl Into<String>) {
        let impact = match at.direction {
            Direction::Request => ChangeImpact::Compatible,
            Direction::Response => ChangeImpact::Breaking,
        };
        self.add(impact, at.place, what);
    }

    /// Adds a change that makes some values valid and others invalid, which is breaking in both directions.
    fn add_replaced(&mut self, at: Position<'_>, what: impl Into<String>) {
        self.add(ChangeImpact::Breaking, at.place, what);
    }

    /// Compares the documentation of two nodes, and whether the new node became deprecated.
    fn compare_annotations(&mut self, place: &str, old: &NodeLocation, new: &NodeLocation) {
        for key in ["summary", "description", "title"] {
            let before = self.old.sources.get(&old.at(key));
            if before != self.new.sources.get(&new.at(key)) {
                self.add(ChangeImpact::Cosmetic, place, format!("its {key} differs"));
            }
        }
        if !is_deprecated(self.old, old) && is_deprecated(self.new, new) {
            self.add(ChangeImpact::Compatible, place, "it is deprecated now");
        }
    }

    fn compare_schema_refs(&mut self, at: Position<'_>, old: &SchemaRef, new: &SchemaRef) {
        match (&old.node, &new.node) {
            (Some(old), Some(new)) => self.compare_schemas(at, old, new),
            (None, Some(_)) => self.add_narrowed(at, "it has a schema now"),
            (Some(_), None) => self.add_widened(at, "its schema is gone"),
            (None, None) => {}
        }
    }
}

fn is_deprecated(description: &Description, location: &NodeLocation) -> bool {
    description.sources.get(&location.at("deprecated")) == Some(&Value::Bool(true))
}
