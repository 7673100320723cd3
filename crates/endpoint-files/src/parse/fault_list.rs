//! Collects the faults that are found while parsing.

use crate::fault::{Fault, FaultCause, Location};
use crate::file_format::MAX_FAULTS;

/// Faults in the order in which they were found; those beyond [`MAX_FAULTS`] are dropped.
#[derive(Default)]
pub(super) struct FaultList {
    faults: Vec<Fault>,
}

impl FaultList {
    /// Adds a fault at a line of a file.
    pub(super) fn add(&mut self, location: &Location, cause: FaultCause) {
        self.push(&location.file, location.line, cause);
    }

    /// Adds a fault that concerns a whole file.
    pub(super) fn add_to_file(&mut self, file: &str, cause: FaultCause) {
        self.push(file, 0, cause);
    }

    /// Adds a fault that concerns the whole list.
    pub(super) fn add_to_list(&mut self, cause: FaultCause) {
        self.push("", 0, cause);
    }

    fn push(&mut self, file: &str, line: usize, cause: FaultCause) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault {
                file: file.into(),
                line,
                cause,
            });
        }
    }

    pub(super) fn len(&self) -> usize {
        self.faults.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(super) fn into_vec(self) -> Vec<Fault> {
        self.faults
    }
}
