//! What operators see of a running coordinator: the log and the counters.

pub mod log;
pub mod metrics;
