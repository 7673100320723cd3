//! Counters of what this coordinator did since its last log line, which can be summed over a fleet (`docs/FLEET.md`).
//! They decide nothing.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_types::{Action, HealthSummary, Outcome, Seconds, Time};

/// A counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests that their clients did not mark as retries.
    Requests,
    /// Requests that their clients marked as retries.
    ClientRetries,
    /// Requests rejected at the limit on open requests.
    OverCapacity,
    /// Complete answers.
    Complete,
    /// Partial answers.
    Partial,
    /// Rejections by the router before any attempt of the request ended.
    RejectedUnsent,
    /// Rejections by the router.
    Rejected,
    /// Requests that failed.
    Failed,
    /// Attempts.
    Attempts,
    /// Attempts after the first of their part.
    FurtherAttempts,
    /// Attempts while another of their part was in flight.
    Hedges,
    /// Attempts at servers in slow start.
    SlowStartAttempts,
    /// Cancelled attempts.
    Cancels,
    /// Health checks.
    HealthChecks,
    /// Calls on the wire, each of one or more attempts.
    Calls,
    /// Connections begun.
    Dials,
    /// Connections that ended before they were established.
    DialFailures,
    /// Attempts that ended with a value.
    Ok,
    /// Attempts that the server answered with an error.
    Errors,
    /// Attempts that the server rejected.
    ServerRejections,
    /// Attempts that timed out or were cancelled.
    Timeouts,
    /// Attempts for which there was no connection.
    ConnectFailures,
    /// Attempts whose connection was lost.
    Resets,
    /// Complete endpoint lists with entries.
    EndpointSnapshots,
    /// Changes of the endpoint list with entries.
    EndpointDeltas,
}

const COUNTERS: usize = Counter::EndpointDeltas as usize + 1;

/// The counters since the last log line.
pub struct Metrics {
    counts: [u32; COUNTERS],
    /// Seconds between two lines; 0: none are logged.
    interval: Seconds,
    last_line: Time,
}

/// The counters of one interval, and what holds at its end.
pub struct MetricsSnapshot {
    counts: [u32; COUNTERS],
    /// Connections, established or being dialled.
    connections: usize,
    health: HealthSummary,
}

impl Metrics {
    /// Counters that are logged every `interval` seconds; 0: never.
    pub fn new(interval: Seconds, now: Time) -> Self {
        Metrics {
            counts: [0; COUNTERS],
            interval,
            last_line: now,
        }
    }

    /// Whether the counters are logged. If not, callers skip counts that cost a lookup.
    pub fn is_enabled(&self) -> bool {
        self.interval > 0.0
    }

    /// Adds one to a counter.
    pub fn increment(&mut self, counter: Counter) {
        let count = &mut self.counts[counter as usize];
        *count = count.saturating_add(1);
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

    /// Counts how an attempt ended.
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

    /// Takes the counters at the end of an interval; `None` before it, and where nothing was counted.
    pub fn take_due(
        &mut self,
        now: Time,
        connections: usize,
        health: impl FnOnce() -> HealthSummary,
    ) -> Option<MetricsSnapshot> {
        if !self.is_enabled() || now - self.last_line < self.interval {
            return None;
        }
        self.last_line = now;
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
    /// Writes the log line: the counters that are not 0, then the state of connections and servers.
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
            connections = self.connections,
            ready = self.health.ready,
            outliers = self.health.outliers,
            overdue = self.health.overdue,
            warming_up = self.health.warming_up,
            typical_latency_ms = ?self.health.typical_latency_ms,
            "request_metrics"
        );
    }

    /// The counter as a log field: a field without a value is left out of the line.
    fn nonzero(&self, counter: Counter) -> Option<u32> {
        let count = self.counts[counter as usize];
        (count > 0).then_some(count)
    }
}

#[cfg(test)]
mod tests;
