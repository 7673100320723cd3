//! Coordinators that know each other, decided free of I/O and clock.
//!
//! [`Group`] is one coordinator's part: it is told of datagrams and of the time, and says what to send and what has
//! changed. Who is alive is found out by SWIM with suspicion and incarnations (the library `foca`); on top of it stand
//! who is there and why somebody is not ([`model::Member`]), a coordinator's doubt of itself ([`doubt`]), small shared
//! facts ([`facts`]), and the [`model::Standing`], which one table ([`model::may`]) turns into what may be done.
//!
//! A group's word is advice: a server is sent to only where the coordinator's own list names it.

pub mod advice;
mod codec;
mod decide;
pub mod doubt;
pub mod envelope;
mod errors;
pub mod facts;
pub mod model;
pub mod names;

pub use decide::{Group, Out, Setup, LATE, MOST_MEMBERS, TICK};
pub use errors::Dropped;
