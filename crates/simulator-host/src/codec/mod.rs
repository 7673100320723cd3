//! The binary codec of the simulator's wire: batches of events in, replies of actions out, all little-endian.
//!
//! Codes and layouts are those of the operators' wire page; only their meaning is named here.

mod batch;
mod error;
mod fields;
mod frame;
mod reply;

pub use batch::{endpoint_update, Batch, Record};
pub use error::{BatchError, FrameError};
pub use frame::read_frame;
pub use reply::Reply;

#[cfg(test)]
mod tests;
