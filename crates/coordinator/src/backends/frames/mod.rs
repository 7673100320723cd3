//! The platform's binary protocol: frames that consist of a length, a type letter and a body. Many parts may be in
//! flight on a connection.

mod answers;
mod codec;
mod connection;
mod contracts;
mod fault;
mod inbound;
mod outbound;

#[cfg(test)]
pub use codec::{parse_load_report, Frame, FrameParser, PartAnswerFrame};
pub use connection::run;
#[cfg(test)]
pub use fault::FrameError;
