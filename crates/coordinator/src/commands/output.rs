//! Where commands write.

use serde_json::Value;
use std::fmt::Display;
use std::io::Write;

/// Writes to standard output. A reader that closes it has seen enough, which is no error.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes a JSON value on a line of its own to standard output.
pub fn print_json(value: &Value) {
    print(&format!("{value}\n"));
}

/// Writes an error to standard error.
pub fn report(error: &dyn Display) {
    eprintln!("cairnroad: {error}");
}
