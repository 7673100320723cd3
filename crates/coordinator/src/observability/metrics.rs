//! What this coordinator did and met since its last line, counted for the log: figures that can be added up over a
//! fleet, to see what many coordinators do together. It decides nothing.

use cairnroad_types::{Action, HealthSummary, Outcome, Time};

/// What is counted, by its name on the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    Queries,
    Repeats,
    Full,
    Served,
    Partial,
    Unsent,
    Refused,
    Failed,
    Sends,
    Further,
    Copies,
    Cold,
    Cancels,
    Probes,
    Calls,
    Dials,
    DialFaults,
    Ok,
    Errors,
    Busy,
    Timeouts,
    NoConnection,
    Resets,
    Lists,
    Changes,
}

const NAMES: [&str; 25] = [
    "queries",
    "repeats",
    "full",
    "served",
    "partial",
    "unsent",
    "refused",
    "failed",
    "sends",
    "further",
    "copies",
    "cold",
    "cancels",
    "probes",
    "calls",
    "dials",
    "dial_faults",
    "ok",
    "errors",
    "busy",
    "timeouts",
    "no_connection",
    "resets",
    "lists",
    "changes",
];

/// Counts since the last line.
pub struct Metrics {
    counts: [u32; NAMES.len()],
    interval: f64,
    last_line: Time,
}

impl Metrics {
    /// Counters that has a line due every so many seconds; 0: never.
    pub fn new(interval: f64, now: Time) -> Self {
        Metrics {
            counts: [0; NAMES.len()],
            interval,
            last_line: now,
        }
    }

    /// Whether anybody will read the counts: what takes a look-up to count is not counted otherwise.
    pub fn is_enabled(&self) -> bool {
        self.interval > 0.0
    }

    pub fn add(&mut self, count: Counter) {
        let count = &mut self.counts[count as usize];
        *count = count.saturating_add(1);
    }

    pub fn record_action(&mut self, action: &Action) {
        match action {
            Action::Answer { complete: true, .. } => self.add(Counter::Served),
            Action::Answer {
                complete: false, ..
            } => self.add(Counter::Partial),
            Action::Reject { .. } => self.add(Counter::Refused),
            Action::Fail { .. } => self.add(Counter::Failed),
            Action::Send { .. } => self.add(Counter::Sends),
            Action::Cancel { .. } => self.add(Counter::Cancels),
            Action::HealthCheck(_) => self.add(Counter::Probes),
            Action::SetTimer(_) | Action::SubscribeEndpoints => {}
        }
    }

    pub fn record_outcome(&mut self, outcome: Outcome) {
        self.add(match outcome {
            Outcome::Ok => Counter::Ok,
            Outcome::Error => Counter::Errors,
            Outcome::Rejected => Counter::Busy,
            Outcome::Timeout | Outcome::Cancelled => Counter::Timeouts,
            Outcome::ConnectFailed | Outcome::NotSent => Counter::NoConnection,
            Outcome::Reset => Counter::Resets,
        });
    }

    /// The line that is due, if one is and anything was counted: what is not 0, then what is believed and open.
    pub fn line(
        &mut self,
        now: Time,
        links: usize,
        beliefs: impl FnOnce() -> HealthSummary,
    ) -> Option<String> {
        if !self.is_enabled() || now - self.last_line < self.interval {
            return None;
        }
        self.last_line = now;
        let counts = std::mem::replace(&mut self.counts, [0; NAMES.len()]);
        if counts.iter().all(|&count| count == 0) {
            return None;
        }
        let pairs = NAMES.iter().zip(counts).filter(|(_, count)| *count > 0);
        let mut line: Vec<String> = pairs
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        let HealthSummary {
            ready,
            outliers,
            overdue,
            warming_up,
            typical_latency_ms,
        } = beliefs();
        line.push(format!(
            "links={links} ready={ready} doubted={outliers} overdue={overdue} young={warming_up} usual_ms={typical_latency_ms:?}"
        ));
        Some(line.join(" "))
    }
}

#[cfg(test)]
mod tests;
