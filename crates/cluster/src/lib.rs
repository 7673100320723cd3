//! Coordinators that know each other, decided free of I/O and clock.
//!
//! [`Membership`] is one coordinator's part: it is told of datagrams and of the time, and says what to send and what has
//! changed. Who is alive is found out by SWIM with suspicion and incarnations (the library `foca`); on top of it stand
//! who is there and why somebody is not ([`model::Member`]), a coordinator's doubt of itself ([`doubt`]), small shared
//! facts ([`facts`]), and the [`model::QuorumView`], which one table ([`model::may`]) turns into what may be done.
//!
//! A group's word is advice: a server is sent to only where the coordinator's own list names it.

pub mod datagram;
mod errors;
pub mod gossip_state;
pub mod local_health;
pub mod member_names;
mod membership;
mod message_filter;
pub mod model;
pub mod outlier_advice;

pub use errors::DatagramError;
pub use membership::{
    Membership, MembershipConfig, Output, MAX_MEMBERS, PAUSE_THRESHOLD, TICK_INTERVAL,
};
