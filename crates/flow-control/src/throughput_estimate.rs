//! An estimate of the throughput of a server that isn't in slow start.

use cairnroad_types::{Seconds, Time};

/// Answers of one warm server within the observed time.
#[derive(Clone, Copy, Debug)]
pub struct ServerThroughput {
    /// Number of parts that the server answered.
    pub answers: f64,
    /// Capacity of the server according to the endpoint list; 1 is a standard server.
    pub relative_capacity: f64,
}

/// The highest throughput of warm servers so far, in answers per second and unit of relative capacity.
///
/// The maximum is kept because servers answer less during an overload although their capacity is unchanged.
#[derive(Default)]
pub struct ThroughputEstimate {
    best: f64,
    last_sample: Option<Time>,
}

impl ThroughputEstimate {
    /// Returns the highest throughput so far, in answers per second and unit of relative capacity.
    pub fn best(&self) -> f64 {
        self.best
    }

    /// Returns whether a sample is due, and marks it as taken. One sample is due per value of `now`.
    pub fn try_start_sample(&mut self, now: Time) -> bool {
        self.last_sample.replace(now) != Some(now)
    }

    /// Adds a sample of all warm servers, observed for `duration` seconds.
    pub fn record(&mut self, servers: impl Iterator<Item = ServerThroughput>, duration: Seconds) {
        let mut answers = 0.0;
        let mut capacity = 0.0;
        for server in servers {
            answers += server.answers;
            capacity += server.relative_capacity;
        }
        self.best = self.best.max(answers / duration / f64::max(capacity, 1.0));
    }
}

#[cfg(test)]
mod tests;
