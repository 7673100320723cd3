//! Why a document can't be read, and the bounds on its nodes.

use crate::fault::Fault;
use std::collections::HashMap;

/// The largest file that is read, in bytes. Descriptions of large public interfaces have a few MB.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;
/// How deep values may nest. Deeper ones would cost stack in every later walk.
pub const MAX_DEPTH: usize = 64;
/// The most nodes of a file, those that aliases repeat included: a few lines of aliases can stand for billions.
pub const MAX_NODES: usize = 200_000;

/// A position in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1; 0 where no position is meant.
    pub line: usize,
    /// The column, from 1; 0 where no position is meant.
    pub column: usize,
}

impl Position {
    /// No position in the file.
    pub(super) const NONE: Position = Position { line: 0, column: 0 };
    /// The beginning of the file.
    pub(super) const START: Position = Position { line: 1, column: 1 };
}

/// Why a document can't be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum SyntaxError {
    #[error("the file has {bytes} bytes: {MAX_BYTES} at most")]
    TooLarge { bytes: usize },
    #[error("the file is not UTF-8 text")]
    NotUtf8,
    #[error("the file is empty")]
    Empty,
    #[error("values nest deeper than {MAX_DEPTH} levels")]
    TooDeep,
    #[error("there are more than {MAX_NODES} values")]
    TooManyNodes,
    #[error("this is no JSON: {detail}")]
    InvalidJson { detail: String },
    #[error("this is no YAML: {detail}")]
    InvalidYaml { detail: String },
    #[error("this is no YAML document")]
    NotADocument,
    #[error("there is a second document in this file")]
    SecondDocument,
    #[error("this key is there twice")]
    DuplicateKey,
    #[error("a key must be a plain word")]
    KeyNotScalar,
    #[error("merge keys are not part of YAML 1.2: write the members out, or use $ref")]
    MergeKey,
    #[error("a value is missing")]
    MissingValue,
    #[error("an alias stands inside of what it repeats")]
    RecursiveAlias,
    #[error("the tag {handle}{suffix} is not read")]
    UnsupportedTag { handle: String, suffix: String },
    #[error("{text} has no equal in JSON")]
    NotInJson { text: String },
}

/// A syntax error with its place.
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

    /// The fault that is reported for the file.
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

/// The nodes read so far: how many there are, and where each begins.
#[derive(Default)]
pub(super) struct NodeTable {
    /// The number of nodes, those that aliases repeat included.
    pub(super) count: usize,
    /// The positions by JSON pointer.
    pub(super) positions: HashMap<String, Position>,
}

impl NodeTable {
    /// Counts a node and records its position; an error where a bound is passed.
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
