//! Summary of the servers' health, for logs and metrics.

/// The health of a router's servers at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthSummary {
    /// Number of servers that the endpoint list reports as ready.
    pub ready: usize,
    /// Number of ready servers that are outliers.
    pub outliers: usize,
    /// Number of ready servers with an overdue attempt in flight.
    pub overdue: usize,
    /// Number of ready servers in slow start.
    pub warming_up: usize,
    /// Typical latency of each class in milliseconds, by the class's index in the settings.
    pub typical_latency_ms: Vec<u32>,
}
