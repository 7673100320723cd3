//! Parses endpoint files: all files together make up one set, and all faults are reported together.

mod document;
mod endpoint_entry;
mod fault_list;
mod merge;

use crate::endpoint_set::EndpointSet;
use crate::fault::{Fault, FaultCause, FileError};
use crate::file_format::{MAX_BYTES, MAX_FILES};
use merge::Merge;

/// A file's name and text, as read from disk.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceFile {
    /// The file's name, which faults report.
    pub name: String,
    /// The file's text, or the reason why it can't be read.
    pub text: Result<String, FileError>,
}

/// Parses all files of an endpoint set. The error holds all faults, up to
/// [`MAX_FAULTS`](crate::file_format::MAX_FAULTS).
pub fn parse_files(files: &[SourceFile]) -> Result<EndpointSet, Vec<Fault>> {
    let mut merge = Merge::default();
    if files.is_empty() {
        merge.faults.add_to_list(FaultCause::NoFiles);
    }
    if files.len() > MAX_FILES {
        let count = files.len();
        merge.faults.add_to_list(FaultCause::TooManyFiles { count });
    }
    let lengths = files
        .iter()
        .filter_map(|file| Some(file.text.as_ref().ok()?.len()));
    let bytes: usize = lengths.sum();
    if bytes > MAX_BYTES {
        merge.faults.add_to_list(FaultCause::TooManyBytes { bytes });
        return Err(merge.faults.into_vec());
    }
    for file in files {
        match &file.text {
            Ok(text) => document::parse(&file.name, text, &mut merge),
            Err(error) => merge.faults.add_to_file(&file.name, error.clone().into()),
        }
    }
    merge.finish()
}
