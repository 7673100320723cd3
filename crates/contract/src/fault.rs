//! The faults of a description: where each is, and what would be right.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use serde::Serialize;
use std::fmt;

/// The most faults of one description that are reported. Nobody reads more, and a hostile description could have any
/// number.
pub const MAX_FAULTS: usize = 100;

/// One fault of a description.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The file, as the operator or a reference names it.
    pub file: String,
    /// The line, from 1; 0 if the fault has no position in the file.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// The JSON pointer of the faulty node; empty for the whole document.
    pub pointer: String,
    /// What is wrong, and what would be right.
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
    /// The first ones, at most [`MAX_FAULTS`].
    pub list: Vec<Fault>,
    /// How many more there are.
    pub more: usize,
}

impl Faults {
    /// Adds a fault, unless it is already listed.
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

    /// Whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether a further fault would only be counted.
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
