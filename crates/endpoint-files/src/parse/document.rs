//! Parses one file: its top-level keys, and the line of each entry.

use super::endpoint_entry::{parse_weight, EntryReader};
use super::merge::Merge;
use crate::fault::{FaultCause, Location};
use crate::file_format::END_MARKER;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::{Spanned, Table, Value};

/// The top-level keys of a file. Values stay untyped, so that each invalid one is reported as a fault with its line.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    generation: Option<Spanned<Value>>,
    allow_shrink: Option<Spanned<Value>>,
    #[serde(default)]
    server: Vec<Spanned<Table>>,
    #[serde(default)]
    weights: BTreeMap<String, Spanned<Value>>,
}

/// The byte offsets at which lines begin, to find the line of each of thousands of entries in logarithmic time.
struct LineIndex(Vec<usize>);

impl LineIndex {
    fn new(text: &str) -> LineIndex {
        let line_ends = text
            .bytes()
            .enumerate()
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(offset, _)| offset + 1);
        LineIndex(std::iter::once(0).chain(line_ends).collect())
    }

    /// Returns the number of the line that holds a byte offset, from 1.
    fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|&start| start <= offset)
    }
}

/// Parses one file's text, and adds its entries and faults to `merge`.
pub(super) fn parse(name: &str, text: &str, merge: &mut Merge) {
    if text.trim().is_empty() {
        return merge.faults.add_to_file(name, FaultCause::EmptyFile);
    }
    let lines = LineIndex::new(text);
    let locate = |span: Range<usize>| Location {
        file: name.into(),
        line: lines.line(span.start),
    };
    let document: Document = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let cause = syntax_fault(&error);
            return match error.span() {
                Some(span) => merge.faults.add(&locate(span), cause),
                None => merge.faults.add_to_file(name, cause),
            };
        }
    };
    if !ends_with_marker(text) {
        let last_line = Location {
            file: name.into(),
            line: text.lines().count(),
        };
        merge.faults.add(&last_line, FaultCause::MissingEndMarker);
    }
    match document.generation {
        None => merge
            .faults
            .add_to_file(name, FaultCause::MissingGeneration),
        Some(value) => add_generation(merge, locate(value.span()), value.into_inner()),
    }
    if let Some(value) = document.allow_shrink {
        add_allow_shrink(merge, locate(value.span()), value.into_inner());
    }
    for entry in document.server {
        let location = locate(entry.span());
        let fields = EntryReader::read(entry.into_inner(), &location, &mut merge.faults);
        merge.add_endpoint(location, fields);
    }
    for (id, value) in document.weights {
        let location = locate(value.span());
        if let Some(weight) = parse_weight(value.into_inner(), &location, &mut merge.faults) {
            merge.add_separate_weight(id, weight, location);
        }
    }
}

fn syntax_fault(error: &toml::de::Error) -> FaultCause {
    let message = error.message().trim().replace('\n', ": ");
    if message.starts_with("unknown field") {
        FaultCause::UnknownField { message }
    } else {
        FaultCause::InvalidToml { message }
    }
}

fn ends_with_marker(text: &str) -> bool {
    let last_line = text.trim_end().lines().last();
    last_line.is_some_and(|line| line.trim() == END_MARKER)
}

fn add_generation(merge: &mut Merge, location: Location, value: Value) {
    match value {
        Value::Integer(generation) if generation > 0 => {
            merge.add_generation(generation as u64, location);
        }
        value => merge
            .faults
            .add(&location, FaultCause::InvalidGeneration { value }),
    }
}

fn add_allow_shrink(merge: &mut Merge, location: Location, value: Value) {
    match value {
        Value::Boolean(allowed) => merge.allow_shrink |= allowed,
        value => merge
            .faults
            .add(&location, FaultCause::InvalidAllowShrink { value }),
    }
}
