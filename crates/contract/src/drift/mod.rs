//! Tracks drift: which interfaces violate their descriptions, where, since when, and which party does.
//!
//! [`DriftTracker`] counts the violations of checked messages by operation, place and kind. It does no I/O, reads no
//! clock, and its memory is bounded whatever messages arrive.

mod entry;
mod interface;
mod listing;
mod tracker;

pub use interface::Interface;
pub use listing::{clock, DriftEntry, PartyCount, PartyCounts};
pub use tracker::{DriftTracker, KnownServer, Observation};

/// A moment, in seconds since the Unix epoch.
pub type UnixSeconds = f64;

/// The most entries.
pub const MAX_ENTRIES: usize = 512;
/// The most entries of one operation of an interface. Names that a sender makes up are places of their own and would
/// push out all other entries; beyond this bound they share one entry.
pub const MAX_ENTRIES_PER_OPERATION: usize = 32;
/// The most parties that are counted apart for an entry or an operation.
pub const MAX_PARTIES: usize = 128;
/// The most operations whose messages are counted.
const MAX_OPERATIONS: usize = 1024;
/// How long an entry is kept after its last violation, in seconds: one that was mended should leave the list within a
/// shift, and one that recurs every hour should stay on it.
pub const RETENTION_SECONDS: f64 = 2.0 * 3600.0;
/// The place of the entry that is shared beyond [`MAX_ENTRIES_PER_OPERATION`].
const OTHER_PLACES: &str = "(other places)";

#[cfg(test)]
mod tests;
