//! The binary codec of the simulator's protocol: decodes batches of events and encodes replies of actions. All numbers
//! are little-endian.
//!
//! The operators' protocol description defines the codes and layouts; this module maps them to the router's types.

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
