//! An estimate of what a warm server can answer.

use cairnroad_types::{Seconds, Time};

/// What one warm server did within the observed time.
#[derive(Clone, Copy, Debug)]
pub struct ServerThroughput {
    /// Parts that it answered.
    pub answers: f64,
    /// Its size as listed; 1 is a standard server.
    pub relative_capacity: f64,
}

/// The best throughput of a warm server of size 1 so far, in answers a second.
///
/// The maximum is kept because servers answer less in an overload without being able to do less.
#[derive(Default)]
pub struct ThroughputEstimate {
    best: f64,
    last_sample: Option<Time>,
}

impl ThroughputEstimate {
    /// The best throughput so far, in answers a second for a server of size 1.
    pub fn best(&self) -> f64 {
        self.best
    }

    /// Returns whether a sample is due, which it is once a moment, and marks it as taken.
    pub fn try_start_sample(&mut self, now: Time) -> bool {
        self.last_sample.replace(now) != Some(now)
    }

    /// Adds a sample of all warm servers, observed over `observed` seconds.
    pub fn record(&mut self, servers: impl Iterator<Item = ServerThroughput>, observed: Seconds) {
        let mut answers = 0.0;
        let mut size = 0.0;
        for server in servers {
            answers += server.answers;
            size += server.relative_capacity;
        }
        self.best = self.best.max(answers / observed / f64::max(size, 1.0));
    }
}

#[cfg(test)]
mod tests;
