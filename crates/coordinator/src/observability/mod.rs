//! What operators see of a running coordinator: the log and the metrics.

pub mod log;
pub mod metrics;
