//! Logging and metrics of a running coordinator.

pub mod log;
pub mod metrics;
pub mod shed_counts;
