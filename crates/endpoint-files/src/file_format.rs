//! The bounds of endpoint files and the mark at their end.

/// The largest file, and the largest size of all files together, in bytes. An endpoint takes some 150.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;
/// The most files of a folder.
pub const MAX_FILES: usize = 256;
/// The most endpoints. All walks over a set are linear or nearly so.
pub const MAX_ENDPOINTS: usize = 50_000;
/// The most faults that are reported.
pub const MAX_FAULTS: usize = 100;
/// The longest id, locality or kind, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;
/// The largest weight. Larger ones would leave the other endpoints turns too rare to learn from.
pub const MAX_WEIGHT: f64 = 1_000.0;
/// The last line of every file. A file that was cut may still be valid TOML, with some endpoints or a digit of a
/// weight missing: only this line shows that it is complete.
pub const END_MARK: &str = "# end";
