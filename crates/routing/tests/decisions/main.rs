//! Tests of each decision at its limits, on a small deployment with a manual clock.

#[path = "../common/mod.rs"]
mod common;

mod client_liveness;
mod completion;
mod endpoints;
mod hedging;
mod load_shedding;
mod outlier_detection;
mod replica_selection;
mod retry;
mod slow_start;
