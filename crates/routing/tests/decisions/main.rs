//! Each decision at its boundary, on a deployment that the test drives by hand.

#[path = "../common/mod.rs"]
mod common;

mod completion;
mod endpoints;
mod hedging;
mod load_shedding;
mod outlier_detection;
mod replica_selection;
mod retry;
mod slow_start;
