//! When changing files are read. Free of I/O and clock: moments are durations since any fixed start.

use std::time::Duration;

/// How long no change must be seen before the files are read: most often a writer of several files is done by then.
/// What is read too early is rejected for its generations and read again.
pub const QUIET_PERIOD: Duration = Duration::from_millis(30);
/// How long a writer that never rests is waited for. Together with the reading this stays under 100 ms.
pub const MAX_DELAY: Duration = Duration::from_millis(60);
/// How often the files are read without any event: events get lost, and some file systems send none.
pub const RESCAN_INTERVAL: Duration = Duration::from_secs(1);
/// How soon files that were rejected or unreadable are read again, in case they were read in the middle of a write.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How often that is done before the next rescan.
const MAX_RETRIES: u32 = 4;

/// What a read of the files found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The files hold the set in force, maybe since this read.
    Applied,
    /// The files were rejected, unreadable or written meanwhile.
    Unusable,
}

/// What is known of the files since the last read.
#[derive(Clone, Copy, Debug)]
enum State {
    /// They hold the set in force.
    Settled,
    /// They were not usable in this many reads since the last change.
    Unusable { reads: u32 },
    /// They changed.
    Changed {
        first_at: Duration,
        last_at: Duration,
    },
}

/// Decides when files are read: after a quiet period, within a bound, again after a failure, and regularly.
#[derive(Clone, Debug)]
pub struct Debounce {
    state: State,
    last_read_at: Duration,
}

impl Debounce {
    /// Starts with files that were just read and hold the set in force.
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
            State::Settled | State::Unusable { .. } => now,
        };
        self.state = State::Changed {
            first_at,
            last_at: now,
        };
    }

    /// When the files are to be read next.
    pub fn next_read_at(&self) -> Duration {
        let rescan_at = self.last_read_at + RESCAN_INTERVAL;
        match self.state {
            State::Changed { first_at, last_at } => (last_at + QUIET_PERIOD)
                .min(first_at + MAX_DELAY)
                .min(rescan_at),
            State::Unusable { reads } if reads <= MAX_RETRIES => self.last_read_at + RETRY_INTERVAL,
            State::Unusable { .. } | State::Settled => rescan_at,
        }
    }

    /// Records a read of the files.
    pub fn on_read(&mut self, now: Duration, outcome: ReadOutcome) {
        let failed_before = match self.state {
            State::Unusable { reads } => reads,
            State::Settled | State::Changed { .. } => 0,
        };
        self.last_read_at = now;
        self.state = match outcome {
            ReadOutcome::Applied => State::Settled,
            ReadOutcome::Unusable => State::Unusable {
                reads: failed_before.saturating_add(1),
            },
        };
    }
}

#[cfg(test)]
mod tests;
