//! Output of the commands to standard output and standard error.

use serde_json::Value;
use std::fmt::Display;
use std::io::Write;

/// Writes to standard output. Write errors are ignored: a reader such as `head` may close the pipe early.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes a JSON value as one line to standard output.
pub fn print_json(value: &Value) {
    print(&format!("{value}\n"));
}

/// Writes an error to standard error.
pub fn print_error(error: &dyn Display) {
    eprintln!("cairnroad: {error}");
}
