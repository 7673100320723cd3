//! Counters that are logged and reset at a fixed interval, and can be summed over a fleet (`docs/FLEET.md`). No
//! decision of the coordinator depends on them.

use cairnroad_types::{Action, HealthSummary, Outcome, Seconds, Time};

/// A counter of the metrics line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests that their clients did not mark as retries.
    Requests,
    /// Requests that their clients marked as retries.
    ClientRetries,
    /// Requests rejected because the limit on open requests was reached.
    OverCapacity,
    /// Complete answers.
    Complete,
    /// Partial answers.
    Partial,
    /// Rejections by the router before any attempt of the request had ended.
    RejectedUnsent,
    /// Rejections by the router.
    Rejected,
    /// Requests that the router failed.
    Failed,
    /// Attempts that the router sent.
    Attempts,
    /// Attempts of a part after its first.
    FurtherAttempts,
    /// Attempts sent while another attempt of the same part was in flight.
    Hedges,
    /// Attempts sent to servers in slow start.
    SlowStartAttempts,
    /// Attempts that the router cancelled.
    Cancels,
    /// Health checks that the router sent.
    HealthChecks,
    /// Calls to servers, each with one or more attempts.
    Calls,
    /// Connections to servers that the coordinator began to establish.
    Dials,
    /// Connections to servers that ended before they were established.
    DialFailures,
    /// Attempts that ended with a value.
    Ok,
    /// Attempts that the server answered with an error.
    Errors,
    /// Attempts that the server rejected.
    ServerRejections,
    /// Attempts that timed out or were cancelled.
    Timeouts,
    /// Attempts for which no connection was available.
    ConnectFailures,
    /// Attempts whose connection was lost.
    Resets,
    /// Snapshots of the endpoint list that have entries.
    EndpointSnapshots,
    /// Deltas of the endpoint list that have entries.
    EndpointDeltas,
    /// Client connections that were shed because a new connection needed a slot.
    ShedForSlots,
    /// Client connections that were shed because a request needed memory.
    ShedForMemory,
}

/// Number of counters.
const COUNTERS: usize = Counter::ShedForMemory as usize + 1;

/// The counters since the last metrics line.
pub struct Metrics {
    counts: [u32; COUNTERS],
    /// Interval between two metrics lines; 0 disables them.
    interval: Seconds,
    /// End of the last interval.
    last_taken_at: Time,
}

/// The counters of one interval, and the state of connections and servers at its end.
pub struct MetricsSnapshot {
    counts: [u32; COUNTERS],
    /// Number of server connections, established or being established.
    connections: usize,
    health: HealthSummary,
}

impl Metrics {
    /// Creates counters that are logged every `interval` seconds; 0 disables the metrics line.
    pub fn new(interval: Seconds, now: Time) -> Self {
        Metrics {
            counts: [0; COUNTERS],
            interval,
            last_taken_at: now,
        }
    }

    /// Returns whether the counters are logged. If not, callers skip counts that need a lookup.
    pub fn is_enabled(&self) -> bool {
        self.interval > 0.0
    }

    /// Adds one to a counter.
    pub fn increment(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a number to a counter.
    pub fn add(&mut self, counter: Counter, number: u32) {
        let count = &mut self.counts[counter as usize];
        *count = count.saturating_add(number);
    }

    /// Counts an action of the router.
    pub fn record_action(&mut self, action: &Action) {
        match action {
            Action::Answer {
                is_complete: true, ..
            } => self.increment(Counter::Complete),
            Action::Answer {
                is_complete: false, ..
            } => self.increment(Counter::Partial),
            Action::Reject { .. } => self.increment(Counter::Rejected),
            Action::Fail { .. } => self.increment(Counter::Failed),
            Action::Send { .. } => self.increment(Counter::Attempts),
            Action::Cancel { .. } => self.increment(Counter::Cancels),
            Action::HealthCheck(_) => self.increment(Counter::HealthChecks),
            Action::SetTimer(_) | Action::SubscribeEndpoints => {}
        }
    }

    /// Counts the outcome of an attempt.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        self.increment(match outcome {
            Outcome::Ok => Counter::Ok,
            Outcome::Error => Counter::Errors,
            Outcome::Rejected => Counter::ServerRejections,
            Outcome::Timeout | Outcome::Cancelled => Counter::Timeouts,
            Outcome::ConnectFailed | Outcome::NotSent => Counter::ConnectFailures,
            Outcome::Reset => Counter::Resets,
        });
    }

    /// Takes and resets the counters if the interval has passed. Returns `None` before, and if nothing was counted.
    ///
    /// `connections` is the number of server connections; `health` is called only for a line that is due.
    pub fn take_due(
        &mut self,
        now: Time,
        connections: usize,
        health: impl FnOnce() -> HealthSummary,
    ) -> Option<MetricsSnapshot> {
        if !self.is_enabled() || now - self.last_taken_at < self.interval {
            return None;
        }
        self.last_taken_at = now;
        let counts = std::mem::replace(&mut self.counts, [0; COUNTERS]);
        let any_counted = counts.iter().any(|&count| count > 0);
        any_counted.then(|| MetricsSnapshot {
            counts,
            connections,
            health: health(),
        })
    }
}

impl MetricsSnapshot {
    /// Writes the metrics line: the counters that are not 0, then the state of connections and servers.
    pub fn log(&self) {
        tracing::info!(
            requests = self.nonzero(Counter::Requests),
            client_retries = self.nonzero(Counter::ClientRetries),
            over_capacity = self.nonzero(Counter::OverCapacity),
            complete = self.nonzero(Counter::Complete),
            partial = self.nonzero(Counter::Partial),
            rejected_unsent = self.nonzero(Counter::RejectedUnsent),
            rejected = self.nonzero(Counter::Rejected),
            failed = self.nonzero(Counter::Failed),
            attempts = self.nonzero(Counter::Attempts),
            further_attempts = self.nonzero(Counter::FurtherAttempts),
            hedges = self.nonzero(Counter::Hedges),
            slow_start_attempts = self.nonzero(Counter::SlowStartAttempts),
            cancels = self.nonzero(Counter::Cancels),
            health_checks = self.nonzero(Counter::HealthChecks),
            calls = self.nonzero(Counter::Calls),
            dials = self.nonzero(Counter::Dials),
            dial_failures = self.nonzero(Counter::DialFailures),
            ok = self.nonzero(Counter::Ok),
            errors = self.nonzero(Counter::Errors),
            server_rejections = self.nonzero(Counter::ServerRejections),
            timeouts = self.nonzero(Counter::Timeouts),
            connect_failures = self.nonzero(Counter::ConnectFailures),
            resets = self.nonzero(Counter::Resets),
            endpoint_snapshots = self.nonzero(Counter::EndpointSnapshots),
            endpoint_deltas = self.nonzero(Counter::EndpointDeltas),
            shed_for_slots = self.nonzero(Counter::ShedForSlots),
            shed_for_memory = self.nonzero(Counter::ShedForMemory),
            connections = self.connections,
            ready = self.health.ready,
            outliers = self.health.outliers,
            overdue = self.health.overdue,
            warming_up = self.health.warming_up,
            typical_latency_ms = ?self.health.typical_latency_ms,
            "request_metrics"
        );
    }

    /// Returns the counter's value as a log field, or `None` for 0, which leaves the field out of the line.
    fn nonzero(&self, counter: Counter) -> Option<u32> {
        let count = self.counts[counter as usize];
        (count > 0).then_some(count)
    }
}

#[cfg(test)]
mod tests;
