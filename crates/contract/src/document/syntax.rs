//! The errors of documents that cannot be read, and the bounds on their nodes.

use crate::fault::Fault;
use std::collections::HashMap;

/// The largest file that is read, in bytes. Descriptions of large public interfaces take a few MB.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;
/// The deepest level at which values may nest. Every later traversal is recursive, so the depth bounds its stack.
pub const MAX_DEPTH: usize = 64;
/// The largest number of nodes in a file, including those that aliases repeat: a few lines of YAML aliases can expand
/// to billions of nodes.
pub const MAX_NODES: usize = 200_000;

/// A line and column in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1; 0 for `Position::NONE`.
    pub line: usize,
    /// The column, from 1; 0 for `Position::NONE`.
    pub column: usize,
}

impl Position {
    /// The position of a fault that concerns the file as a whole.
    pub(super) const NONE: Position = Position { line: 0, column: 0 };
    /// The beginning of the file.
    pub(super) const START: Position = Position { line: 1, column: 1 };
}

/// The error of a document that cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum SyntaxError {
    #[error("file too large: {bytes} bytes, expected at most {MAX_BYTES}")]
    TooLarge { bytes: usize },
    #[error("invalid UTF-8 in the file")]
    NotUtf8,
    #[error("the file is empty")]
    Empty,
    #[error("values nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    #[error("too many values: expected at most {MAX_NODES}")]
    TooManyNodes,
    #[error("invalid JSON: {detail}")]
    InvalidJson { detail: String },
    #[error("invalid YAML: {detail}")]
    InvalidYaml { detail: String },
    #[error("expected a YAML document")]
    NotADocument,
    #[error("expected one YAML document, found a second one")]
    SecondDocument,
    #[error("duplicate key")]
    DuplicateKey,
    #[error("expected a scalar as a key")]
    KeyNotScalar,
    #[error("merge keys are not supported in YAML 1.2: write the members out, or use $ref")]
    MergeKey,
    #[error("expected a value")]
    MissingValue,
    #[error("recursive alias: the alias is inside the value that it repeats")]
    RecursiveAlias,
    #[error("unsupported tag {handle}{suffix}")]
    UnsupportedTag { handle: String, suffix: String },
    #[error("{text} cannot be represented in JSON")]
    NotInJson { text: String },
}

/// A syntax error with its position and node.
#[derive(Debug)]
pub(super) struct ParseError {
    position: Position,
    /// The JSON pointer of the node; empty for the whole document.
    pointer: String,
    error: SyntaxError,
}

impl ParseError {
    pub(super) fn new(position: Position, pointer: &str, error: SyntaxError) -> ParseError {
        ParseError {
            position,
            pointer: pointer.into(),
            error,
        }
    }

    /// Converts the error to the fault that is reported for the file.
    pub(super) fn into_fault(self, file: &str) -> Fault {
        Fault {
            file: file.into(),
            line: self.position.line,
            column: self.position.column,
            pointer: self.pointer,
            cause: self.error.to_string(),
        }
    }
}

/// The nodes read so far: their number and positions.
#[derive(Default)]
pub(super) struct NodeTable {
    /// The number of nodes, including those that aliases repeat.
    pub(super) count: usize,
    /// The positions by JSON pointer.
    pub(super) positions: HashMap<String, Position>,
}

impl NodeTable {
    /// Counts a node and records its position; returns an error if a bound is exceeded.
    pub(super) fn enter(
        &mut self,
        pointer: &str,
        depth: usize,
        position: Position,
    ) -> Result<(), ParseError> {
        self.count += 1;
        if depth > MAX_DEPTH {
            return Err(ParseError::new(position, pointer, SyntaxError::TooDeep));
        }
        if self.count > MAX_NODES {
            return Err(ParseError::new(
                position,
                pointer,
                SyntaxError::TooManyNodes,
            ));
        }
        self.positions.insert(pointer.into(), position);
        Ok(())
    }
}
