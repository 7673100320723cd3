//! What is wrong with a description: where, and what to do about it.

use serde::Serialize;
use std::fmt;

/// The most faults of one description that are told. More would not be read, and a hostile description could hold
/// any number.
pub const MAX_FAULTS: usize = 100;

/// One thing that is wrong with a description.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// The file, as it was named or referred to.
    pub file: String,
    /// Its line, from 1; 0 where no place in the file is meant.
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

/// All faults of a description, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Faults {
    /// The first of them.
    pub list: Vec<Fault>,
    /// How many more there are.
    pub more: usize,
}

impl Faults {
    /// Notes one, once.
    pub fn push(&mut self, fault: Fault) {
        if self.list.contains(&fault) {
        } else if self.list.len() < MAX_FAULTS {
            self.list.push(fault);
        } else {
            self.more += 1;
        }
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether no further fault would be told.
    pub fn is_full(&self) -> bool {
        self.list.len() >= MAX_FAULTS
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.list.iter().enumerate() {
            if at > 0 {
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
