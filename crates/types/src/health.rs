//! The router's view of its servers, for logs and metrics.

/// What a router believes of its servers at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthSummary {
    /// Servers that discovery calls ready.
    pub ready: usize,
    /// Ready servers that are outliers.
    pub outliers: usize,
    /// Ready servers with an overdue attempt in flight.
    pub overdue: usize,
    /// Ready servers in slow start.
    pub warming_up: usize,
    /// Each class's typical latency in milliseconds.
    pub typical_latency_ms: Vec<u32>,
}
