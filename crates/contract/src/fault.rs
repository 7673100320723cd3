//! The faults of a description: the position and cause of each, and what was expected.

use serde::Serialize;
use std::fmt;

/// The largest number of faults that are reported for one description. More would not be read by anyone, and a hostile
/// description could have any number of them.
pub const MAX_FAULTS: usize = 100;

/// One fault of a description, with its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The file's name, as the operator or a reference gives it.
    pub file: String,
    /// The line, from 1; 0 if the fault has no position in the file.
    pub line: usize,
    /// The column, from 1; 0 if the fault has no position in the file.
    pub column: usize,
    /// The JSON pointer of the faulty node; empty for the whole document.
    pub pointer: String,
    /// What was found at the position, and what was expected.
    pub cause: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: ", self.file)?,
            _ => write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?,
        }
        if !self.pointer.is_empty() {
            write!(f, "{}: ", self.pointer)?;
        }
        f.write_str(&self.cause)
    }
}

/// The faults of a description, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Faults {
    /// The first faults, at most [`MAX_FAULTS`].
    pub list: Vec<Fault>,
    /// The number of faults beyond those in `list`.
    pub more: usize,
}

impl Faults {
    /// Adds a fault, unless an equal one is already listed. A fault beyond [`MAX_FAULTS`] is only counted.
    pub fn push(&mut self, fault: Fault) {
        if self.list.contains(&fault) {
            return;
        }
        if self.list.len() < MAX_FAULTS {
            self.list.push(fault);
        } else {
            self.more += 1;
        }
    }

    /// Returns whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns whether the list is full, so that a further fault would only be counted.
    pub fn is_full(&self) -> bool {
        self.list.len() >= MAX_FAULTS
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)?;
        }
        Ok(())
    }
}
