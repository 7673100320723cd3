//! `contract replay`: checks recorded traffic against a description.

use super::open_description;
use crate::cli::OutputOptions;
use crate::commands::error::CommandError;
use crate::commands::output::{print, print_json};
use crate::commands::CommandStatus;
use cairnroad_contract::replay::{self, ReplayReport, MAX_LINE};
use serde_json::json;
use std::fmt::Write;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

/// Command-line argument that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Runs the command. The status is `InputError` if a line can't be parsed, or else `FaultsFound` if there is any
/// violation.
pub fn replay(
    description: &Path,
    traffic: &Path,
    output: OutputOptions,
) -> Result<CommandStatus, CommandError> {
    let description = open_description(description)?;
    let mut lines = RecordedLines {
        reader: BufReader::new(open_traffic(traffic)?),
        error: None,
    };
    let report = replay::replay(&description, &mut lines);
    if let Some(source) = lines.error {
        return Err(CommandError::file(traffic, source));
    }
    if output.json {
        print_json(&json!(report));
    } else {
        print(&format_report(&report));
    }
    if !report.unreadable.is_empty() {
        return Ok(CommandStatus::InputError);
    }
    Ok(CommandStatus::from_faults(!report.violations.is_empty()))
}

fn open_traffic(path: &Path) -> Result<Box<dyn Read>, CommandError> {
    if path.as_os_str() == STANDARD_INPUT {
        return Ok(Box::new(io::stdin()));
    }
    match File::open(path) {
        Ok(file) => Ok(Box::new(file)),
        Err(source) => Err(CommandError::file(path, source)),
    }
}

/// An iterator over the lines of recorded traffic. It ends at the first read error, which is stored.
struct RecordedLines<R> {
    reader: R,
    error: Option<io::Error>,
}

impl<R: BufRead> Iterator for RecordedLines<R> {
    type Item = Vec<u8>;

    /// Returns the next line, truncated to one byte more than the limit, so that the replay can reject lines that are
    /// too long.
    fn next(&mut self) -> Option<Vec<u8>> {
        let limit = MAX_LINE as u64 + 1;
        let mut line = Vec::new();
        let mut limited = self.reader.by_ref().take(limit);
        match limited.read_until(b'\n', &mut line) {
            Ok(0) => None,
            Ok(_) => Some(line),
            Err(error) => {
                self.error = Some(error);
                None
            }
        }
    }
}

/// Returns the report as text: the counts, then each violation, then each line that can't be parsed.
fn format_report(report: &ReplayReport) -> String {
    let mut text = format!(
        "{} messages, {} violations\n",
        report.messages,
        report.violations.len()
    );
    // Writing to a string never fails.
    let _ = write_counts(report, &mut text)
        .and_then(|()| write_violations(report, &mut text))
        .and_then(|()| write_unreadable_lines(report, &mut text));
    text
}

fn write_counts(report: &ReplayReport, text: &mut String) -> std::fmt::Result {
    for (group, count) in report.violation_counts() {
        let kind = json!(group.kind);
        let kind = kind.as_str().unwrap_or("");
        let operation = group.operation;
        let place = group.place;
        writeln!(text, "{count:6}  {kind:14} {operation}, {place}")?;
    }
    Ok(())
}

fn write_violations(report: &ReplayReport, text: &mut String) -> std::fmt::Result {
    for found in &report.violations {
        let violation = &found.violation;
        writeln!(
            text,
            "line {}: {} {}, {}: wanted {}, found {} (see {})",
            found.line,
            found.operation,
            found.side,
            violation.place,
            violation.expected,
            violation.found,
            violation.described
        )?;
    }
    Ok(())
}

fn write_unreadable_lines(report: &ReplayReport, text: &mut String) -> std::fmt::Result {
    for unreadable in &report.unreadable {
        let line = unreadable.line;
        let cause = &unreadable.cause;
        writeln!(text, "line {line}: can't be read: {cause}")?;
    }
    Ok(())
}
