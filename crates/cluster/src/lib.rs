//! Membership and gossip among coordinators, decided without I/O and clock.
//!
//! [`Membership`] is one coordinator's part: it takes datagrams and the time, and returns datagrams to send and changes
//! to report ([`Output`]). The SWIM library `foca` detects failures by probes, suspicion and incarnations. On top of it
//! stand the state of each member ([`view`]), a coordinator's awareness of its own health ([`local_health`]), small
//! shared entries ([`gossip_state`]) and the [`quorum::QuorumView`], which one table ([`quorum::is_allowed`]) turns into
//! what a coordinator may do.
//!
//! What other coordinators share is advice: requests are sent only to servers of the coordinator's own endpoint list.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod datagram;
mod datagram_error;
mod gossip_entry;
pub mod gossip_state;
pub mod identity;
pub mod local_health;
pub mod member_names;
mod membership;
mod message_filter;
pub mod outlier_advice;
pub mod quorum;
pub mod view;

pub use datagram_error::{DatagramError, DropCount};
pub use membership::{MemberGossip, Membership, MembershipConfig, Output, TICK_INTERVAL};
pub use view::MAX_MEMBERS;
