//! Limits of endpoint files, and the marker at their end.

/// Maximum size of one file and of all files together, in bytes. An endpoint takes some 150 bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of files in a folder.
pub const MAX_FILES: usize = 256;
/// Maximum number of endpoints. All passes over a set are linear or nearly so.
pub const MAX_ENDPOINTS: usize = 50_000;
/// Maximum number of faults that are reported.
pub const MAX_FAULTS: usize = 100;
/// Maximum length of an id, locality or kind, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;
/// Maximum weight. With a larger one, the other endpoints would get turns too rarely to be measured.
pub const MAX_WEIGHT: f64 = 1_000.0;
/// Last line of every file. A truncated file may still be valid TOML, with some endpoints or a digit of a weight
/// missing; only this line shows that the file is complete.
pub const END_MARKER: &str = "# end";
