//! What servers take.

use cairnroad_types::Time;

/// What a warm server of size 1 answers a second at its best: what servers can do doesn't shrink because they answer
/// less in a jam.
#[derive(Default)]
pub struct Take {
    /// The best so far.
    pub best: f64,
    noted: Option<Time>,
}

impl Take {
    /// Whether it is to be noted: once a moment.
    pub fn is_due(&mut self, now: Time) -> bool {
        self.noted.replace(now) != Some(now)
    }

    /// Notes the answers and the sizes of the warm servers, over so many seconds.
    pub fn note(&mut self, servers: impl Iterator<Item = (f64, f64)>, seen: f64) {
        let (answers, size) = servers.fold((0.0, 0.0), |sum, server| {
            (sum.0 + server.0, sum.1 + server.1)
        });
        self.best = self.best.max(answers / seen / f64::max(size, 1.0));
    }
}

#[cfg(test)]
mod tests;
