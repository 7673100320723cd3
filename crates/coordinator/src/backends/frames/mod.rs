//! The platform's wire: frames of a length, a letter and the rest, with many parts in flight on a connection.

mod answers;
mod codec;
mod connection;
mod contracts;
mod fault;
mod outbound;

#[cfg(test)]
pub use codec::{parse_frame, parse_load_report, Frame, PartAnswerFrame};
pub use connection::run;
