//! Tracks drift: which interfaces violate their descriptions, where, since when, and by which party.
//!
//! [`DriftTracker`] counts the violations of checked messages by operation, place and kind. It does no I/O, reads no
//! clock, and its memory is bounded for any sequence of messages.

mod entry;
mod interface;
mod listing;
mod tracker;

pub use interface::Interface;
pub use listing::{clock, DriftEntry, PartyCount, PartyCounts};
pub use tracker::{DriftTracker, KnownServer, Observation};

/// A moment, in seconds since the Unix epoch.
pub type UnixSeconds = f64;

/// The largest number of entries.
pub const MAX_ENTRIES: usize = 512;
/// The largest number of entries for one operation of an interface. A sender that makes up member names creates a place
/// for each and would evict all other entries; beyond this bound the places share one entry.
pub const MAX_ENTRIES_PER_OPERATION: usize = 32;
/// The largest number of parties that are counted individually for an entry or an operation.
pub const MAX_PARTIES: usize = 128;
/// The largest number of operations whose messages are counted.
const MAX_OPERATIONS: usize = 1024;
/// How long an entry is kept after its last violation, in seconds. A violation that was fixed should leave the list
/// within an operator's shift, and one that recurs every hour should stay on the list.
pub const RETENTION_SECONDS: f64 = 2.0 * 3600.0;
/// The place of the entry that is shared beyond [`MAX_ENTRIES_PER_OPERATION`].
const OTHER_PLACES: &str = "(other places)";

#[cfg(test)]
mod tests;
