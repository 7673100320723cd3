//! When files that change are looked at. Free of I/O and clock.

/// How long nothing may have been written before the files are read: a writer of several files is done by then, most
/// often. What is read too early is refused for its generations and read again.
pub const QUIET_PERIOD: f64 = 0.03;
/// How long a writer that never rests is waited for. Together with reading this stays under 100 ms.
pub const MAX_DELAY: f64 = 0.06;
/// How often files are looked at though nothing was told: events get lost, and some file systems tell none.
pub const RESCAN_INTERVAL: f64 = 1.0;
/// How soon what was refused or could not be read is looked at again, in case it was read in the middle of a write.
pub const RETRY_INTERVAL: f64 = 0.05;
/// How often that is done before the next rescan.
const MAX_RETRIES: u32 = 4;

/// What is known of the files' changes.
#[derive(Clone, Debug)]
pub struct Debounce {
    /// When the first and the last change that is not read yet were told.
    changed: Option<(f64, f64)>,
    read: f64,
    again: u32,
}

impl Debounce {
    /// Nothing told; the files were just read.
    pub fn new(now: f64) -> Debounce {
        Debounce {
            changed: None,
            read: now,
            again: 0,
        }
    }

    /// A change was told.
    pub fn on_change(&mut self, now: f64) {
        let first = self.changed.map_or(now, |(first, _)| first);
        self.changed = Some((first, now));
        self.again = 0;
    }

    /// When the files are to be read next.
    pub fn next_read_at(&self) -> f64 {
        let rescan = self.read + RESCAN_INTERVAL;
        match self.changed {
            Some((first, last)) => (last + QUIET_PERIOD).min(first + MAX_DELAY).min(rescan),
            None if (1..=MAX_RETRIES).contains(&self.again) => {
                (self.read + RETRY_INTERVAL).min(rescan)
            }
            None => rescan,
        }
    }

    /// The files were read; `clear`: they hold what is in force, or a list that was taken.
    pub fn on_read(&mut self, now: f64, clear: bool) {
        self.changed = None;
        self.read = now;
        self.again = if clear {
            0
        } else {
            self.again.saturating_add(1)
        };
    }
}

#[cfg(test)]
mod tests;
