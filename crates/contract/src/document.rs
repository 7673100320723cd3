//! Reads JSON and YAML into one tree of values with the position of every node. Size, depth and number of nodes are
//! bounded, since a description may come from an untrusted source.

mod json;
mod syntax;
mod yaml;
mod yaml_scalar;
mod yaml_writer;

use crate::fault::Fault;
use serde_json::Value;
use std::collections::HashMap;
use syntax::{NodeTable, ParseError, SyntaxError};

pub use syntax::{Position, MAX_BYTES, MAX_DEPTH, MAX_NODES};
pub use yaml_writer::to_yaml;

/// A file that was read, with the positions of its nodes.
#[derive(Clone, Debug)]
pub struct Document {
    /// The file's name, relative to the description's folder.
    pub name: String,
    /// The file's content.
    pub value: Value,
    /// The positions of the nodes by JSON pointer.
    positions: HashMap<String, Position>,
}

impl Document {
    /// Parses a file's text. A `.json` file is read as JSON, a `.yaml` or `.yml` file as YAML, and any other file as
    /// JSON if the text begins with a brace, else as YAML.
    ///
    /// # Errors
    /// The first fault found.
    pub fn read(name: &str, bytes: &[u8]) -> Result<Document, Fault> {
        let mut nodes = NodeTable::default();
        let read = decode(bytes).and_then(|text| match is_json(name, text) {
            true => json::read(text, &mut nodes),
            false => yaml::read(text, &mut nodes),
        });
        match read {
            Ok(value) => Ok(Document {
                name: name.into(),
                value,
                positions: nodes.positions,
            }),
            Err(error) => Err(error.into_fault(name)),
        }
    }

    /// Returns the position of a node, or of its nearest ancestor that has a position.
    pub fn position(&self, pointer: &str) -> Position {
        let mut pointer = pointer;
        loop {
            if let Some(position) = self.positions.get(pointer) {
                return *position;
            }
            match pointer.rfind('/') {
                Some(at) => pointer = &pointer[..at],
                None => return Position::START,
            }
        }
    }

    /// Drops the value and the positions and keeps the name.
    pub(crate) fn drop_content(&mut self) {
        self.value = Value::Null;
        self.positions = HashMap::new();
    }

    /// Returns a fault at the position of a node.
    pub fn fault(&self, pointer: &str, cause: impl Into<String>) -> Fault {
        let position = self.position(pointer);
        Fault {
            file: self.name.clone(),
            line: position.line,
            column: position.column,
            pointer: pointer.into(),
            cause: cause.into(),
        }
    }
}

/// Returns the file's text without a byte order mark.
fn decode(bytes: &[u8]) -> Result<&str, ParseError> {
    if bytes.len() > MAX_BYTES {
        let bytes = bytes.len();
        let error = SyntaxError::TooLarge { bytes };
        return Err(ParseError::new(Position::NONE, "", error));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        let newlines = valid.iter().filter(|&&byte| byte == b'\n').count();
        let position = Position {
            line: newlines + 1,
            column: 1,
        };
        ParseError::new(position, "", SyntaxError::NotUtf8)
    })?;
    Ok(text.strip_prefix('\u{feff}').unwrap_or(text))
}

/// Returns whether a file is read as JSON.
fn is_json(name: &str, text: &str) -> bool {
    match name.rsplit('.').next().unwrap_or("") {
        "json" => true,
        "yaml" | "yml" => false,
        _ => text.trim_start().starts_with('{'),
    }
}

/// Appends an escaped key to a JSON pointer.
pub fn append_to_pointer(pointer: &str, key: &str) -> String {
    let mut out = String::with_capacity(pointer.len() + 1 + key.len());
    out.push_str(pointer);
    out.push('/');
    for c in key.chars() {
        match c {
            '~' => out.push_str("~0"),
            '/' => out.push_str("~1"),
            c => out.push(c),
        }
    }
    out
}
