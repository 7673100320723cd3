//! Files that are written over an older content in place.
//!
//! The last line of a new file shows that it is complete. A file that is written in place ends with the older content's last
//! line until the writer gets there, so it counts as complete once it stays the same for a while. A writer that pauses for
//! longer can't be told from one that is done; what was taken too early may be corrected by the finished file.

use super::scan::{FileStamps, Scan};
use cairnroad_endpoint_files::debounce::STABLE_TIME;
use cairnroad_endpoint_files::endpoint_set::EndpointSet;
use std::time::{Duration, Instant};

/// Time after a list came into force within which a change of the same files may correct it, whatever its generation.
const CORRECTION_TIME: Duration = Duration::from_secs(10);

/// The content of the files as of one read.
struct Candidate {
    stamps: FileStamps,
    checksum: u32,
    /// When the files were first read with this content.
    read_at: Instant,
}

/// How the list in force came into force.
struct Taken {
    at: Instant,
    /// The files that held the list.
    stamps: FileStamps,
    /// The set that was in force before.
    before: Option<EndpointSet>,
}

/// A list in force that may have been read while it was being written.
pub(super) struct Correctable<'a> {
    /// The set that was in force before it.
    pub(super) before: Option<&'a EndpointSet>,
}

/// Follows the files of the list in force, and those that may replace it.
#[derive(Default)]
pub(super) struct InPlaceChanges {
    /// Files that have not been the same for long enough yet.
    candidate: Option<Candidate>,
    /// `None` while a stored list is in force.
    taken: Option<Taken>,
}

impl InPlaceChanges {
    /// Records that the list of these files replaces the set `before`.
    pub(super) fn on_taken(&mut self, stamps: &FileStamps, before: Option<EndpointSet>) {
        self.taken = Some(Taken {
            at: Instant::now(),
            stamps: stamps.clone(),
            before,
        });
    }

    /// Records that the list of these files corrects the one in force.
    pub(super) fn on_corrected(&mut self, stamps: &FileStamps) {
        if let Some(taken) = &mut self.taken {
            taken.at = Instant::now();
            taken.stamps = stamps.clone();
        }
    }

    /// Returns whether the files may be taken for complete: none was changed in place, or they have had this content for
    /// [`STABLE_TIME`].
    pub(super) fn is_stable(&mut self, scan: &Scan) -> bool {
        let taken = self.taken.as_ref();
        if !taken.is_some_and(|taken| has_changed_in_place(&taken.stamps, &scan.stamps)) {
            return true;
        }
        let checksum = scan.checksum();
        let known = self
            .candidate
            .as_ref()
            .filter(|candidate| candidate.stamps == scan.stamps && candidate.checksum == checksum);
        if let Some(known) = known {
            return known.read_at.elapsed() >= STABLE_TIME;
        }
        self.candidate = Some(Candidate {
            stamps: scan.stamps.clone(),
            checksum,
            read_at: Instant::now(),
        });
        false
    }

    /// Returns what these files may correct; `None` if the list in force was not read from them, or long ago.
    pub(super) fn correctable(&self, stamps: &FileStamps) -> Option<Correctable<'_>> {
        let taken = self.taken.as_ref()?;
        let is_recent = taken.at.elapsed() < CORRECTION_TIME;
        (is_recent && has_changed_in_place(&taken.stamps, stamps)).then_some(Correctable {
            before: taken.before.as_ref(),
        })
    }
}

/// Returns whether a file has other content than before, and is the same file.
fn has_changed_in_place(before: &FileStamps, present: &FileStamps) -> bool {
    let mut stamps = present.iter().flatten();
    stamps.any(|stamp| {
        let mut earlier = before.iter().flatten();
        earlier.any(|earlier| earlier.inode == stamp.inode && earlier != stamp)
    })
}
