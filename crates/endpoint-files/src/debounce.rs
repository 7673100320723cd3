//! Decides when changed files are read, without I/O or a clock. Times are durations since an arbitrary fixed start.

use std::time::Duration;

/// Time without a change before the files are read; a writer of several files is usually done by then. Files that are
/// read too early are rejected for their mixed generations and read again.
pub const QUIET_PERIOD: Duration = Duration::from_millis(30);
/// Maximum delay of a read while the files keep changing. Together with the read itself it stays under 100 ms.
pub const MAX_DELAY: Duration = Duration::from_millis(60);
/// Interval at which the files are read without any event: events get lost, and some file systems send none.
pub const RESCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Delay until rejected or unreadable files are read again, in case they were read in the middle of a write.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which files have to stay the same, over two reads, before they come into force. Files that are written in place
/// may be valid before they are complete.
pub const STABLE_TIME: Duration = Duration::from_millis(50);
/// Number of such retries before the next regular rescan.
const MAX_RETRIES: u32 = 4;

/// The outcome of a read of the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The files hold the set in force, which this read or an earlier one applied.
    Applied,
    /// The files are usable, but were not the same for [`STABLE_TIME`] yet.
    Unstable,
    /// The files were rejected, unreadable, or changed during the read.
    Unusable,
}

/// The state of the files as of the last read and the changes since.
#[derive(Clone, Copy, Debug)]
enum State {
    /// The files hold the set in force.
    Settled,
    /// The files have to be read again to see whether they stay the same.
    Unstable,
    /// The files were not usable in this many reads since the last change.
    Unusable { reads: u32 },
    /// The files changed since the last read.
    Changed {
        first_at: Duration,
        last_at: Duration,
    },
}

/// Schedules reads of the files: after a quiet period but within a maximum delay, again after a failure, and at regular
/// intervals.
#[derive(Clone, Debug)]
pub struct Debounce {
    state: State,
    last_read_at: Duration,
}

impl Debounce {
    /// Returns a schedule for files that were just read and hold the set in force.
    pub fn new(now: Duration) -> Debounce {
        Debounce {
            state: State::Settled,
            last_read_at: now,
        }
    }

    /// Records that a file changed.
    pub fn on_change(&mut self, now: Duration) {
        let first_at = match self.state {
            State::Changed { first_at, .. } => first_at,
            State::Settled | State::Unstable | State::Unusable { .. } => now,
        };
        self.state = State::Changed {
            first_at,
            last_at: now,
        };
    }

    /// Returns when the files are to be read next.
    pub fn next_read_at(&self) -> Duration {
        let rescan_at = self.last_read_at + RESCAN_INTERVAL;
        match self.state {
            State::Changed { first_at, last_at } => (last_at + QUIET_PERIOD)
                .min(first_at + MAX_DELAY)
                .min(rescan_at),
            State::Unstable => self.last_read_at + STABLE_TIME,
            State::Unusable { reads } if reads <= MAX_RETRIES => self.last_read_at + RETRY_INTERVAL,
            State::Unusable { .. } | State::Settled => rescan_at,
        }
    }

    /// Records a read of the files.
    pub fn on_read(&mut self, now: Duration, outcome: ReadOutcome) {
        let failed_reads = match self.state {
            State::Unusable { reads } => reads,
            State::Settled | State::Unstable | State::Changed { .. } => 0,
        };
        self.last_read_at = now;
        self.state = match outcome {
            ReadOutcome::Applied => State::Settled,
            ReadOutcome::Unstable => State::Unstable,
            ReadOutcome::Unusable => State::Unusable {
                reads: failed_reads.saturating_add(1),
            },
        };
    }
}

#[cfg(test)]
mod tests;
